//! Writes events to standard output as JSON lines, with a rate limit per second.
//!
//! The serving thread only appends to a batch in memory and a writer thread writes whole batches,
//! so a standard output that nobody reads never delays a request. Batches that exceed the writer's
//! queue are dropped and counted.

use std::io::Write as _;
use std::sync::mpsc;
use std::{cell, thread};

use serde::Serialize;

use crate::event::EventCode;
use crate::timer;

/// Capacity of the writer's queue, in batches.
const MAX_QUEUED_BATCHES: usize = 16;
/// A batch is sent to the writer when it reaches this size, in bytes, or at the next tick.
const BATCH_BYTES: usize = 8 * 1024;
/// Maximum number of ordinary lines per second; more are counted and left out. The usual load of a
/// small host, 80 requests per second, stays below it.
const MAX_ORDINARY_PER_S: u32 = 100;
/// Maximum number of important lines per second. Their limit is separate, so that lines about
/// served requests never displace them.
const MAX_IMPORTANT_PER_S: u32 = 200;
/// Stack size of the writer thread, in bytes; its call depth is small.
const STACK_BYTES: usize = 64 * 1024;

/// Which rate limit applies to a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogPriority {
    /// A request was served.
    Ordinary,
    /// A request failed, or the state of the host or fleet changed.
    Important,
}

#[derive(Serialize)]
struct LogLine<'a, F: Serialize> {
    unix_ms: u64,
    host: &'a str,
    event: EventCode,
    text: &'a str,
    #[serde(flatten)]
    fields: F,
}

#[derive(Debug, Default)]
struct LogState {
    batch: Vec<u8>,
    batch_lines: u64,
    second: u64,
    ordinary: u32,
    important: u32,
    left_out: u64,
    dropped: u64,
}

/// The event log of one process, used from the serving thread.
#[derive(Debug)]
pub struct DecisionLog {
    host: String,
    state: cell::RefCell<LogState>,
    batches: cell::RefCell<Option<mpsc::SyncSender<Vec<u8>>>>,
}

/// Counts of lines that were not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LogLoss {
    /// Left out because of the rate limit.
    pub left_out: u64,
    /// Dropped because standard output was not read.
    pub dropped: u64,
}

impl DecisionLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(host: &str) -> std::io::Result<(Self, thread::JoinHandle<()>)> {
        let (batches, queue) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_batches(&queue))?;
        Ok((Self::with_sender(host, Some(batches)), writer))
    }

    /// Creates a log that writes nothing, for tests.
    #[must_use]
    pub fn silent(host: &str) -> Self {
        Self::with_sender(host, None)
    }

    fn with_sender(host: &str, batches: Option<mpsc::SyncSender<Vec<u8>>>) -> Self {
        Self {
            host: host.to_owned(),
            state: cell::RefCell::default(),
            batches: cell::RefCell::new(batches),
        }
    }

    /// Writes one line, unless the rate limit is reached.
    pub fn write(&self, event: EventCode, priority: LogPriority, fields: impl Serialize) {
        if self.batches.borrow().is_none() {
            return;
        }
        let unix_ms = timer::unix_millis();
        let mut state = self.state.borrow_mut();
        if !state.admit(priority, unix_ms / 1_000) {
            state.left_out += 1;
            return;
        }
        let line = LogLine {
            unix_ms,
            host: &self.host,
            event,
            text: event.text(),
            fields,
        };
        let written = serde_json::to_writer(&mut state.batch, &line);
        debug_assert!(written.is_ok(), "log fields are plain data");
        state.batch.push(b'\n');
        state.batch_lines += 1;
        if state.batch.len() >= BATCH_BYTES {
            self.send_batch(&mut state);
        }
    }

    /// Sends the current batch to the writer.
    pub fn flush(&self) {
        let mut state = self.state.borrow_mut();
        if !state.batch.is_empty() {
            self.send_batch(&mut state);
        }
    }

    /// Sends the current batch and lets the writer thread end. Later lines are discarded.
    pub fn close(&self) {
        self.flush();
        *self.batches.borrow_mut() = None;
    }

    /// Counts of lines that were not written.
    #[must_use]
    pub fn loss(&self) -> LogLoss {
        let state = self.state.borrow();
        LogLoss {
            left_out: state.left_out,
            dropped: state.dropped,
        }
    }

    fn send_batch(&self, state: &mut LogState) {
        let batch = std::mem::take(&mut state.batch);
        let lines = std::mem::take(&mut state.batch_lines);
        let batches = self.batches.borrow();
        let sent = batches.as_ref().map(|batches| batches.try_send(batch));
        if sent.is_some_and(|sent| sent.is_err()) {
            state.dropped += lines;
        }
    }
}

impl LogState {
    fn admit(&mut self, priority: LogPriority, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.ordinary = 0;
            self.important = 0;
        }
        let (count, limit) = match priority {
            LogPriority::Ordinary => (&mut self.ordinary, MAX_ORDINARY_PER_S),
            LogPriority::Important => (&mut self.important, MAX_IMPORTANT_PER_S),
        };
        *count += 1;
        *count <= limit
    }
}

fn write_batches(queue: &mpsc::Receiver<Vec<u8>>) {
    let mut output = std::io::stdout().lock();
    while let Ok(batch) = queue.recv() {
        // There is no place to report that standard output is closed.
        let _written = output.write_all(&batch);
        let _flushed = output.flush();
    }
}
