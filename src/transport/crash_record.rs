//! Keeps the record of crashes in the platform's store.
//!
//! Daemons tell each other of crashes, so the record is read only when they start; it is written so that
//! they know after all of them have ended. See docs/design/crashing-requests.md.

use crate::coordination::crash_record::{CRASH_KEY, CrashRecord};
use crate::coordination::crashes::RecordNeed;
use crate::coordination::ownership::{crash_key, rank_daemons};
use crate::coordination::store::{StoreError, StoreVersion, StoredValue};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics::counter;
use rand::Rng;
use std::sync::Arc;

/// The time from a crash to the write by the daemon that writes first. Most requests that were not to
/// blame have completed elsewhere by then.
const WRITE_DELAY: Duration = Duration::from_millis(200);
/// How much longer the other daemons wait for its write before they write themselves: it may be cut off
/// from the store or from the daemon that has reported the crash.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// How much longer a write waits that only takes blame away.
const CLEARED_DELAY: Duration = Duration::from_secs(2);
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The record of crashes as the store has it.
#[derive(Clone, Debug, Default)]
pub struct StoredCrashes {
    /// The content; empty if there is none or it cannot be read.
    pub record: CrashRecord,
    /// The version that the next write replaces.
    pub version: StoreVersion,
}

impl StoredCrashes {
    /// Decodes the stored bytes. Those that cannot be read are replaced with the next crash.
    pub fn decode(bytes: &[u8], version: StoreVersion) -> Self {
        let record = CrashRecord::decode(bytes).unwrap_or_else(|error| {
            log::error!("store: the record of crashes is unreadable: {error}");
            CrashRecord::default()
        });
        Self { record, version }
    }

    fn of(value: Option<StoredValue>) -> Self {
        value.map_or_else(Self::default, |value| Self::decode(&value.bytes, value.version))
    }
}

/// Writes the record of crashes when it has to change, until the task is dropped.
pub async fn keep_crash_record(node: Arc<DaemonNode>) {
    let mut has_failed = false;
    loop {
        let Some(need) = node.record_need() else {
            node.crashes_changed.notified().await;
            continue;
        };
        let pause = if has_failed { RETRY_DELAY } else { Duration::ZERO };
        let due = node.clock.now() + pause + node.write_delay(need);
        // Another daemon may write it meanwhile.
        if !node.needs_record_at(due, need).await {
            continue;
        }
        let written = node.write_crash_record().await;
        has_failed = written.is_err();
        if let Err(error) = written {
            counter!("apricotrun_crash_record_failures_total").increment(1);
            log::info!("store: the record of crashes was not written: {error}");
        }
    }
}

impl DaemonNode {
    /// Learns from the stored record when the daemon starts, as soon as the store can be read.
    pub async fn load_crash_record(self: &Arc<Self>) {
        loop {
            match self.store.get(CRASH_KEY).await {
                Ok(value) => return self.learn_crashes(&StoredCrashes::of(value)),
                Err(error) => log::info!("store: the record of crashes was not read: {error}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Learns from the stored record when the daemon starts.
    pub fn learn_crashes(&self, stored: &StoredCrashes) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.change_refusals(|node| {
            lock(&node.crashes).merge_recorded_parts(now, wall, &stored.record);
        });
        self.observe_crash_record(stored);
        let requests = stored.record.requests.len();
        if requests > 0 {
            log::info!(requests; "store: the record of crashes was read");
        }
    }

    /// Learns of a write of the record by this or another daemon.
    pub fn observe_crash_record(&self, stored: &StoredCrashes) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        *lock(&self.crash_record) = stored.version;
        self.change_refusals(|node| {
            lock(&node.crashes).merge_record(now, wall, &stored.record);
        });
    }

    /// Waits until a write is due, sooner if a crash is missing by then. Returns whether it is needed.
    async fn needs_record_at(&self, mut due: Instant, mut known: RecordNeed) -> bool {
        loop {
            let left = due.saturating_duration_since(self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(left) => return self.record_need().is_some(),
                () = self.crashes_changed.notified() => {}
            }
            match self.record_need() {
                Some(need) if need > known => {
                    known = need;
                    due = due.min(self.clock.now() + self.write_delay(need));
                }
                Some(_) => {}
                None => return false,
            }
        }
    }

    fn record_need(&self) -> Option<RecordNeed> {
        lock(&self.crashes).record_need(self.clock.now())
    }

    /// Returns how long to wait before a write. One daemon writes first, so that the writes for a crash
    /// do not multiply with the daemons that have lost requests in it.
    fn write_delay(&self, need: RecordNeed) -> Duration {
        let is_first = {
            let members = lock(&self.members);
            let running = members.running().map(|record| &record.daemon);
            rank_daemons(&crash_key(), running).first() == Some(&&self.me)
        };
        let delay = match need {
            RecordNeed::Missing => WRITE_DELAY,
            RecordNeed::Cleared => WRITE_DELAY + CLEARED_DELAY,
        };
        let spread = rand::rng().random_range(1.0..2.0);
        if is_first { delay } else { delay + TAKEOVER_DELAY.mul_f64(spread) }
    }

    async fn write_crash_record(self: &Arc<Self>) -> Result<(), StoreError> {
        let record = {
            let crashes = lock(&self.crashes);
            crashes.to_record(self.clock.now(), self.clock.wall())
        };
        let bytes = record.encode().map_err(|error| StoreError::Invalid(error.to_string()))?;
        let expected = *lock(&self.crash_record);
        let size = bytes.len();
        if self.store.put(CRASH_KEY, bytes, expected).await? {
            counter!("apricotrun_crash_records_total").increment(1);
            log::info!(requests = record.requests.len(), size; "store: wrote the record of crashes");
            lock(&self.crashes).note_recorded(&record);
            return Ok(());
        }
        // Another write has come first, or this daemon's own last one, whose version it was not told.
        let stored = StoredCrashes::of(self.store.get(CRASH_KEY).await?);
        self.observe_crash_record(&stored);
        Ok(())
    }
}
