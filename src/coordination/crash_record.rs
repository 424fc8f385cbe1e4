//! The record of crashes in the platform's store, from which daemons learn after all have ended what
//! crashes upstreams.
//!
//! See docs/design/crashing-requests.md.

use crate::coordination::crashes::CRASH_RETENTION;
use crate::coordination::messages::PartHistory;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::SystemTime;

/// The store key of the record. A record of another layout gets another key.
pub const CRASH_KEY: &str = "apricotrun/crashes/1";
/// The longest time that is taken to have passed since the record was written. A clock that is ahead must
/// not let a daemon forget crashes.
const MAX_RECORD_AGE: Duration = Duration::from_secs(CRASH_RETENTION.as_secs() / 2);

/// A crash under a request, as the record has it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedCrash {
    /// How long before the record was written the upstream ended.
    pub age: Duration,
    /// One of the attempts that were lost.
    pub attempt: AttemptId,
    /// Whether a run of the request has completed since.
    pub is_cleared: bool,
    /// The upstream, if it is known.
    pub upstream: Option<UpstreamName>,
    /// The crash weight that counts for the request.
    pub weight: u32,
}

/// What all daemons must still know of crashes after all of them have ended.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// The crashes under requests, by their fingerprints.
    pub requests: BTreeMap<Fingerprint, Vec<RecordedCrash>>,
    parts: Vec<PartHistory>,
    /// When the record was written, in Unix milliseconds.
    written: u64,
}

impl CrashRecord {
    /// Returns a record that is written at `written`.
    pub fn new(
        written: SystemTime,
        parts: Vec<PartHistory>,
        requests: BTreeMap<Fingerprint, Vec<RecordedCrash>>,
    ) -> Self {
        Self { requests, parts, written: unix_millis(written) }
    }

    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns an error if a field cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns how long ago the record was written.
    pub fn age(&self, wall: SystemTime) -> Duration {
        let age = unix_millis(wall).saturating_sub(self.written);
        Duration::from_millis(age).min(MAX_RECORD_AGE)
    }

    /// Returns what the record says of parts of prompts, with ages as of now.
    pub fn aged_parts(&self, wall: SystemTime) -> Vec<PartHistory> {
        let since_written = self.age(wall);
        let mut parts = self.parts.clone();
        for part in &mut parts {
            part.crashes.iter_mut().for_each(|(_, age)| *age += since_written);
            part.sound = part.sound.map(|age| age + since_written);
        }
        parts
    }
}

fn unix_millis(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
