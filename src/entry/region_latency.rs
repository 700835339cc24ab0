//! Round trip times to the regions, estimated from the time that connections take to establish.

use std::{collections, time};

/// Connect timeout of regions to which no connection has been established yet, and the upper bound
/// of all others. When it expires, the server is ejected. It is several times the round trip
/// between the most distant regions.
const MAX_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// The timeout of a region with a known connect time is this multiple of it, which leaves enough
/// time for a server that is slow to accept.
const CONNECT_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum connect timeout, because a busy host polls its sockets late.
const MIN_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Weight of a connection that was established faster than the estimate. A slower connection
/// replaces the estimate, so that the timeout is soon long enough.
const DECREASE_WEIGHT: f64 = 0.05;
/// Assumed round trip to another region until a connection has been established, in milliseconds:
/// twice a typical one-way latency of 20 ms.
const DEFAULT_REMOTE_RTT_MS: f64 = 40.0;

/// The connect times that a host has measured.
#[derive(Debug, Default)]
pub struct RegionLatencies {
    /// Estimated time that a connection to each region takes to establish, in milliseconds.
    connect_ms: collections::HashMap<String, f64>,
}

impl RegionLatencies {
    /// Timeout for connecting to a server of `region`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledgespool::entry::region_latency::RegionLatencies;
    /// let mut latencies = RegionLatencies::default();
    /// assert_eq!(latencies.connect_timeout("perth"), Duration::from_millis(700));
    /// latencies.on_connected("perth", Duration::from_millis(100));
    /// assert_eq!(latencies.connect_timeout("perth"), Duration::from_millis(400));
    /// ```
    #[must_use]
    pub fn connect_timeout(&self, region: &str) -> time::Duration {
        let Some(known_ms) = self.connect_ms.get(region) else {
            return MAX_CONNECT_TIMEOUT;
        };
        let timeout = time::Duration::from_secs_f64(known_ms * CONNECT_TIMEOUT_FACTOR / 1_000.0);
        timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// A connection to a server of `region` was established after `took`.
    pub fn on_connected(&mut self, region: &str, took: time::Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        match self.connect_ms.get_mut(region) {
            None => {
                self.connect_ms.insert(region.to_owned(), took_ms);
            }
            Some(known_ms) if took_ms > *known_ms => *known_ms = took_ms,
            Some(known_ms) => *known_ms += DECREASE_WEIGHT * (took_ms - *known_ms),
        }
    }

    /// The estimated round trip time from a host in `own_region` to a server of `region`, in
    /// milliseconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ledgespool::entry::region_latency::RegionLatencies;
    /// let mut latencies = RegionLatencies::default();
    /// assert!(latencies.rtt_ms("kal", "perth") > latencies.rtt_ms("perth", "perth"));
    /// latencies.on_connected("kal", Duration::from_millis(220));
    /// assert!(latencies.rtt_ms("kal", "perth") >= 220.0);
    /// ```
    #[must_use]
    pub fn rtt_ms(&self, region: &str, own_region: &str) -> f64 {
        let default_ms = if region == own_region {
            0.0
        } else {
            DEFAULT_REMOTE_RTT_MS
        };
        self.connect_ms.get(region).copied().unwrap_or(default_ms)
    }
}
