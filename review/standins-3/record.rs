//! Writes down what was sent, answered and run, with the milliseconds since the start.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Default)]
struct Events {
    lines: Vec<String>,
    arrivals: BTreeMap<String, Vec<Instant>>,
    runs: BTreeMap<String, Vec<Instant>>,
}

/// The events of one case; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    events: Arc<Mutex<Events>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), events: Arc::default() }
    }

    pub fn note(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        self.events.lock().expect("the events").lines.push(format!("{ms:>7} ms  {text}"));
    }

    /// A request has reached a worker.
    pub fn arrival(&self, id: &str, worker: &str) {
        self.note(&format!("request {id} reaches {worker}"));
        let mut events = self.events.lock().expect("the events");
        events.arrivals.entry(id.to_owned()).or_default().push(Instant::now());
    }

    /// A worker has begun to run a request.
    pub fn run(&self, id: &str, worker: &str) {
        self.note(&format!("request {id} runs at {worker}"));
        let mut events = self.events.lock().expect("the events");
        events.runs.entry(id.to_owned()).or_default().push(Instant::now());
    }

    /// Returns when a request reached workers.
    pub fn arrivals(&self, id: &str) -> Vec<Instant> {
        self.events.lock().expect("the events").arrivals.get(id).cloned().unwrap_or_default()
    }

    /// Returns when workers began to run a request.
    pub fn runs(&self, id: &str) -> Vec<Instant> {
        self.events.lock().expect("the events").runs.get(id).cloned().unwrap_or_default()
    }

    pub fn write(&self, path: &str) {
        let mut file = File::create(path).expect("the record is created");
        for line in &self.events.lock().expect("the events").lines {
            writeln!(file, "{line}").expect("the record is written");
        }
    }
}
