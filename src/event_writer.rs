//! The event thread: writes numbered events to the log and retains the latest ones for the
//! timeline.

use std::sync;
use std::sync::atomic;
use std::thread;

use spdlog::sink::StdStreamSink;
use tokio::sync::oneshot;

use crate::event::{EventCode, EventLevel};
use crate::ring::{self, RingReceiver, RingSender};
use crate::timeline::{ClockStamp, EventLog, EventRecord, HybridClock};

/// Events that may wait to be written; further ones are dropped and counted.
const EVENT_RING_CAPACITY: usize = 4_096;

#[derive(Debug)]
enum EventInput {
    Write(EventRecord),
    Read(ClockStamp, oneshot::Sender<Vec<EventRecord>>),
}

/// A handle to the event thread, for all threads of a process.
#[derive(Debug, Clone)]
pub struct EventPort {
    ring: RingSender<EventInput>,
    host: sync::Arc<str>,
    clock: HybridClock,
    numbers: sync::Arc<atomic::AtomicU64>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

/// How events are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogStyle {
    /// One line of JSON per event on standard error.
    Json,
    /// No log output; the timeline still holds every event.
    Silent,
}

impl EventPort {
    /// Writes an event to the log and the timeline, without waiting.
    pub fn write(&self, code: EventCode, detail: impl Into<String>) {
        let record = EventRecord {
            stamp: self.clock.tick(),
            host: self.host.to_string(),
            number: self.numbers.fetch_add(1, atomic::Ordering::Relaxed),
            event: code.number(),
            detail: detail.into(),
        };
        if self.ring.push(EventInput::Write(record)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the events later than `after`; none if the event thread has stopped or its ring is
    /// full.
    pub async fn read(&self, after: ClockStamp) -> Vec<EventRecord> {
        let (sender, receiver) = oneshot::channel();
        if self.ring.push(EventInput::Read(after, sender)).is_err() {
            return Vec::new();
        }
        receiver.await.unwrap_or_default()
    }

    /// The hybrid clock of the process.
    #[must_use]
    pub const fn clock(&self) -> &HybridClock {
        &self.clock
    }
}

/// Starts the event thread, which ends when all ports are dropped.
///
/// # Errors
/// When the thread or the logger cannot be created.
pub fn spawn(host: &str, style: LogStyle) -> std::io::Result<(EventPort, thread::JoinHandle<()>)> {
    let (ring, receiver) = ring::with_capacity(EVENT_RING_CAPACITY);
    let port = EventPort {
        ring,
        host: sync::Arc::from(host),
        clock: HybridClock::default(),
        numbers: sync::Arc::new(atomic::AtomicU64::new(1)),
        dropped: sync::Arc::new(atomic::AtomicU64::new(0)),
    };
    let dropped = sync::Arc::clone(&port.dropped);
    let logger = make_logger(style)?;
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    let handle = thread::Builder::new()
        .name("events".to_owned())
        .spawn(move || {
            runtime.block_on(write_events(receiver, dropped, logger));
        })?;
    Ok((port, handle))
}

fn make_logger(style: LogStyle) -> std::io::Result<Option<spdlog::Logger>> {
    if style == LogStyle::Silent {
        return Ok(None);
    }
    let formatter =
        spdlog::formatter::PatternFormatter::new(spdlog::formatter::pattern!("{payload}{eol}"));
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build();
    let sink = sink.map_err(std::io::Error::other)?;
    let logger = spdlog::Logger::builder().sink(sync::Arc::new(sink)).build();
    logger.map(Some).map_err(std::io::Error::other)
}

async fn write_events(
    receiver: RingReceiver<EventInput>,
    dropped: sync::Arc<atomic::AtomicU64>,
    logger: Option<spdlog::Logger>,
) {
    let mut log = EventLog::default();
    while let Some(input) = receiver.pop().await {
        match input {
            EventInput::Write(mut record) => {
                let lost = dropped.swap(0, atomic::Ordering::Relaxed);
                if lost > 0 {
                    record.detail = format!("{} ({lost} events dropped before)", record.detail);
                }
                if let Some(logger) = &logger {
                    write_line(logger, &record);
                }
                log.push(record);
            }
            EventInput::Read(after, sender) => {
                // The reader may have gone away in the meantime.
                let _gone = sender.send(log.since(after));
            }
        }
    }
    if let Some(logger) = &logger {
        logger.flush();
    }
}

fn write_line(logger: &spdlog::Logger, record: &EventRecord) {
    let code = EventCode::ALL
        .iter()
        .find(|code| code.number() == record.event);
    let level = match code.map(|code| code.level()) {
        Some(EventLevel::Error) => spdlog::Level::Error,
        Some(EventLevel::Warn) => spdlog::Level::Warn,
        _ => spdlog::Level::Info,
    };
    let line = serde_json::json!({
        "stamp": record.stamp,
        "unix_ms": record.stamp.unix_millis(),
        "level": level.as_str(),
        "host": record.host,
        "number": record.number,
        "event": format!("EV{}", record.event),
        "text": record.text(),
        "detail": record.detail,
    });
    spdlog::log!(logger: logger, level, "{}", line);
}
