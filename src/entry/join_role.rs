//! From whom a host that starts gets what it needs to serve: decisions only, driven by messages and
//! time.
//!
//! **Load pattern.** All hosts lose power, or are killed, and start again within a few tenths of a
//! second, while callers go on sending. Each knows a few seeds, and each needs the configuration and the
//! list of servers. If the seeds sent these to all, their links would bind: 100 KB for each of 98 hosts of
//! a region take 0.4 s on 200 Mbit/s.
//!
//! So a host that is asked serves as many as its own link can bear within [`WAVE_MS`] and names to the
//! others one that it has served before. The number of hosts that can serve grows with each wave, and
//! the time until all are served grows with the logarithm of their number. Who is asked before it knows
//! anything keeps the question, and answers the hosts with the fastest links first, since those
//! serve the most.

use super::peers::HostRecord;
use crate::timer::Moment;

/// A link is filled for this long before others are asked to help, in milliseconds: a tenth of what
/// callers of the shortest goals in use can wait beside the work.
pub const WAVE_MS: u64 = 100;
/// Hosts that were served this long ago are not named any more, in milliseconds: by then a host that
/// starts alone is served at once, and one that has ended since must not be named.
const CARRIER_MS: u64 = 3_000;
/// After so many hosts that named another one, a question is served whatever the load.
pub const MAX_HOPS: u8 = 3;
/// Questions that are kept until this host knows something, at most; as many connections.
const MAX_PARKED: usize = 512;
/// One message in a wave at least, however slow the link.
const LEAST_PER_WAVE: u64 = 1;
/// Bytes a millisecond of one Mbit/s.
const BYTES_PER_MS_OF_MBPS: u64 = 125;

/// What a host that starts tells whom it asks.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JoinQuestion {
    /// Who asks.
    pub record: HostRecord,
    /// What its link carries, in Mbit/s.
    pub link_mbps: u32,
    /// How many hosts have named another one before.
    pub hops: u8,
}

/// What comes of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinDecision {
    /// Send it what is known.
    Serve,
    /// Name it another host that knows it, or will in a moment.
    Ask(std::net::SocketAddr),
}

/// A host that was served, and what it may pass on.
#[derive(Debug)]
struct JoinCarrier {
    name: String,
    address: std::net::SocketAddr,
    hall: String,
    region: String,
    link_mbps: u32,
    served: Moment,
    load: WaveLoad,
}

/// How often one host was sent to, or sent, within the present wave.
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

    /// The part of a wave's room on a link that is taken: 1 when it is full.
    fn filling(self, link_mbps: u32, bytes: usize, now: Moment) -> f64 {
        self.count_at(now) as f64 / per_wave(link_mbps, bytes) as f64
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

/// Whom a host has served, and whom it may name.
#[derive(Debug, Default)]
pub struct JoinRole {
    own: WaveLoad,
    carriers: Vec<JoinCarrier>,
}

impl JoinRole {
    /// Decides on a question; what is sent has `bytes`, and this host's link carries `link_mbps`.
    ///
    /// ```
    /// use ledgespool::entry::join_role::{JoinDecision, JoinQuestion, JoinRole};
    /// # use ledgespool::entry::peers::HostRecord;
    /// # use ledgespool::timer::Moment;
    /// # let address: std::net::SocketAddr = "127.0.0.1:9".parse()?;
    /// # let question = |name: &str| JoinQuestion {
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
    /// assert_eq!(role.decide(&question("a"), bytes, link_mbps, Moment(0)), JoinDecision::Serve);
    /// // The link is full for now, and "a" has what "b" needs.
    /// let next = role.decide(&question("b"), bytes, link_mbps, Moment(1));
    /// assert_eq!(next, JoinDecision::Ask(address));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn decide(
        &mut self,
        question: &JoinQuestion,
        bytes: usize,
        link_mbps: u32,
        now: Moment,
    ) -> JoinDecision {
        self.carriers
            .retain(|carrier| now.since(carrier.served) < CARRIER_MS);
        if let Some(address) = self.name_carrier(question, bytes, link_mbps, now) {
            return JoinDecision::Ask(address);
        }
        self.own.add(now);
        self.on_served(question, now);
        JoinDecision::Serve
    }

    /// A host to name, when this one's link is full in this wave: that of the region whose link is
    /// fullest least, if that is less full than this host's. In the asking host's hall if there is a
    /// choice; none in another region, where the way is longest and bytes are dearest.
    fn name_carrier(
        &mut self,
        question: &JoinQuestion,
        bytes: usize,
        link_mbps: u32,
        now: Moment,
    ) -> Option<std::net::SocketAddr> {
        let own_filling = self.own.filling(link_mbps, bytes, now);
        if question.hops >= MAX_HOPS || own_filling < 1.0 {
            return None;
        }
        let asker = &question.record;
        let fits = |carrier: &&mut JoinCarrier| {
            carrier.region == asker.region && carrier.name != asker.name
        };
        let order = |carrier: &JoinCarrier| {
            let filling = carrier.load.filling(carrier.link_mbps, bytes, now);
            (filling, carrier.hall != asker.hall)
        };
        let carriers = self.carriers.iter_mut().filter(fits);
        let best = carriers.min_by(|a, b| {
            let (a, b) = (order(a), order(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        })?;
        if order(best).0 >= own_filling {
            return None;
        }
        best.load.add(now);
        Some(best.address)
    }

    fn on_served(&mut self, question: &JoinQuestion, now: Moment) {
        let record = &question.record;
        self.carriers.retain(|carrier| carrier.name != record.name);
        self.carriers.push(JoinCarrier {
            name: record.name.clone(),
            address: record.peer_address,
            hall: record.hall.clone(),
            region: record.region.clone(),
            link_mbps: question.link_mbps,
            served: now,
            load: WaveLoad::default(),
        });
    }
}

/// How often `bytes` fit through a link within a wave.
fn per_wave(link_mbps: u32, bytes: usize) -> u64 {
    let carried = u64::from(link_mbps) * BYTES_PER_MS_OF_MBPS * WAVE_MS;
    (carried / bytes.max(1) as u64).max(LEAST_PER_WAVE)
}

/// Questions that came before this host knew anything.
#[derive(Debug)]
pub struct ParkedQuestions<T> {
    parked: Vec<(JoinQuestion, T)>,
}

impl<T> Default for ParkedQuestions<T> {
    fn default() -> Self {
        Self { parked: Vec::new() }
    }
}

impl<T> ParkedQuestions<T> {
    /// Keeps a question; gives it back when there are too many.
    ///
    /// # Errors
    /// The asker, who must be told at once.
    pub fn park(&mut self, question: JoinQuestion, asker: T) -> Result<(), T> {
        if self.parked.len() >= MAX_PARKED {
            return Err(asker);
        }
        self.parked.push((question, asker));
        Ok(())
    }

    /// All that wait, those with the fastest links first.
    pub fn take(&mut self) -> Vec<(JoinQuestion, T)> {
        let mut parked = std::mem::take(&mut self.parked);
        parked.sort_by_key(|(question, _)| std::cmp::Reverse(question.link_mbps));
        parked
    }
}
