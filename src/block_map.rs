//! Maps each client block to a hall: longest prefix, weighted by hall, with few reassignments.
//!
//! Each host computes the map from the declaration; it is never sent over the network. The hall of
//! a block is selected among the halls of its region by weighted rendezvous hashing (Thaler and
//! Ravishankar, 1998), so that a change of one hall's weight moves only the blocks that it gains or
//! loses.

use std::net;

use xxhash_rust::xxh3;

use crate::declaration;
use crate::entry::hash;
use crate::topology;

const NO_HALL: u16 = u16::MAX;

/// The place of an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockPlace {
    /// The hall to which its block is assigned.
    pub hall: topology::HallId,
    /// A hash of the block, the same for all its addresses and on all hosts.
    pub hash: u64,
}

/// Address ranges of one family, sorted by their first address.
#[derive(Debug, Default)]
struct RangeTable<A> {
    starts: Vec<A>,
    halls: Vec<u16>,
}

impl<A: Copy + Ord + Into<u128>> RangeTable<A> {
    fn find(&self, address: A) -> Option<BlockPlace> {
        let position = self
            .starts
            .partition_point(|&start| start <= address)
            .checked_sub(1)?;
        let hall = *self.halls.get(position)?;
        let start = *self.starts.get(position)?;
        (hall != NO_HALL).then(|| BlockPlace {
            hall: topology::HallId(hall),
            hash: hash_block(start.into()),
        })
    }

    fn push(&mut self, start: A, hall: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.halls.pop();
        }
        self.starts.push(start);
        self.halls.push(hall);
    }
}

/// The map from client addresses to halls.
#[derive(Debug, Default)]
pub struct BlockMap {
    v4: RangeTable<u32>,
    v6: RangeTable<u128>,
    block_count: usize,
}

/// A hall that blocks may be assigned to.
#[derive(Debug, Clone, Copy)]
struct WeightedHall {
    hall: topology::HallId,
    region: topology::RegionId,
    seed: u64,
    weight: f64,
}

impl BlockMap {
    /// Computes the map. The declaration was checked, so its prefixes are disjoint.
    ///
    /// ```
    /// use std::sync;
    /// use ledgespool::{block_map, declaration, topology};
    /// let declaration = sync::Arc::new(declaration::SteeringDeclaration::default());
    /// let topology = topology::SteeringTopology::from_declaration(1, &declaration);
    /// let map = block_map::BlockMap::from_topology(&topology);
    /// assert!(map.find("10.0.0.1".parse().unwrap()).is_none());
    /// ```
    #[must_use]
    pub fn from_topology(topology: &topology::SteeringTopology) -> Self {
        let halls = weighted_halls(topology);
        let mut entries: Vec<&declaration::BlockEntry> =
            topology.declaration.blocks.iter().collect();
        entries.sort_by_key(|entry| entry.prefix.network());
        let mut map = Self::default();
        for entry in entries {
            let Some(region) = topology.region_id(&entry.region) else {
                continue;
            };
            let candidates: Vec<WeightedHall> = halls
                .iter()
                .copied()
                .filter(|hall| hall.region == region)
                .collect();
            map.add_range(entry, &candidates);
        }
        map
    }

    fn add_range(&mut self, entry: &declaration::BlockEntry, halls: &[WeightedHall]) {
        let count = entry.block_count();
        self.block_count += usize::try_from(count).unwrap_or(usize::MAX);
        match entry.prefix {
            ipnet::IpNet::V4(prefix) => {
                let first = u64::from(prefix.network().to_bits());
                let step = 1_u64 << (32 - u32::from(entry.split).min(32));
                for block in 0..count {
                    let start = first + block * step;
                    let hall = choose_hall(hash_block(u128::from(start)), halls);
                    self.v4.push(u32::try_from(start).unwrap_or(u32::MAX), hall);
                }
                if let Ok(end) = u32::try_from(first + count * step) {
                    self.v4.push(end, NO_HALL);
                }
            }
            ipnet::IpNet::V6(prefix) => {
                let first = prefix.network().to_bits();
                let step = 1_u128
                    .checked_shl(128 - u32::from(entry.split).min(128))
                    .unwrap_or(0);
                for block in 0..count {
                    let start = first.wrapping_add(u128::from(block).wrapping_mul(step));
                    let hall = choose_hall(hash_block(start), halls);
                    self.v6.push(start, hall);
                }
                let end = u128::from(count)
                    .checked_mul(step)
                    .and_then(|span| first.checked_add(span));
                if let Some(end) = end {
                    self.v6.push(end, NO_HALL);
                }
            }
        }
    }

    /// The place of an address; `None` if no block covers it.
    #[must_use]
    pub fn find(&self, address: net::IpAddr) -> Option<BlockPlace> {
        match address.to_canonical() {
            net::IpAddr::V4(address) => self.v4.find(address.to_bits()),
            net::IpAddr::V6(address) => self.v6.find(address.to_bits()),
        }
    }

    /// The number of client blocks.
    #[must_use]
    pub const fn block_count(&self) -> usize {
        self.block_count
    }

    /// Memory used by the tables, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let v4 = self.v4.starts.capacity() * size_of::<u32>()
            + self.v4.halls.capacity() * size_of::<u16>();
        let v6 = self.v6.starts.capacity() * size_of::<u128>()
            + self.v6.halls.capacity() * size_of::<u16>();
        v4 + v6
    }
}

fn weighted_halls(topology: &topology::SteeringTopology) -> Vec<WeightedHall> {
    let halls = topology.halls.iter().enumerate();
    let available = halls.filter(|(_, hall)| {
        !topology
            .declaration
            .is_draining(declaration::DrainKind::Hall, &hall.name)
    });
    available
        .map(|(index, hall)| WeightedHall {
            hall: topology::HallId(u16::try_from(index).unwrap_or(NO_HALL)),
            region: hall.region,
            seed: xxh3::xxh3_64(hall.name.as_bytes()),
            weight: f64::from(hall.capacity),
        })
        .collect()
}

fn hash_block(start: u128) -> u64 {
    xxh3::xxh3_64(&start.to_le_bytes())
}

/// Selects the hall with the highest score. A score depends only on the block and that hall.
fn choose_hall(block: u64, halls: &[WeightedHall]) -> u16 {
    let mut best = NO_HALL;
    let mut best_score = f64::NEG_INFINITY;
    for hall in halls {
        let score = rendezvous_score(block, hall.seed, hall.weight);
        if score > best_score {
            best_score = score;
            best = hall.hall.0;
        }
    }
    best
}

/// `-weight / ln(u)` for a uniform `u` in (0, 1), derived from both hashes.
fn rendezvous_score(block: u64, seed: u64, weight: f64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    let mixed = hash::mix(block ^ seed);
    let uniform = ((mixed >> 11) as f64 + 0.5) * SCALE;
    -weight / uniform.ln()
}
