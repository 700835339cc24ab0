//! The entry host: accepts requests of callers and forwards them to backend servers, with its
//! configuration and list of servers from an object store.
//!
//! The modules follow the path of a request. [`listen`] accepts it and [`request`] serves it:
//! `open_request` reads it and finds its [`configuration`] route, and `attempts` sends it to the
//! backend servers that [`choice`] selects from the [`fleet`], over the connections of [`pool`] and
//! within the limits of [`budget`]. While this host reaches no server of a service
//! ([`reachability_role`]), `attempts` hands its requests to other hosts ([`handoff`]).
//! `request_failure` defines the other responses. [`follow`] keeps configuration and fleet up to
//! date from an [`store::ObjectStore`], and [`peers`] does so from other entry hosts. The traits in [`wire`] define the wire format; the `ledgespool-platform`
//! crate implements them, and nothing here knows a platform's names.
//!
//! All modules share the state in [`host`]; [`lifecycle`] starts, runs and stops it. Methods that
//! concern one part of the state have a module of their own: [`evacuation`], [`host_fleet`],
//! [`route_times`], [`host_budget`], [`stop`], [`watch_role`], [`self_report`].
//!
//! Everything runs on one thread. On small hosts a second thread costs memory and wake-ups without
//! any benefit (docs/design/platform.md).

mod announcements;
pub mod answer;
mod answer_claims;
mod answer_outcome;
pub mod arriving_bodies;
pub mod attempt_record;
mod attempts;
pub mod body_buffer;
mod body_reader;
pub mod budget;
pub mod caller_connections;
pub mod caller_limits;
pub mod caller_metrics;
mod caller_stream;
pub mod catch_up;
pub mod choice;
mod choice_refusal;
mod choice_spill;
pub mod configuration;
pub mod configuration_builder;
pub mod customer;
pub mod decision_log;
pub mod departure;
pub mod entry_order;
pub mod evacuation;
pub mod exchange;
pub mod expiry_retention;
pub mod fingerprint;
pub mod fleet;
mod fleet_apply;
pub mod fleet_change;
mod fleet_index;
pub mod fleet_report;
pub mod fleet_server;
pub mod follow;
pub mod gossip;
pub mod handoff;
pub mod hash;
pub mod host;
pub mod host_budget;
mod host_entries;
pub mod host_fleet;
mod host_gossip;
mod join;
mod join_client;
pub mod join_role;
pub mod leaving_updates;
pub mod lifecycle;
mod limit_role;
pub mod limits;
pub mod listen;
mod load_exchange_role;
pub mod load_metrics;
pub mod metrics_page;
mod name_interner;
mod open_request;
pub mod packed_servers;
pub mod partial_updates;
mod past_notices;
pub mod peer_message;
pub mod peers;
mod pending_answers;
mod placement_role;
pub mod pool;
pub mod quarantine;
mod quarantine_role;
pub mod reachability_role;
pub mod refusal_reason;
pub mod region_latency;
pub mod region_weights;
mod removed_servers;
pub mod request;
mod request_failure;
pub mod request_metrics;
mod retention_review;
pub mod rollout_role;
pub mod route_times;
pub mod self_report;
mod send_gate;
pub mod server;
pub mod server_answer;
mod server_check;
pub mod server_connection;
pub mod server_header;
pub mod server_limit;
mod server_limit_role;
pub mod server_notice;
mod server_observations;
pub mod settings;
pub mod stop;
pub mod store;
mod store_epoch;
pub mod store_position;
mod store_updates;
pub mod streamed_answer;
pub mod update_fragment;
pub mod urgency_role;
pub mod view_age;
pub mod watch_role;
pub mod watch_schedule;
pub mod wire;
