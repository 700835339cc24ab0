//! Selects among servers outside of an object's ranking, when all ranked servers would be late.
//!
//! **Load pattern.** The ranked servers of a busy object are full while other servers have free
//! slots. All hosts see the same free servers at the same time. If each took the one with the most
//! free slots, it would be full at once (herd effect; Mitzenmacher, "How useful is old
//! information?", 2000). Each host therefore compares the few that it draws at random, and its own
//! sends count at once.

/// Number of servers drawn at random. Among so many, some are in the own region and have a free
/// slot, if one server in ten does.
pub const DRAWN_SERVERS: usize = 32;
/// Number of drawn servers that are compared: two choices are nearly as good as all (Mitzenmacher,
/// 2001).
const COMPARED_SERVERS: usize = 2;

/// How far a server is from the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerDistance {
    /// In the host's hall.
    Hall,
    /// In another hall of the host's region.
    Region,
    /// In another region.
    Remote,
}

/// A drawn server with a free slot.
#[derive(Debug, Clone, Copy)]
pub struct FreeServer<T> {
    /// The server.
    pub server: T,
    /// Its distance.
    pub distance: ServerDistance,
    /// Expected time to the answer, in milliseconds.
    pub total_ms: f64,
    /// Requests at the server as a fraction of its slots.
    pub load_share: f64,
}

/// Selects one of the servers, which are in random order: of the nearest few the one with the
/// lowest load. Servers that answer after `max_ms` are not selected.
///
/// ```
/// use ledgespool::placement::overflow::{self, FreeServer, ServerDistance};
/// let free = |server, distance, load_share| FreeServer { server, distance, total_ms: 900.0, load_share };
/// let servers = [
///     free("far", ServerDistance::Remote, 0.0),
///     free("near", ServerDistance::Hall, 0.8),
///     free("beside", ServerDistance::Region, 0.2),
/// ];
/// assert_eq!(overflow::select(&servers, 1_000.0), Some("beside"));
/// assert_eq!(overflow::select(&servers, 500.0), None);
/// ```
#[must_use]
pub fn select<T: Copy>(servers: &[FreeServer<T>], max_ms: f64) -> Option<T> {
    let in_time = servers.iter().filter(|free| free.total_ms <= max_ms);
    let mut nearest: Vec<&FreeServer<T>> = in_time.collect();
    // Stable, so that servers at the same distance stay in random order.
    nearest.sort_by_key(|free| free.distance);
    let compared = nearest.into_iter().take(COMPARED_SERVERS);
    let lowest = compared.min_by(|a, b| a.load_share.total_cmp(&b.load_share));
    lowest.map(|free| free.server)
}
