//! Selects the hosts that get a digest.
//!
//! **Load pattern.** The number of digests that a host sends must not grow with the number of
//! hosts. Each goes to some random hosts. Traffic between halls is paid for, so most of them are in
//! the own hall.

use rand::Rng;
use rand::seq::{IteratorRandom as _, SliceRandom as _};

/// Number of hosts that get what a host learned itself. Together, the hosts of a region tell each
/// of them this multiple of what it learns itself.
pub const RECIPIENTS: usize = 12;
/// Number of these that also get what the host heard from others. When each host tells news on to
/// two others, about four of five hosts hear it (rumor mongering; Demers et al., 1987), and the
/// others hear one of the next reports.
pub const RELAY_RECIPIENTS: usize = 2;
/// Number of recipients that are in other halls of the region.
const OTHER_HALL_RECIPIENTS: usize = 5;

/// Selects recipients among the hosts of the own hall and those of the region's other halls. If
/// there are too few in one group, more are taken from the other. They are in random order.
///
/// ```
/// use ledgespool::load_exchange::schedule;
/// use rand::SeedableRng as _;
/// let mut random = rand::rngs::SmallRng::seed_from_u64(1);
/// let hall: Vec<u32> = (1..30).collect();
/// let other_halls: Vec<u32> = (101..130).collect();
/// let chosen = schedule::recipients(&hall, &other_halls, &mut random);
/// assert_eq!(chosen.len(), schedule::RECIPIENTS);
/// assert_eq!(chosen.iter().filter(|host| **host > 100).count(), 5);
/// assert_eq!(schedule::recipients(&[], &[11, 12], &mut random).len(), 2);
/// ```
#[must_use]
pub fn recipients<T: Copy>(hall: &[T], other_halls: &[T], random: &mut impl Rng) -> Vec<T> {
    let others = OTHER_HALL_RECIPIENTS.max(RECIPIENTS.saturating_sub(hall.len()));
    let others = others.min(other_halls.len());
    let mut chosen = hall
        .iter()
        .copied()
        .choose_multiple(random, RECIPIENTS - others);
    chosen.extend(other_halls.iter().copied().choose_multiple(random, others));
    chosen.shuffle(random);
    chosen
}
