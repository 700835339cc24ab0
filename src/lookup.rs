//! The answer to "which entry hosts shall I use?", rendered before it is asked for.

use std::{collections, net, sync};

use bytes::Bytes;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;

use crate::{block_map, declaration, member, topology};

/// How long a caller may keep an answer, in milliseconds: short, since leaving hosts must stop
/// being used within seconds.
pub const LOOKUP_TTL_MS: u64 = 2_000;
/// Hosts named in one answer.
const RANKED_HOSTS: usize = 4;
/// Different orders of equally near hosts, so that blocks spread over them.
const VARIANTS: usize = 8;

/// One entry host in an answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RankedHost {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub address: net::SocketAddr,
    /// The hall that it stands in.
    pub hall: String,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LookupAnswer {
    /// The service asked for.
    pub service: String,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// Entry hosts, best first.
    pub hosts: Vec<RankedHost>,
}

/// Answers by service, hall and variant, with the block map that picks among them.
#[derive(Debug, Default)]
pub struct LookupTable {
    map: sync::Arc<block_map::BlockMap>,
    services: collections::HashMap<String, usize>,
    hall_count: usize,
    answers: Vec<Option<Bytes>>,
}

/// Why a look-up has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupFault {
    /// The service is not declared.
    ServiceUnknown,
    /// No entry host can be offered.
    NoHost,
}

impl LookupTable {
    /// Renders all answers for the hosts that may be offered.
    #[must_use]
    pub fn new(topology: &topology::SteeringTopology, members: &[member::MemberRecord]) -> Self {
        let map = sync::Arc::new(block_map::BlockMap::from_topology(topology));
        Self::with_map(map, topology, members)
    }

    /// Renders all answers over a map that is computed already.
    #[must_use]
    pub fn with_map(
        map: sync::Arc<block_map::BlockMap>,
        topology: &topology::SteeringTopology,
        members: &[member::MemberRecord],
    ) -> Self {
        let names = topology.services.iter().enumerate();
        let services = names
            .map(|(index, service)| (service.entry.name.clone(), index))
            .collect();
        let mut table = Self {
            map,
            services,
            hall_count: topology.halls.len().max(1),
            answers: Vec::new(),
        };
        table.render(topology, members);
        table
    }

    /// The block map, to render other answers over it.
    #[must_use]
    pub const fn map(&self) -> &sync::Arc<block_map::BlockMap> {
        &self.map
    }

    fn render(&mut self, topology: &topology::SteeringTopology, members: &[member::MemberRecord]) {
        let offered = offered_hosts(topology, members);
        for service in &topology.services {
            for hall in 0..self.hall_count {
                for variant in 0..VARIANTS {
                    let hosts = rank_hosts(topology, &offered, hall, variant);
                    self.answers.push(render_answer(&service.entry.name, hosts));
                }
            }
        }
    }

    /// The rendered answer for a caller; `near` is the answering host's own hall, for callers
    /// that no block covers.
    ///
    /// # Errors
    /// [`LookupFault`] when the service is unknown or nobody can be offered.
    pub fn find(
        &self,
        service: &str,
        caller: net::IpAddr,
        near: topology::HallId,
    ) -> Result<Bytes, LookupFault> {
        let service = *self
            .services
            .get(service)
            .ok_or(LookupFault::ServiceUnknown)?;
        let place = self.map.find(caller).unwrap_or(block_map::BlockPlace {
            hall: near,
            hash: 0,
        });
        let variant = usize::try_from(place.hash % VARIANTS as u64).unwrap_or_default();
        let hall = place.hall.index().min(self.hall_count - 1);
        let position = (service * self.hall_count + hall) * VARIANTS + variant;
        self.answers
            .get(position)
            .cloned()
            .flatten()
            .ok_or(LookupFault::NoHost)
    }

    /// The block place of a caller.
    #[must_use]
    pub fn place_of(&self, caller: net::IpAddr) -> Option<block_map::BlockPlace> {
        self.map.find(caller)
    }

    /// The number of client blocks.
    #[must_use]
    pub fn block_count(&self) -> usize {
        self.map.block_count()
    }

    /// Bytes held by the map and the answers.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let answers: usize = self.answers.iter().flatten().map(Bytes::len).sum();
        self.map.memory_bytes() + answers + self.answers.capacity() * size_of::<Option<Bytes>>()
    }
}

struct OfferedHost<'m> {
    record: &'m member::MemberRecord,
    hall: topology::HallId,
    region: topology::RegionId,
}

fn offered_hosts<'m>(
    topology: &topology::SteeringTopology,
    members: &'m [member::MemberRecord],
) -> Vec<OfferedHost<'m>> {
    let drained = |record: &member::MemberRecord| {
        topology
            .declaration
            .is_draining(declaration::DrainKind::Host, &record.identity.name)
            || topology
                .declaration
                .is_draining(declaration::DrainKind::Hall, &record.hall)
    };
    let open = members
        .iter()
        .filter(|record| record.is_advertised() && !drained(record));
    open.filter_map(|record| {
        let hall = topology.hall_id(&record.hall)?;
        Some(OfferedHost {
            record,
            hall,
            region: topology.region_of(hall)?,
        })
    })
    .collect()
}

/// Same hall first, then the same region, then other regions by latency; suspects last in each.
fn rank_hosts<'m>(
    topology: &topology::SteeringTopology,
    offered: &[OfferedHost<'m>],
    hall: usize,
    variant: usize,
) -> Vec<&'m member::MemberRecord> {
    let Some(home) = topology.halls.get(hall) else {
        return Vec::new();
    };
    let mut order: Vec<&OfferedHost<'m>> = offered.iter().collect();
    let mut random = rand::rngs::SmallRng::seed_from_u64((hall * VARIANTS + variant) as u64);
    order.shuffle(&mut random);
    order.sort_by_key(|host| {
        let suspect = host.record.state == member::HostState::Suspect;
        (
            suspect,
            topology.latency_ms(home.region, host.region),
            host.hall.index() != hall,
        )
    });
    order
        .into_iter()
        .take(RANKED_HOSTS)
        .map(|host| host.record)
        .collect()
}

fn render_answer(service: &str, hosts: Vec<&member::MemberRecord>) -> Option<Bytes> {
    if hosts.is_empty() {
        return None;
    }
    let ranked = hosts.into_iter().map(|record| RankedHost {
        name: record.identity.name.clone(),
        address: record.caller_address,
        hall: record.hall.clone(),
    });
    let answer = LookupAnswer {
        service: service.to_owned(),
        ttl_ms: LOOKUP_TTL_MS,
        hosts: ranked.collect(),
    };
    serde_json::to_vec(&answer).ok().map(Bytes::from)
}
