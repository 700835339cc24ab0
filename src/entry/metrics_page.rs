//! Counters and histograms of a process, served as a text page.

use std::collections;

use super::caller_metrics::{CallerCounters, HeldForCallers};
use super::departure::DepartureCounters;
use super::load_metrics::LoadMetrics;
use super::request_metrics::RequestMetrics;
use super::store::ObjectKind;
use crate::metrics_writer::MetricsWriter;
use crate::urgency::counters::UrgencyCounters;

/// The outcome of a caller's request. A refused request was not run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum RequestCompletion {
    /// A server's whole answer was delivered.
    Answered,
    /// Refused: no server would answer in time.
    RefusedFull,
    /// Refused: no server may serve it.
    RefusedNoServer,
    /// Refused: this host reaches no server of the service, and no other host serves it.
    RefusedUnreachable,
    /// Refused: there is no configuration yet.
    RefusedUnconfigured,
    /// Refused: there is no list of servers yet.
    RefusedUnlisted,
    /// Refused: this host is about to stop.
    RefusedLeaving,
    /// Refused: its customer's limit has no free capacity.
    RefusedLimit,
    /// Refused: no region may serve both its route and its customer.
    RefusedHomes,
    /// Refused: servers crashed while processing it.
    RefusedQuarantined,
    /// No route matches, or the request breaks a limit.
    Rejected,
    /// Sent, but no answer arrived that can be trusted.
    Lost,
    /// Sent, but its deadline passed.
    TimedOut,
    /// The caller disconnected first.
    CallerLeft,
    /// Refused: this host has no memory for its body.
    RefusedMemory,
}

impl RequestCompletion {
    /// The label in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::RefusedFull => "refused_full",
            Self::RefusedNoServer => "refused_no_server",
            Self::RefusedUnreachable => "refused_unreachable",
            Self::RefusedUnconfigured => "refused_unconfigured",
            Self::RefusedUnlisted => "refused_unlisted",
            Self::RefusedLeaving => "refused_leaving",
            Self::RefusedLimit => "refused_limit",
            Self::RefusedHomes => "refused_homes",
            Self::RefusedQuarantined => "refused_quarantined",
            Self::Rejected => "rejected",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::CallerLeft => "caller_left",
            Self::RefusedMemory => "refused_memory",
        }
    }

    /// Whether the request was refused after its customer's limit let it through, because no server
    /// would take it.
    #[must_use]
    pub const fn lacks_server(self) -> bool {
        matches!(
            self,
            Self::RefusedFull | Self::RefusedNoServer | Self::RefusedUnreachable
        )
    }
}

/// All counters and histograms of a process. A module with counters of its own keeps them in a
/// struct with a `write_to`, which is a field here and takes one line in [`EntryMetrics::write_to`].
#[derive(Debug, Default)]
pub struct EntryMetrics {
    /// Callers' requests.
    pub requests: RequestMetrics,
    store_calls: collections::BTreeMap<(&'static str, &'static str, &'static str), u64>,
    /// Failed attempts by result: one of a few fixed labels, or the status of a refusal.
    attempts_failed: collections::BTreeMap<String, u64>,
    /// Requests sent to a second server.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Requests of callers that were answered by way of another host.
    pub handed_over: u64,
    /// Requests that this host served for others.
    pub taken_over: u64,
    /// Connections opened to servers.
    pub connections: u64,
    /// Connections to servers that could not be opened.
    pub connect_failures: u64,
    /// Requests that a server rejected without running them.
    pub shed: u64,
    /// Servers that crashed while processing requests of this host.
    pub servers_crashed: u64,
    /// Answers with a header about the server's condition that could not be parsed.
    pub unreadable_headers: u64,
    /// Requests for which servers asked this host to back off.
    pub backoffs: u64,
    /// Requests sent to leaving servers, since no other server could serve them.
    pub sent_to_leaving: u64,
    /// Send tokens for servers with an advertised limit that were granted to this host.
    pub send_tokens: u64,
    /// Send tokens that were denied to this host.
    pub send_tokens_denied: u64,
    /// Requests for send tokens that were not answered in time, or that had no coordinator to ask.
    pub send_tokens_unanswered: u64,
    /// Hosts that others reported and that were unknown here.
    pub unknown_hosts_reported: u64,
    /// Bytes sent to other hosts: datagrams, and answers to fetches.
    pub peer_bytes_sent: u64,
    /// Answers dropped because they belonged to another request or broke the protocol.
    pub answers_dropped: u64,
    /// Decisions about patient and urgent requests.
    pub urgency: UrgencyCounters,
    /// Callers that left.
    pub departures: DepartureCounters,
    /// The exchange of servers' loads among hosts.
    pub load: LoadMetrics,
    /// Callers that met a limit of this host.
    pub callers: CallerCounters,
}

/// Gauges that are read when the page is built.
#[derive(Debug, Clone, Copy, Default)]
pub struct CurrentFigures {
    /// Version of the active configuration; 0 for none.
    pub configuration_version: u64,
    /// Age of the view of the configuration, in milliseconds; `None` before there is any, and the
    /// metric is then omitted.
    pub configuration_age_ms: Option<u64>,
    /// Age of the view of the servers, in milliseconds; `None` before there is any, and the metric
    /// is then omitted.
    pub servers_age_ms: Option<u64>,
    /// Time since any server was reached, in milliseconds; `None` before the first, and the metric
    /// is then omitted.
    pub servers_reached_age_ms: Option<u64>,
    /// Whether servers of at least one service are reached.
    pub reaches_servers: bool,
    /// Known backend servers.
    pub servers: usize,
    /// How often a server was inserted into the indexes.
    pub servers_indexed: u64,
    /// Other known entry hosts.
    pub peers: usize,
    /// Hosts among which this one divides limits; 0 before it has leased its first share.
    pub limit_hosts: u32,
    /// Suspect requests that all hosts know, including recently cleared ones.
    pub suspects: u32,
    /// Requests that are blocked from all servers.
    pub blocked_requests: usize,
    /// The epoch of the store as known to this host; 0 if the store reports none.
    pub store_epoch: u64,
    /// Servers that advertise a limit.
    pub limited_servers: usize,
    /// Servers that have announced that they leave, themselves or through others.
    pub leaving_servers: usize,
    /// Servers that have asked this host to back off for now.
    pub servers_in_backoff: usize,
    /// Idle connections to servers.
    pub idle_connections: usize,
    /// Requests in flight.
    pub open_requests: u32,
    /// Streamed answers in flight.
    pub open_answers: u32,
    /// Requests that wait at this host for a slot of a server.
    pub waiting: usize,
    /// What this host holds for callers.
    pub callers: HeldForCallers,
    /// Log lines that were suppressed.
    pub log_suppressed: u64,
    /// Log lines that were dropped.
    pub log_dropped: u64,
}

impl EntryMetrics {
    /// Counts an attempt at a server that failed with `result`.
    pub fn on_attempt_failed(&mut self, result: &str) {
        if let Some(count) = self.attempts_failed.get_mut(result) {
            *count += 1;
        } else {
            self.attempts_failed.insert(result.to_owned(), 1);
        }
    }

    /// Counts a call to the store.
    pub fn on_store_call(&mut self, kind: ObjectKind, call: &'static str, result: &'static str) {
        let key = (kind.as_str(), call, result);
        *self.store_calls.entry(key).or_default() += 1;
    }

    /// The page in the text format that metrics collectors read.
    #[must_use]
    pub fn page(&self, current: &CurrentFigures) -> String {
        let mut page = MetricsWriter::default();
        self.write_to(&mut page, current);
        page.into_text()
    }

    /// Writes all figures to a page.
    pub fn write_to(&self, page: &mut MetricsWriter, current: &CurrentFigures) {
        self.requests.write_to(page);
        self.write_calls(page);
        current.write_ages(page);
        for (name, value) in self.unlabelled(current) {
            page.value(name, value);
        }
        self.urgency.write_to(page, current.waiting);
        self.departures.write_to(page);
        self.load.write_to(page);
        self.callers.write_to(page, &current.callers);
    }

    fn write_calls(&self, page: &mut MetricsWriter) {
        for ((kind, call, result), count) in &self.store_calls {
            let labels = [("kind", *kind), ("call", *call), ("result", *result)];
            page.labelled("ledgespool_store_calls_total", &labels, *count);
        }
        for (result, count) in &self.attempts_failed {
            let labels = [("result", result.as_str())];
            page.labelled("ledgespool_offers_failed_total", &labels, *count);
        }
    }

    fn unlabelled(&self, current: &CurrentFigures) -> [(&'static str, u64); 34] {
        [
            ("ledgespool_limit_hosts", u64::from(current.limit_hosts)),
            ("ledgespool_repeats_total", self.retries),
            ("ledgespool_repeats_denied_total", self.retries_denied),
            ("ledgespool_handed_over_total", self.handed_over),
            ("ledgespool_taken_over_total", self.taken_over),
            ("ledgespool_connections_total", self.connections),
            ("ledgespool_connect_failures_total", self.connect_failures),
            ("ledgespool_shed_total", self.shed),
            ("ledgespool_answers_dropped_total", self.answers_dropped),
            ("ledgespool_server_ends_total", self.servers_crashed),
            ("ledgespool_suspects", u64::from(current.suspects)),
            (
                "ledgespool_barred_requests",
                current.blocked_requests as u64,
            ),
            ("ledgespool_send_rights_total", self.send_tokens),
            (
                "ledgespool_send_rights_denied_total",
                self.send_tokens_denied,
            ),
            (
                "ledgespool_send_rights_unanswered_total",
                self.send_tokens_unanswered,
            ),
            ("ledgespool_limited_servers", current.limited_servers as u64),
            ("ledgespool_leaving_servers", current.leaving_servers as u64),
            (
                "ledgespool_resting_servers",
                current.servers_in_backoff as u64,
            ),
            ("ledgespool_server_rests_total", self.backoffs),
            ("ledgespool_sent_to_leaving_total", self.sent_to_leaving),
            (
                "ledgespool_server_words_unreadable_total",
                self.unreadable_headers,
            ),
            (
                "ledgespool_unknown_hosts_told_total",
                self.unknown_hosts_reported,
            ),
            ("ledgespool_peer_bytes_sent_total", self.peer_bytes_sent),
            (
                "ledgespool_configuration_version",
                current.configuration_version,
            ),
            ("ledgespool_store_era", current.store_epoch),
            ("ledgespool_servers", current.servers as u64),
            ("ledgespool_servers_indexed_total", current.servers_indexed),
            (
                "ledgespool_servers_unreachable",
                u64::from(!current.reaches_servers),
            ),
            ("ledgespool_peers", current.peers as u64),
            (
                "ledgespool_idle_connections",
                current.idle_connections as u64,
            ),
            ("ledgespool_open_requests", u64::from(current.open_requests)),
            ("ledgespool_open_answers", u64::from(current.open_answers)),
            ("ledgespool_log_left_out_total", current.log_suppressed),
            ("ledgespool_log_dropped_total", current.log_dropped),
        ]
    }
}

impl CurrentFigures {
    fn write_ages(&self, page: &mut MetricsWriter) {
        page.optional(
            "ledgespool_configuration_age_milliseconds",
            self.configuration_age_ms,
        );
        page.optional("ledgespool_servers_age_milliseconds", self.servers_age_ms);
        page.optional(
            "ledgespool_servers_reached_age_milliseconds",
            self.servers_reached_age_ms,
        );
    }
}
