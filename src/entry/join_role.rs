//! Decides which host sends a snapshot to a host that is starting. It does no I/O: messages and
//! time are its input.
//!
//! **Load pattern.** All hosts lose power, or are killed, and start again within a few tenths of a
//! second, while callers go on sending. Each host knows a few seeds, and needs the configuration
//! and the list of servers. If only the seeds sent these, their links would be the bottleneck: 100
//! KB for each of 98 hosts of a region take 0.4 s at 200 Mbit/s.
//!
//! A host therefore serves as many requesters as its own link can carry within [`WAVE_MS`], and
//! redirects the others to a host that it has served before. The number of hosts that can serve
//! grows with each wave, so the time until all are served grows with the logarithm of their number.
//! A host that is not ready holds requests and then answers the requesters with the fastest links
//! first, since those can serve the most others.

use super::peers::HostRecord;
use crate::timer::Moment;

/// How long a link is filled before requesters are redirected, in milliseconds: a tenth of the time
/// that callers with the shortest goals in use can wait in addition to the work.
pub const WAVE_MS: u64 = 100;
/// Requesters are not redirected to hosts that were served longer ago than this, in milliseconds.
/// By then a host that starts alone is served at once, and redirects must not lead to a host that
/// has stopped since.
const SOURCE_VALID_MS: u64 = 3_000;
/// After this many redirects a request is served regardless of the load.
pub const MAX_HOPS: u8 = 3;
/// The most requests held until this host is ready; each holds a connection.
const MAX_PENDING: usize = 512;
/// At least one snapshot is sent in each wave, however slow the link is.
const MIN_PER_WAVE: u64 = 1;
/// Bytes per millisecond at 1 Mbit/s.
const BYTES_PER_MS_PER_MBPS: u64 = 125;

/// A join request of a starting host.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JoinRequest {
    /// The host that sends the request.
    pub record: HostRecord,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// How many redirects it has followed.
    pub hops: u8,
}

/// What to do with a join request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinDecision {
    /// Send a snapshot.
    Serve,
    /// Redirect to another host that has the state, or receives it in a moment.
    Redirect(std::net::SocketAddr),
}

/// A host that was served, and can serve others.
#[derive(Debug)]
struct JoinSource {
    name: String,
    address: std::net::SocketAddr,
    hall: String,
    region: String,
    link_mbps: u32,
    served_at: Moment,
    load: WaveLoad,
}

/// How many snapshots one host has been assigned, or has sent, in the current wave.
#[derive(Debug, Clone, Copy, Default)]
struct WaveLoad {
    began: Moment,
    count: u64,
}

impl WaveLoad {
    fn count_at(self, now: Moment) -> u64 {
        if now.since(self.began) < WAVE_MS {
            self.count
        } else {
            0
        }
    }

    /// The used part of a link's capacity in a wave; 1 when it is full.
    fn utilization(self, link_mbps: u32, bytes: usize, now: Moment) -> f64 {
        self.count_at(now) as f64 / snapshots_per_wave(link_mbps, bytes) as f64
    }

    fn add(&mut self, now: Moment) {
        if now.since(self.began) >= WAVE_MS {
            *self = Self {
                began: now,
                count: 0,
            };
        }
        self.count += 1;
    }
}

/// The hosts that this one has served, to which it can redirect requesters.
#[derive(Debug, Default)]
pub struct JoinRole {
    own: WaveLoad,
    sources: Vec<JoinSource>,
}

impl JoinRole {
    /// Decides on a join request. The snapshot has `bytes`, and this host's link carries
    /// `link_mbps`.
    ///
    /// ```
    /// use ledgespool::entry::join_role::{JoinDecision, JoinRequest, JoinRole};
    /// # use ledgespool::entry::peers::HostRecord;
    /// # use ledgespool::timer::Moment;
    /// # let address: std::net::SocketAddr = "127.0.0.1:9".parse()?;
    /// # let request = |name: &str| JoinRequest {
    /// #     record: HostRecord {
    /// #         name: name.to_owned(), run: 1, hall: "east".to_owned(), region: "one".to_owned(),
    /// #         caller_address: address, peer_address: address, heartbeat_address: address,
    /// #         processor_milli: 100, region_hosts: 0,
    /// #     },
    /// #     link_mbps: 20,
    /// #     hops: 0,
    /// # };
    /// let mut role = JoinRole::default();
    /// let (bytes, link_mbps) = (250_000, 20);
    /// assert_eq!(role.decide(&request("a"), bytes, link_mbps, Moment(0)), JoinDecision::Serve);
    /// // The link is full for now, and "a" has what "b" needs.
    /// let next = role.decide(&request("b"), bytes, link_mbps, Moment(1));
    /// assert_eq!(next, JoinDecision::Redirect(address));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn decide(
        &mut self,
        request: &JoinRequest,
        bytes: usize,
        link_mbps: u32,
        now: Moment,
    ) -> JoinDecision {
        self.sources
            .retain(|source| now.since(source.served_at) < SOURCE_VALID_MS);
        if let Some(address) = self.select_source(request, bytes, link_mbps, now) {
            return JoinDecision::Redirect(address);
        }
        self.own.add(now);
        self.on_served(request, now);
        JoinDecision::Serve
    }

    /// Selects a host for a redirect when this host's link is full in the current wave: the host of
    /// the requester's region whose link is used least, if it is used less than this host's.
    /// Prefers the requester's hall on a tie. Never selects a host in another region, where latency
    /// and the cost of traffic are highest.
    fn select_source(
        &mut self,
        request: &JoinRequest,
        bytes: usize,
        link_mbps: u32,
        now: Moment,
    ) -> Option<std::net::SocketAddr> {
        let own_utilization = self.own.utilization(link_mbps, bytes, now);
        if request.hops >= MAX_HOPS || own_utilization < 1.0 {
            return None;
        }
        let requester = &request.record;
        let is_eligible = |source: &&mut JoinSource| {
            source.region == requester.region && source.name != requester.name
        };
        let rank = |source: &JoinSource| {
            let utilization = source.load.utilization(source.link_mbps, bytes, now);
            (utilization, source.hall != requester.hall)
        };
        let sources = self.sources.iter_mut().filter(is_eligible);
        let best = sources.min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        })?;
        if rank(best).0 >= own_utilization {
            return None;
        }
        best.load.add(now);
        Some(best.address)
    }

    fn on_served(&mut self, request: &JoinRequest, now: Moment) {
        let record = &request.record;
        self.sources.retain(|source| source.name != record.name);
        self.sources.push(JoinSource {
            name: record.name.clone(),
            address: record.peer_address,
            hall: record.hall.clone(),
            region: record.region.clone(),
            link_mbps: request.link_mbps,
            served_at: now,
            load: WaveLoad::default(),
        });
    }
}

/// How many times `bytes` fit through a link in a wave.
fn snapshots_per_wave(link_mbps: u32, bytes: usize) -> u64 {
    let carried = u64::from(link_mbps) * BYTES_PER_MS_PER_MBPS * WAVE_MS;
    (carried / bytes.max(1) as u64).max(MIN_PER_WAVE)
}

/// Join requests that arrived before this host was ready.
#[derive(Debug)]
pub struct PendingJoinRequests<T> {
    pending: Vec<(JoinRequest, T)>,
}

impl<T> Default for PendingJoinRequests<T> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
        }
    }
}

impl<T> PendingJoinRequests<T> {
    /// Holds a request.
    ///
    /// # Errors
    /// Returns the requester when too many requests are held; it must be answered at once.
    pub fn hold(&mut self, request: JoinRequest, requester: T) -> Result<(), T> {
        if self.pending.len() >= MAX_PENDING {
            return Err(requester);
        }
        self.pending.push((request, requester));
        Ok(())
    }

    /// Takes all held requests, those with the fastest links first.
    pub fn take(&mut self) -> Vec<(JoinRequest, T)> {
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_by_key(|(request, _)| std::cmp::Reverse(request.link_mbps));
        pending
    }
}
