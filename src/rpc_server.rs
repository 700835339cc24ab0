//! The control listener: jsonrpsee's service behind our accept loop, token check and limits.

use std::convert::Infallible;
use std::net;

use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use jsonrpsee::server::{
    BatchRequestConfig, ServerBuilder, ServerConfig, StopHandle, TowerServiceBuilder, stop_channel,
};
use jsonrpsee::{Methods, RpcModule};
use tokio::sync::watch;
use tower::{Service as _, layer::util::Identity};

use crate::auth::TokenPair;
use crate::listener;
use crate::plan;
use crate::result_code::ResultCode;
use crate::rpc::{self, RpcContext};

/// The largest call: a declaration of a megabyte and its frame.
const MAX_CALL_BYTES: u32 = plan::MAX_OBJECT_BYTES as u32 + 64 * 1024;
/// The largest answer: a configuration, or the whole time line.
const MAX_ANSWER_BYTES: u32 = 4 * plan::MAX_OBJECT_BYTES as u32;
/// A call's body must arrive, and its answer be made, within this time.
const CALL_LIMIT: std::time::Duration = std::time::Duration::from_secs(15);
const MAX_CONNECTIONS: usize = 2_048;

type AnswerBody = http_body_util::combinators::UnsyncBoxBody<
    bytes::Bytes,
    Box<dyn std::error::Error + Send + Sync>,
>;

#[derive(Clone)]
struct RpcService {
    builder: TowerServiceBuilder<Identity, Identity>,
    methods: Methods,
    stop: StopHandle,
    tokens: TokenPair,
    context: RpcContext,
}

/// Serves calls until `stop` turns true.
pub async fn serve(
    listener: tokio::net::TcpListener,
    module: RpcModule<RpcContext>,
    tokens: TokenPair,
    context: RpcContext,
    stop: watch::Receiver<bool>,
) {
    let (stop_handle, _server_handle) = stop_channel();
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_CALL_BYTES)
        .max_response_body_size(MAX_ANSWER_BYTES)
        .http_only()
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build();
    let service = RpcService {
        builder: ServerBuilder::with_config(config).to_service_builder(),
        methods: module.into(),
        stop: stop_handle,
        tokens,
        context,
    };
    let handler = move |request, peer| {
        let service = service.clone();
        async move { service.answer(request, peer).await }
    };
    listener::serve(listener, MAX_CONNECTIONS, stop, handler).await;
}

impl RpcService {
    async fn answer(
        self,
        mut request: http::Request<Incoming>,
        peer: net::SocketAddr,
    ) -> http::Response<AnswerBody> {
        let Some(role) = self.tokens.role_of(request.headers()) else {
            rpc::note_refused_token(&self.context.events, peer);
            return refusal(ResultCode::TokenRejected);
        };
        request.extensions_mut().insert(role);
        let mut service = self.builder.build(self.methods, self.stop);
        match tokio::time::timeout(CALL_LIMIT, service.call(request)).await {
            Ok(Ok(response)) => response.map(|body| body.map_err(Into::into).boxed_unsync()),
            _ => refusal(ResultCode::ParameterInvalid),
        }
    }
}

/// A JSON-RPC error that belongs to no call.
fn refusal(code: ResultCode) -> http::Response<AnswerBody> {
    let error = rpc::error_object(code, "");
    let body = serde_json::json!({ "jsonrpc": "2.0", "id": null, "error": error });
    let body = Full::from(body.to_string())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut response = http::Response::new(body);
    *response.status_mut() =
        http::StatusCode::from_u16(code.http_status()).unwrap_or(http::StatusCode::BAD_REQUEST);
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}
