//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that several threads write.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(directory: &Path) -> Self {
        let file = File::create(directory.join("record.txt")).expect("record.txt can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.now_ms() as f64 / 1_000.0;
        let line = format!("{seconds:8.3} s  {}\n", text.as_ref());
        let mut file = self.file.lock().expect("no writer panicked");
        let _written = file.write_all(line.as_bytes());
    }
}
