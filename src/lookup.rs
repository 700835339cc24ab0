//! Look-up answers: which entry hosts a caller should use. All answers are rendered in advance.

use std::{collections, net, sync};

use bytes::Bytes;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;

use crate::{block_map, declaration, member, topology};

/// How long a caller may cache an answer, in milliseconds. It is short, because leaving hosts must
/// stop being used within seconds.
pub const LOOKUP_TTL_MS: u64 = 2_000;
/// Maximum number of hosts in one answer.
const MAX_HOSTS_PER_ANSWER: usize = 4;
/// Number of different orders of equally near hosts, which spread the blocks over them.
const VARIANT_COUNT: usize = 8;

/// One entry host in an answer.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RankedHost {
    /// Its name.
    pub name: String,
    /// The address for callers.
    pub address: net::SocketAddr,
    /// The hall of the host.
    pub hall: String,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LookupAnswer {
    /// The requested service.
    pub service: String,
    /// How long the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// Entry hosts, best first.
    pub hosts: Vec<RankedHost>,
}

/// Rendered answers by service, hall and variant, with the block map that selects among them.
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
    /// No entry host is available.
    NoHost,
}

impl LookupTable {
    /// Renders the answers for all services, halls and variants.
    #[must_use]
    pub fn new(topology: &topology::SteeringTopology, members: &[member::MemberRecord]) -> Self {
        let map = sync::Arc::new(block_map::BlockMap::from_topology(topology));
        Self::with_map(map, topology, members)
    }

    /// Renders the answers over a block map that was already computed.
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

    /// The block map, to be reused for other tables.
    #[must_use]
    pub const fn map(&self) -> &sync::Arc<block_map::BlockMap> {
        &self.map
    }

    fn render(&mut self, topology: &topology::SteeringTopology, members: &[member::MemberRecord]) {
        let advertised = advertised_hosts(topology, members);
        for service in &topology.services {
            for hall in 0..self.hall_count {
                for variant in 0..VARIANT_COUNT {
                    let hosts = rank_hosts(topology, &advertised, hall, variant);
                    self.answers.push(render_answer(&service.entry.name, hosts));
                }
            }
        }
    }

    /// The rendered answer for a caller. `own_hall` is the hall of the answering host, for callers
    /// that no block covers.
    ///
    /// # Errors
    /// [`LookupFault`] if the service is unknown or no host is available.
    pub fn find(
        &self,
        service: &str,
        caller: net::IpAddr,
        own_hall: topology::HallId,
    ) -> Result<Bytes, LookupFault> {
        let service = *self
            .services
            .get(service)
            .ok_or(LookupFault::ServiceUnknown)?;
        let place = self.map.find(caller).unwrap_or(block_map::BlockPlace {
            hall: own_hall,
            hash: 0,
        });
        let variant = usize::try_from(place.hash % VARIANT_COUNT as u64).unwrap_or_default();
        let hall = place.hall.index().min(self.hall_count - 1);
        let position = (service * self.hall_count + hall) * VARIANT_COUNT + variant;
        self.answers
            .get(position)
            .cloned()
            .flatten()
            .ok_or(LookupFault::NoHost)
    }

    /// The place of the caller's block.
    #[must_use]
    pub fn place_of(&self, caller: net::IpAddr) -> Option<block_map::BlockPlace> {
        self.map.find(caller)
    }

    /// The number of client blocks.
    #[must_use]
    pub fn block_count(&self) -> usize {
        self.map.block_count()
    }

    /// Memory used by the block map and the answers, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let answers: usize = self.answers.iter().flatten().map(Bytes::len).sum();
        self.map.memory_bytes() + answers + self.answers.capacity() * size_of::<Option<Bytes>>()
    }
}

struct AdvertisedHost<'m> {
    record: &'m member::MemberRecord,
    hall: topology::HallId,
    region: topology::RegionId,
}

fn advertised_hosts<'m>(
    topology: &topology::SteeringTopology,
    members: &'m [member::MemberRecord],
) -> Vec<AdvertisedHost<'m>> {
    let drained = |record: &member::MemberRecord| {
        topology
            .declaration
            .is_draining(declaration::DrainKind::Host, &record.identity.name)
            || topology
                .declaration
                .is_draining(declaration::DrainKind::Hall, &record.hall)
    };
    let available = members
        .iter()
        .filter(|record| record.is_advertised() && !drained(record));
    available
        .filter_map(|record| {
            let hall = topology.hall_id(&record.hall)?;
            Some(AdvertisedHost {
                record,
                hall,
                region: topology.region_of(hall)?,
            })
        })
        .collect()
}

/// Ranks hosts: the same hall first, then the same region, then other regions by latency. Suspect
/// hosts come last.
fn rank_hosts<'m>(
    topology: &topology::SteeringTopology,
    advertised: &[AdvertisedHost<'m>],
    hall: usize,
    variant: usize,
) -> Vec<&'m member::MemberRecord> {
    let Some(home) = topology.halls.get(hall) else {
        return Vec::new();
    };
    let mut order: Vec<&AdvertisedHost<'m>> = advertised.iter().collect();
    let mut random = rand::rngs::SmallRng::seed_from_u64((hall * VARIANT_COUNT + variant) as u64);
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
        .take(MAX_HOSTS_PER_ANSWER)
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
