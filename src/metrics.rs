//! Metrics of a worker, sent by `cadence` in the statsd format over UDP.

use std::net;

use cadence::prelude::*;

use crate::result_code::ResultCode;
use crate::settings;

const PREFIX: &str = "ledgespool";

/// Counters and timings of one worker. Without an address nothing is collected.
#[derive(Debug)]
pub struct WorkerMetrics {
    client: Option<cadence::StatsdClient>,
}

impl WorkerMetrics {
    /// Sends to the address in the settings; without one, sends nothing.
    #[must_use]
    pub fn from_settings(settings: &settings::HostSettings) -> Self {
        let sink = settings.metrics_address.and_then(udp_sink);
        let client = sink.map(|sink| {
            cadence::StatsdClient::builder(PREFIX, sink)
                .with_tag("host", &settings.name)
                .build()
        });
        Self { client }
    }

    /// Whether metrics are sent.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.client.is_some()
    }

    /// Records a request that finished with `code`, `millis` after it arrived.
    pub fn on_request(&self, service: &str, class: &str, code: ResultCode, millis: u64) {
        let Some(client) = &self.client else {
            return;
        };
        let number = code.to_string();
        client
            .count_with_tags("requests", 1)
            .with_tag("service", service)
            .with_tag("class", class)
            .with_tag("code", &number)
            .send();
        client
            .histogram_with_tags("latency_ms", millis)
            .with_tag("service", service)
            .with_tag("class", class)
            .send();
    }

    /// Records the headroom of a place in this worker's slice: units granted and not in use.
    pub fn on_headroom(&self, place: &str, units: u64) {
        if let Some(client) = &self.client {
            client
                .gauge_with_tags("headroom", units)
                .with_tag("place", place)
                .send();
        }
    }
}

/// A buffered sink behind a bounded queue with its own thread, so that the request path never waits
/// for it.
fn udp_sink(address: net::SocketAddr) -> Option<cadence::QueuingMetricSink> {
    const QUEUE_CAPACITY: usize = 4_096;
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = net::UdpSocket::bind(local).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = cadence::BufferedUdpMetricSink::from(address, socket).ok()?;
    Some(cadence::QueuingMetricSink::with_capacity(
        sink,
        QUEUE_CAPACITY,
    ))
}
