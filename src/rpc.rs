//! The remote procedure calls of the control listener: operators' and peers' methods.
//!
//! `schema/openrpc.json` is printed from these types and held to them by a test.

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

/// Come-back time of a refused call, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Names of the methods.
pub mod method {
    /// The host's state.
    pub const STATUS: &str = "status";
    /// The configuration in force.
    pub const DECLARATION: &str = "declaration";
    /// Change the configuration.
    pub const CHANGE: &str = "change";
    /// The host's events.
    pub const TIMELINE: &str = "timeline";
    /// A peer's heartbeat.
    pub const HEARTBEAT: &str = "peer_heartbeat";
    /// A peer's report to the planner.
    pub const REPORT: &str = "peer_report";
    /// A peer asks for the configuration.
    pub const FETCH: &str = "peer_fetch";
    /// A peer passes a claim on.
    pub const CLAIM: &str = "peer_claim";
    /// A peer passes the outcome of a claimed request on.
    pub const SETTLE: &str = "peer_settle";
}

/// Parameters of `change`.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChangeParams {
    /// An id of the caller's own: the same id takes effect at most once.
    pub operation: String,
    /// The generation that the change was made for; absent to change whatever is in force.
    #[serde(default)]
    pub expected_generation: Option<u64>,
    /// The change.
    pub change: ConfigChange,
}

/// The answer of `change`.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct ChangeResult {
    /// The generation that it made.
    pub generation: u64,
}

/// Parameters of `timeline`.
#[derive(
    Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct TimelineParams {
    /// Only events later than this stamp; 0 for all that are kept.
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

/// Particulars of an error, in its `data`.
#[derive(
    Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
pub struct ErrorData {
    /// The numbered code, such as `LS3002`.
    pub code: String,
    /// What to do.
    pub advice: String,
    /// When to come back, in milliseconds, where that can help.
    pub retry_after_ms: Option<u64>,
}

/// What the methods work with.
#[derive(Debug, Clone)]
pub struct RpcContext {
    /// The way to the controller.
    pub control: ControlPort,
    /// The way to the event thread.
    pub events: EventPort,
}

/// A JSON-RPC error for a numbered code.
#[must_use]
pub fn error_object(code: ResultCode, detail: &str) -> ErrorObjectOwned {
    let may_pass = matches!(code.http_status(), 503 | 504);
    let data = ErrorData {
        code: code.to_string(),
        advice: code.advice().to_owned(),
        retry_after_ms: may_pass.then_some(RETRY_AFTER_MS),
    };
    let message = if detail.is_empty() {
        code.text().to_owned()
    } else {
        format!("{} {detail}", code.text())
    };
    ErrorObjectOwned::owned(i32::from(code.number()), message, Some(data))
}

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Reads the parameters after checking that the caller has the right.
fn checked<T: serde::de::DeserializeOwned>(
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

fn busy<T>() -> RpcResult<T> {
    Err(error_object(ResultCode::ControlBusy, ""))
}

/// All methods of the control listener.
///
/// # Errors
/// When a name is registered twice.
pub fn build_module(context: RpcContext) -> Result<RpcModule<RpcContext>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(method::STATUS, |params, context, extensions| async move {
        let _params: NoParams = checked(&params, &extensions, CallerRole::Operator)?;
        status(&context).await
    })?;
    module.register_async_method(
        method::DECLARATION,
        |params, context, extensions| async move {
            let _params: NoParams = checked(&params, &extensions, CallerRole::Operator)?;
            fetch(&context).await
        },
    )?;
    module.register_async_method(method::CHANGE, |params, context, extensions| async move {
        let params: ChangeParams = checked(&params, &extensions, CallerRole::Operator)?;
        change(&context, params).await
    })?;
    module.register_async_method(method::TIMELINE, |params, context, extensions| async move {
        let params: TimelineParams = checked(&params, &extensions, CallerRole::Operator)?;
        Ok::<Vec<EventRecord>, ErrorObjectOwned>(context.events.read(params.after).await)
    })?;
    register_peer_methods(&mut module)?;
    Ok(module)
}

fn register_peer_methods(module: &mut RpcModule<RpcContext>) -> Result<(), RegisterMethodError> {
    module.register_async_method(
        method::HEARTBEAT,
        |params, context, extensions| async move {
            let params: StampedHeartbeat = checked(&params, &extensions, CallerRole::Peer)?;
            heartbeat(&context, params).await
        },
    )?;
    module.register_async_method(method::REPORT, |params, context, extensions| async move {
        let report: HostReport = checked(&params, &extensions, CallerRole::Peer)?;
        report_usage(&context, report).await
    })?;
    module.register_async_method(method::FETCH, |params, context, extensions| async move {
        let _params: NoParams = checked(&params, &extensions, CallerRole::Peer)?;
        fetch(&context).await
    })?;
    module.register_async_method(method::CLAIM, |params, context, extensions| async move {
        let claim: PeerClaim = checked(&params, &extensions, CallerRole::Peer)?;
        take_claim(&context, claim).await
    })?;
    module.register_async_method(method::SETTLE, |params, context, extensions| async move {
        let settle: PeerSettle = checked(&params, &extensions, CallerRole::Peer)?;
        Ok::<bool, ErrorObjectOwned>(context.control.tell(ControlInput::PeerSettle(settle)))
    })?;
    Ok(())
}

async fn status(context: &sync::Arc<RpcContext>) -> RpcResult<HostStatus> {
    match context.control.ask(ControlInput::Status).await {
        Some(ControlAnswer::Status(status)) => Ok(*status),
        _ => busy(),
    }
}

async fn fetch(context: &sync::Arc<RpcContext>) -> RpcResult<Option<ConfigObject>> {
    match context.control.ask(ControlInput::Fetch).await {
        Some(ControlAnswer::Config(object)) => Ok(object),
        _ => busy(),
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
    match context.control.ask(request).await {
        Some(ControlAnswer::Change(answer)) => match answer.result {
            Ok(generation) => Ok(ChangeResult { generation }),
            Err(fault) => Err(error_object(fault.code, &fault.detail)),
        },
        _ => busy(),
    }
}

async fn heartbeat(
    context: &sync::Arc<RpcContext>,
    params: StampedHeartbeat,
) -> RpcResult<StampedHeartbeat> {
    context.events.clock().observe(params.stamp);
    let answer = context
        .control
        .ask(|ticket| ControlInput::Heartbeat(ticket, params.heartbeat))
        .await;
    match answer {
        Some(ControlAnswer::Heartbeat(heartbeat)) => Ok(StampedHeartbeat {
            stamp: context.events.clock().tick(),
            heartbeat,
        }),
        _ => busy(),
    }
}

async fn report_usage(
    context: &sync::Arc<RpcContext>,
    report: HostReport,
) -> RpcResult<Option<HostGrants>> {
    match context
        .control
        .ask(|ticket| ControlInput::Report(ticket, report))
        .await
    {
        Some(ControlAnswer::Grants(grants)) => Ok(grants),
        _ => busy(),
    }
}

async fn take_claim(context: &sync::Arc<RpcContext>, claim: PeerClaim) -> RpcResult<ClaimDecision> {
    match context
        .control
        .ask(|ticket| ControlInput::PeerClaim(ticket, claim))
        .await
    {
        Some(ControlAnswer::Claim(decision)) => Ok(decision),
        _ => busy(),
    }
}

/// Notes a call without a valid token in the time line.
pub fn note_refused_token(events: &EventPort, peer: std::net::SocketAddr) {
    events.write(EventCode::TokenRefused, peer.ip().to_string());
}
