//! Writes what was sent, answered and run, with the milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt is created");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:>7} ms  {text}").expect("record.txt is written");
    }

    /// Returns the milliseconds from the start of the case until `at`.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }
}
