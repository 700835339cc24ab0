//! The JSON-RPC methods of the control listener, for operators and for peers.
//!
//! `schema/openrpc.json` is generated from these types; a test keeps the two equal.

use std::sync;

use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::{ErrorObjectOwned, Params};
use jsonrpsee::{Extensions, RpcModule};

use crate::auth::CallerRole;
use crate::config_object::{ConfigChange, ConfigObject};
use crate::config_role::ChangeRequest;
use crate::control_message::{
    ClaimDecision, ControlAnswer, ControlInput, HostStatus, PeerClaim, PeerHeartbeat, PeerSettle,
};
use crate::event::EventCode;
use crate::event_writer::EventPort;
use crate::plan::HostGrants;
use crate::port::ControlPort;
use crate::report::HostReport;
use crate::result_code::ResultCode;
use crate::timeline::{ClockStamp, EventRecord};

/// Time after which a refused call may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Names of the methods.
pub mod method {
    /// The host's state.
    pub const STATUS: &str = "status";
    /// The active configuration.
    pub const DECLARATION: &str = "declaration";
    /// Change the configuration.
    pub const CHANGE: &str = "change";
    /// The host's events.
    pub const TIMELINE: &str = "timeline";
    /// A peer's heartbeat.
    pub const HEARTBEAT: &str = "peer_heartbeat";
    /// A peer's report to the planner.
    pub const REPORT: &str = "peer_report";
    /// A peer's request for the configuration.
    pub const FETCH: &str = "peer_fetch";
    /// A claim that a peer forwards.
    pub const CLAIM: &str = "peer_claim";
    /// The outcome of a claimed request that a peer forwards.
    pub const SETTLE: &str = "peer_settle";
}

/// Parameters of `change`.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeParams {
    /// An id chosen by the caller; operations with the same id take effect at most once.
    pub operation: String,
    /// The generation that the change is based on; absent to change the active one.
    #[serde(default)]
    pub expected_generation: Option<u64>,
    /// The change.
    pub change: ConfigChange,
}

/// The result of `change`.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct ChangeResult {
    /// The generation that the change created.
    pub generation: u64,
}

/// Parameters of `timeline`.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct TimelineParams {
    /// Only events later than this stamp; 0 for all retained events.
    #[serde(default)]
    pub after: ClockStamp,
}

/// A heartbeat with the sender's hybrid clock.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct StampedHeartbeat {
    /// The sender's clock.
    pub stamp: ClockStamp,
    /// The heartbeat.
    pub heartbeat: PeerHeartbeat,
}

/// Parameters of methods that take none.
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "it stands for an empty JSON object"
)]
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct NoParams {}

/// Details of an error, in its `data`.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct ErrorData {
    /// The numbered code, such as `LS3002`.
    pub code: String,
    /// What to do about the error.
    pub advice: String,
    /// When to retry, in milliseconds, if a retry can help.
    pub retry_after_ms: Option<u64>,
}

/// What the methods have access to.
#[derive(Debug, Clone)]
pub struct RpcContext {
    /// The port of the controller.
    pub control: ControlPort,
    /// The port of the event thread.
    pub events: EventPort,
}

/// A JSON-RPC error for a numbered code.
#[must_use]
pub fn error_object(code: ResultCode, detail: &str) -> ErrorObjectOwned {
    let is_temporary = matches!(code.http_status(), 503 | 504);
    let data = ErrorData {
        code: code.to_string(),
        advice: code.advice().to_owned(),
        retry_after_ms: is_temporary.then_some(RETRY_AFTER_MS),
    };
    let message = if detail.is_empty() {
        code.text().to_owned()
    } else {
        format!("{} {detail}", code.text())
    };
    ErrorObjectOwned::owned(i32::from(code.number()), message, Some(data))
}

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Parses the parameters after checking that the caller has the required role.
fn parse_params<T: serde::de::DeserializeOwned>(
    params: &Params<'_>,
    extensions: &Extensions,
    role: CallerRole,
) -> RpcResult<T> {
    if extensions.get::<CallerRole>() != Some(&role) {
        return Err(error_object(ResultCode::TokenRejected, ""));
    }
    let text = match params.as_str() {
        None | Some("[]") => "{}",
        Some(text) => text,
    };
    serde_json::from_str(text).map_err(|fault| {
        let code = if role == CallerRole::Peer {
            ResultCode::PeerMessageInvalid
        } else {
            ResultCode::ParameterInvalid
        };
        error_object(code, &fault.to_string())
    })
}

fn control_busy<T>() -> RpcResult<T> {
    Err(error_object(ResultCode::ControlBusy, ""))
}

/// Builds the module with all methods of the control listener.
///
/// # Errors
/// When a name is registered twice.
pub fn build_module(context: RpcContext) -> Result<RpcModule<RpcContext>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(method::STATUS, |params, context, extensions| async move {
        let _params: NoParams = parse_params(&params, &extensions, CallerRole::Operator)?;
        status(&context).await
    })?;
    module.register_async_method(
        method::DECLARATION,
        |params, context, extensions| async move {
            let _params: NoParams = parse_params(&params, &extensions, CallerRole::Operator)?;
            fetch_config(&context).await
        },
    )?;
    module.register_async_method(method::CHANGE, |params, context, extensions| async move {
        let params: ChangeParams = parse_params(&params, &extensions, CallerRole::Operator)?;
        change(&context, params).await
    })?;
    module.register_async_method(method::TIMELINE, |params, context, extensions| async move {
        let params: TimelineParams = parse_params(&params, &extensions, CallerRole::Operator)?;
        Ok::<Vec<EventRecord>, ErrorObjectOwned>(context.events.read(params.after).await)
    })?;
    register_peer_methods(&mut module)?;
    Ok(module)
}

fn register_peer_methods(module: &mut RpcModule<RpcContext>) -> Result<(), RegisterMethodError> {
    module.register_async_method(
        method::HEARTBEAT,
        |params, context, extensions| async move {
            let params: StampedHeartbeat = parse_params(&params, &extensions, CallerRole::Peer)?;
            heartbeat(&context, params).await
        },
    )?;
    module.register_async_method(method::REPORT, |params, context, extensions| async move {
        let report: HostReport = parse_params(&params, &extensions, CallerRole::Peer)?;
        report_usage(&context, report).await
    })?;
    module.register_async_method(method::FETCH, |params, context, extensions| async move {
        let _params: NoParams = parse_params(&params, &extensions, CallerRole::Peer)?;
        fetch_config(&context).await
    })?;
    module.register_async_method(method::CLAIM, |params, context, extensions| async move {
        let claim: PeerClaim = parse_params(&params, &extensions, CallerRole::Peer)?;
        decide_claim(&context, claim).await
    })?;
    module.register_async_method(method::SETTLE, |params, context, extensions| async move {
        let settle: PeerSettle = parse_params(&params, &extensions, CallerRole::Peer)?;
        Ok::<bool, ErrorObjectOwned>(context.control.send(ControlInput::PeerSettle(settle)))
    })?;
    Ok(())
}

async fn status(context: &sync::Arc<RpcContext>) -> RpcResult<HostStatus> {
    match context.control.request(ControlInput::Status).await {
        Some(ControlAnswer::Status(status)) => Ok(*status),
        _ => control_busy(),
    }
}

async fn fetch_config(context: &sync::Arc<RpcContext>) -> RpcResult<Option<ConfigObject>> {
    match context.control.request(ControlInput::Fetch).await {
        Some(ControlAnswer::Config(object)) => Ok(object),
        _ => control_busy(),
    }
}

async fn change(context: &sync::Arc<RpcContext>, params: ChangeParams) -> RpcResult<ChangeResult> {
    let request = |ticket| {
        ControlInput::Change(ChangeRequest {
            ticket,
            operation: params.operation,
            expected_generation: params.expected_generation,
            change: params.change,
        })
    };
    match context.control.request(request).await {
        Some(ControlAnswer::Change(answer)) => match answer.result {
            Ok(generation) => Ok(ChangeResult { generation }),
            Err(fault) => Err(error_object(fault.code, &fault.detail)),
        },
        _ => control_busy(),
    }
}

async fn heartbeat(
    context: &sync::Arc<RpcContext>,
    params: StampedHeartbeat,
) -> RpcResult<StampedHeartbeat> {
    context.events.clock().observe(params.stamp);
    let answer = context
        .control
        .request(|ticket| ControlInput::Heartbeat(ticket, params.heartbeat))
        .await;
    match answer {
        Some(ControlAnswer::Heartbeat(heartbeat)) => Ok(StampedHeartbeat {
            stamp: context.events.clock().tick(),
            heartbeat,
        }),
        _ => control_busy(),
    }
}

async fn report_usage(
    context: &sync::Arc<RpcContext>,
    report: HostReport,
) -> RpcResult<Option<HostGrants>> {
    match context
        .control
        .request(|ticket| ControlInput::Report(ticket, report))
        .await
    {
        Some(ControlAnswer::Grants(grants)) => Ok(grants),
        _ => control_busy(),
    }
}

async fn decide_claim(
    context: &sync::Arc<RpcContext>,
    claim: PeerClaim,
) -> RpcResult<ClaimDecision> {
    match context
        .control
        .request(|ticket| ControlInput::PeerClaim(ticket, claim))
        .await
    {
        Some(ControlAnswer::Claim(decision)) => Ok(decision),
        _ => control_busy(),
    }
}

/// Records a call without a valid token in the timeline.
pub fn log_refused_token(events: &EventPort, peer: std::net::SocketAddr) {
    events.write(EventCode::TokenRefused, peer.ip().to_string());
}
