//! How much a host holds for callers, from the limits of its machine.

use super::settings::EntrySettings;

/// Callers get the memory of the machine divided by this.
const MEMORY_DIVISOR: u64 = 3;
/// They get up to the memory divided by this, if one body of the largest size needs it.
const MAX_MEMORY_DIVISOR: u64 = 2;
/// The memory divided by this is kept for small bodies.
const SMALL_BODY_DIVISOR: u64 = 8;
/// Largest small body, in bytes.
const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Descriptors that are kept for files and internal use. A host with few keeps the part below.
const KEPT_DESCRIPTORS: u32 = 200;
/// A host keeps at most its descriptors divided by this.
const KEPT_DESCRIPTORS_DIVISOR: u32 = 8;
/// Sixteenths of the other descriptors that callers' connections get. The connections to servers
/// take as many, since each request of a caller needs one.
const CALLER_SIXTEENTHS: u32 = 6;
/// The same for idle and open connections to servers.
const SERVER_SIXTEENTHS: u32 = 8;
/// The same for look-up connections, which end after one request.
const LOOKUP_SIXTEENTHS: u32 = 1;
/// Connections of the platform's readiness checks: one for each check of a second, and some that
/// have not ended yet.
const READINESS_CONNECTIONS: usize = 8;
/// Memory of a connection with its buffers and its request, without the body, in bytes.
const CONNECTION_BYTES: u64 = 40 << 10;
/// Connections get the memory of the machine divided by this.
const CONNECTION_MEMORY_DIVISOR: u64 = 5;

/// What a host holds for callers at most.
///
/// ```
/// use ledgespool::entry::caller_limits::CallerLimits;
/// let limits = CallerLimits {
///     memory_bytes: 260 << 20,
///     set_caller_memory_bytes: None,
///     descriptors: 4_100,
///     set_connections: None,
/// };
/// let small = limits.memory_for(100, 100_000);
/// assert_eq!(small, (260 << 20) / 3);
/// assert!(limits.memory_for(90_000, 100_000) < small);
/// // One body of the largest size fits, on a small machine as well.
/// let limits = CallerLimits { memory_bytes: 160 << 20, ..limits };
/// assert!(limits.memory_for(64 << 20, 64 << 20) > 64 << 20);
/// assert_eq!(limits.connections(), 819);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Memory for callers that the settings state, in bytes.
    pub set_caller_memory_bytes: Option<u64>,
    /// File descriptors that the process may use.
    pub descriptors: u32,
    /// Callers' connections that the settings state.
    pub set_connections: Option<u32>,
}

impl CallerLimits {
    /// The limits of a host with these settings.
    #[must_use]
    pub const fn of(settings: &EntrySettings) -> Self {
        Self {
            memory_bytes: settings.memory_bytes,
            set_caller_memory_bytes: settings.caller_memory_bytes,
            descriptors: settings.descriptors,
            set_connections: settings.caller_connections,
        }
    }

    /// The memory for all that is held for callers, in bytes, where bodies may have up to
    /// `max_body_bytes`.
    #[must_use]
    pub fn memory(&self, max_body_bytes: u64) -> u64 {
        if let Some(bytes) = self.set_caller_memory_bytes {
            return bytes;
        }
        let share = self.memory_bytes / MEMORY_DIVISOR;
        // The part for small bodies, and a block that is not full.
        let largest = max_body_bytes.saturating_add(SMALL_BODY_BYTES);
        let largest = largest.saturating_add(largest / (SMALL_BODY_DIVISOR - 1));
        share.max(largest.min(self.memory_bytes / MAX_MEMORY_DIVISOR))
    }

    /// The memory up to which a body may grow to `body_bytes`, in bytes. The last part is kept for
    /// small bodies, so that a few large ones do not shut them out.
    #[must_use]
    pub fn memory_for(&self, body_bytes: u64, max_body_bytes: u64) -> u64 {
        let memory = self.memory(max_body_bytes);
        if body_bytes <= SMALL_BODY_BYTES {
            memory
        } else {
            memory - memory / SMALL_BODY_DIVISOR
        }
    }

    /// The number of callers' connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        if let Some(connections) = self.set_connections {
            return connections as usize;
        }
        let fitting = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
        self.sixteenths(CALLER_SIXTEENTHS).min(fitting).max(1)
    }

    /// The number of look-up connections.
    #[must_use]
    pub fn lookup_connections(&self) -> usize {
        self.sixteenths(LOOKUP_SIXTEENTHS).max(1)
    }

    /// The number of connections of readiness checks.
    #[must_use]
    pub const fn readiness_connections(&self) -> usize {
        READINESS_CONNECTIONS
    }

    /// The number of connections to servers, in use or idle.
    #[must_use]
    pub fn server_connections(&self) -> usize {
        self.sixteenths(SERVER_SIXTEENTHS).max(1)
    }

    fn sixteenths(&self, count: u32) -> usize {
        let kept = KEPT_DESCRIPTORS.min(self.descriptors / KEPT_DESCRIPTORS_DIVISOR);
        ((self.descriptors - kept) / 16 * count) as usize
    }
}
