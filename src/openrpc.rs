//! Generates the `OpenRPC` document of the control listener from the types in [`crate::rpc`].

use schemars::JsonSchema;
use schemars::generate::{SchemaGenerator, SchemaSettings};
use serde_json::{Value, json};

use crate::config_object::ConfigObject;
use crate::control_message::{ClaimDecision, HostStatus, PeerClaim, PeerSettle};
use crate::plan::HostGrants;
use crate::report::HostReport;
use crate::result_code::ResultCode;
use crate::rpc::{ChangeParams, ChangeResult, NoParams, StampedHeartbeat, TimelineParams, method};
use crate::timeline::EventRecord;

const OPENRPC_VERSION: &str = "1.3.2";
const DESCRIPTION: &str = "JSON-RPC 2.0 over HTTP POST, with a bearer token: the operators' for \
    operators' methods, the hosts' for peers' methods. Durations are milliseconds, stamps hybrid \
    clocks (Unix milliseconds in the upper 48 bits). Batches are refused.";

/// The document that `schema/openrpc.json` contains.
#[must_use]
pub fn document_text() -> String {
    serde_json::to_string_pretty(&document()).unwrap_or_default()
}

fn document() -> Value {
    let mut collector = SchemaCollector::new();
    let methods = vec![
        collector.describe_method::<NoParams, HostStatus>(
            method::STATUS,
            "operator",
            "The state of this entry host.",
        ),
        collector.describe_method::<NoParams, Option<ConfigObject>>(
            method::DECLARATION,
            "operator",
            "The configuration in force.",
        ),
        collector.describe_method::<ChangeParams, ChangeResult>(
            method::CHANGE,
            "operator",
            "Changes the configuration.",
        ),
        collector.describe_method::<TimelineParams, Vec<EventRecord>>(
            method::TIMELINE,
            "operator",
            "The events of this entry host.",
        ),
        collector.describe_method::<StampedHeartbeat, StampedHeartbeat>(
            method::HEARTBEAT,
            "peer",
            "A heartbeat between entry hosts.",
        ),
        collector.describe_method::<HostReport, Option<HostGrants>>(
            method::REPORT,
            "peer",
            "A report to the planner; its answer grants.",
        ),
        collector.describe_method::<NoParams, Option<ConfigObject>>(
            method::FETCH,
            "peer",
            "The configuration, for another entry host.",
        ),
        collector.describe_method::<PeerClaim, ClaimDecision>(
            method::CLAIM,
            "peer",
            "A claim for the owner of its shard.",
        ),
        collector.describe_method::<PeerSettle, bool>(
            method::SETTLE,
            "peer",
            "The outcome of a claimed request.",
        ),
    ];
    json!({
        "openrpc": OPENRPC_VERSION,
        "info": {
            "title": "ledgespool control",
            "version": env!("CARGO_PKG_VERSION"),
            "description": DESCRIPTION,
        },
        "methods": methods,
        "components": { "schemas": collector.generator.take_definitions(true), "errors": errors() },
    })
}

/// Collects the schemas of types that several methods use.
struct SchemaCollector {
    generator: SchemaGenerator,
}

impl SchemaCollector {
    fn new() -> Self {
        let mut settings = SchemaSettings::draft2020_12();
        settings.definitions_path = "/components/schemas".into();
        Self {
            generator: settings.into_generator(),
        }
    }

    fn describe_method<P: JsonSchema, R: JsonSchema>(
        &mut self,
        name: &str,
        role: &str,
        summary: &str,
    ) -> Value {
        json!({
            "name": name,
            "summary": summary,
            "x-role": role,
            "paramStructure": "by-name",
            "params": self.parameters::<P>(),
            "result": { "name": "result", "schema": self.generator.subschema_for::<R>() },
        })
    }

    /// One parameter per field of the parameter type.
    fn parameters<P: JsonSchema>(&mut self) -> Vec<Value> {
        let schema = P::json_schema(&mut self.generator).to_value();
        let required = schema.get("required").and_then(Value::as_array);
        let Some(fields) = schema.get("properties").and_then(Value::as_object) else {
            return Vec::new();
        };
        let is_required = |name: &str| {
            required.is_some_and(|list| list.iter().any(|entry| entry.as_str() == Some(name)))
        };
        fields
            .iter()
            .map(|(name, field)| {
                json!({ "name": name, "required": is_required(name), "schema": field })
            })
            .collect()
    }
}

fn errors() -> Value {
    let mut errors = serde_json::Map::new();
    for code in ResultCode::ALL
        .iter()
        .filter(|code| !(2_000..3_000).contains(&code.number()))
    {
        errors.insert(
            code.to_string(),
            json!({ "code": code.number(), "message": code.text() }),
        );
    }
    Value::Object(errors)
}
