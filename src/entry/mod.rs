//! The entry host behind a platform: callers in front, backend servers behind, an object store
//! that tells of configuration and servers.
//!
//! The module tree is the path of a request. [`listen`] accepts it, [`request`] serves it:
//! `open_request` reads it and finds its [`configuration`] route, `offers` offers it to the backend
//! servers that [`choice`] names from the [`fleet`], over the connections of [`pool`], within the
//! limits of [`budget`]; `request_failure` says what else a caller may hear. [`follow`] keeps
//! configuration and fleet up to date from an [`store::ObjectStore`], [`peers`] does the same from
//! other entry hosts. How bytes look on the wire is said by [`wire`]'s traits, which the
//! `ledgespool-platform` crate implements; nothing here knows a platform's names.
//!
//! All of them share the state in [`host`], and [`lifecycle`] starts, runs and ends it. What a
//! host does with one part of its state has a module of its own: [`evacuation`], [`host_fleet`], [`route_times`],
//! [`host_budget`], [`stop`], [`watch_role`], [`self_report`].
//!
//! One thread runs all of it: on the small hosts in question a second one costs memory and
//! wake-ups and buys nothing (docs/design/platform.md).

pub mod answer;
mod answer_claims;
mod answer_end;
pub mod budget;
pub mod catch_up;
pub mod choice;
mod choice_refusal;
pub mod configuration;
pub mod configuration_draft;
pub mod customer;
pub mod decision_log;
mod ended_servers;
pub mod evacuation;
pub mod exchange;
pub mod expiry_retention;
pub mod fingerprint;
pub mod fleet;
pub mod fleet_change;
mod fleet_index;
mod fleet_put;
pub mod fleet_report;
pub mod fleet_server;
pub mod follow;
pub mod gossip;
pub mod hash;
pub mod host;
pub mod host_budget;
mod host_entries;
pub mod host_fleet;
mod host_gossip;
mod join;
mod join_client;
pub mod join_role;
pub mod leaving_news;
pub mod lifecycle;
mod limit_role;
pub mod limits;
pub mod listen;
pub mod metrics_page;
pub mod news_part;
pub mod offer_record;
mod offers;
mod open_request;
pub mod packed_servers;
pub mod partial_news;
mod past_notices;
pub mod peer_message;
pub mod peers;
mod pending_answers;
pub mod pool;
pub mod quarantine;
mod quarantine_role;
pub mod region_distance;
pub mod region_shares;
pub mod request;
mod request_failure;
pub mod rollout_role;
pub mod route_times;
mod seen_server;
pub mod self_report;
mod send_gate;
pub mod server;
pub mod server_limit;
mod server_limit_role;
pub mod server_notice;
pub mod server_word;
pub mod settings;
mod shared_names;
pub mod stop;
pub mod store;
mod store_epoch;
pub mod store_position;
mod store_updates;
pub mod watch_role;
pub mod wire;
