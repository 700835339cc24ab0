//! The record of a case: what was sent, answered and run, with times in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record. Clones write to the same file.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn millis(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("a sound lock");
        let _written = writeln!(file, "{:>6} {text}", self.millis());
        let _flushed = file.flush();
    }
}
