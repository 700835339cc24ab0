//! Prints the `OpenRPC` document of the control listener from the types of [`crate::rpc`].

use schemars::JsonSchema;
use serde_json::{Value, json};

use crate::config_object::ConfigObject;
use crate::control_message::{ClaimDecision, HostStatus, PeerClaim, PeerSettle};
use crate::plan::HostGrants;
use crate::report::HostReport;
use crate::result_code::ResultCode;
use crate::rpc::{ChangeParams, ChangeResult, NoParams, StampedHeartbeat, TimelineParams, method};
use crate::timeline::EventRecord;

const OPENRPC_VERSION: &str = "1.3.2";

/// The document as committed in `schema/openrpc.json`.
#[must_use]
pub fn document_text() -> String {
    serde_json::to_string_pretty(&document()).unwrap_or_default()
}

fn document() -> Value {
    let methods = vec![
        describe::<NoParams, HostStatus>(
            method::STATUS,
            "operator",
            "The state of this entry host.",
        ),
        describe::<NoParams, Option<ConfigObject>>(
            method::DECLARATION,
            "operator",
            "The configuration in force.",
        ),
        describe::<ChangeParams, ChangeResult>(
            method::CHANGE,
            "operator",
            "Changes the configuration.",
        ),
        describe::<TimelineParams, Vec<EventRecord>>(
            method::TIMELINE,
            "operator",
            "The events of this entry host.",
        ),
        describe::<StampedHeartbeat, StampedHeartbeat>(
            method::HEARTBEAT,
            "peer",
            "A heartbeat between entry hosts.",
        ),
        describe::<HostReport, Option<HostGrants>>(
            method::REPORT,
            "peer",
            "A report to the planner; its answer grants.",
        ),
        describe::<NoParams, Option<ConfigObject>>(
            method::FETCH,
            "peer",
            "The configuration, for another entry host.",
        ),
        describe::<PeerClaim, ClaimDecision>(
            method::CLAIM,
            "peer",
            "A claim for the owner of its shard.",
        ),
        describe::<PeerSettle, bool>(method::SETTLE, "peer", "The outcome of a claimed request."),
    ];
    json!({
        "openrpc": OPENRPC_VERSION,
        "info": {
            "title": "ledgespool control",
            "version": env!("CARGO_PKG_VERSION"),
            "description": "JSON-RPC 2.0 over HTTP POST, with a bearer token: the operators' for operators' methods, the hosts' for peers' methods. Durations are milliseconds, stamps hybrid clocks (Unix milliseconds in the upper 48 bits). Batches are refused."
        },
        "methods": methods,
        "components": { "errors": errors() },
    })
}

fn describe<P: JsonSchema, R: JsonSchema>(name: &str, role: &str, summary: &str) -> Value {
    json!({
        "name": name,
        "summary": summary,
        "x-role": role,
        "paramStructure": "by-name",
        "params": parameters::<P>(),
        "result": { "name": "result", "schema": schemars::schema_for!(R) },
    })
}

/// One parameter for each field of the parameter type, with the definitions that it uses.
fn parameters<P: JsonSchema>() -> Vec<Value> {
    let schema = schemars::schema_for!(P).to_value();
    let required = schema
        .get("required")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    let definitions = schema.get("$defs").cloned();
    let Some(fields) = schema.get("properties").and_then(Value::as_object) else {
        return Vec::new();
    };
    let mut parameters = Vec::new();
    for (name, field) in fields {
        let mut field = field.clone();
        if let (Some(definitions), Some(object)) = (&definitions, field.as_object_mut()) {
            object.insert("$defs".to_owned(), definitions.clone());
        }
        let is_required = required.iter().any(|entry| entry.as_str() == Some(name));
        parameters.push(json!({ "name": name, "required": is_required, "schema": field }));
    }
    parameters
}

fn errors() -> Value {
    let mut errors = serde_json::Map::new();
    for code in ResultCode::ALL
        .iter()
        .filter(|code| code.number() >= 3_000 || code.number() < 2_000)
    {
        errors.insert(
            code.to_string(),
            json!({ "code": code.number(), "message": code.text() }),
        );
    }
    Value::Object(errors)
}
