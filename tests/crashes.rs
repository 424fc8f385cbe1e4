//! Tests of which requests are blamed for the ends of upstreams, and of what clears them.

use apricotrun::coordination::crash_record::CrashRecord;
use apricotrun::coordination::crashes::{CrashLedger, RecordNeed};
use apricotrun::coordination::messages::CrashReport;
use apricotrun::prelude::*;
use std::time::SystemTime;

const SECOND: Duration = Duration::from_secs(1);

/// When an upstream ended, its name, the attempt that was lost and its weight.
type CrashRow = (u64, &'static str, &'static str, u32);

/// A ledger of the crashes under one request.
struct LedgerHarness {
    fingerprint: Fingerprint,
    ledger: CrashLedger,
    now: Instant,
}

impl LedgerHarness {
    fn new() -> Self {
        let fingerprint = Fingerprint::of(&[b"request"]);
        Self { fingerprint, ledger: CrashLedger::default(), now: Instant::now() }
    }

    /// Reports that an upstream ended under this attempt `after_ms` after the harness was made.
    fn crash(&mut self, after_ms: u64, upstream: &str, attempt: &str, weight: u32) {
        let report = CrashReport {
            fingerprint: self.fingerprint,
            attempt: attempt.parse().expect("a valid id"),
            parts: Vec::new(),
            upstream: upstream.parse().expect("a valid name"),
            weight,
        };
        self.ledger.record(self.now + Duration::from_millis(after_ms), &report);
    }

    /// Writes the record at the start of the epoch, and returns it as another daemon reads it.
    fn write_record(&mut self) -> CrashRecord {
        let record = self.ledger.to_record(self.now + SECOND, SystemTime::UNIX_EPOCH);
        self.ledger.note_recorded(&record);
        CrashRecord::decode(&record.encode().expect("a record")).expect("the same record")
    }

    /// Reads a record this long after the start of the epoch, as a daemon that starts.
    fn read_record(&mut self, record: &CrashRecord, after: Duration) {
        let wall = SystemTime::UNIX_EPOCH + after;
        self.ledger.merge_recorded_parts(self.now + SECOND, wall, record);
        self.ledger.merge_record(self.now + SECOND, wall, record);
    }

    fn need(&self) -> Option<RecordNeed> {
        self.ledger.record_need(self.now + SECOND)
    }

    fn weight(&self) -> u32 {
        self.ledger.weight(self.now + SECOND, &self.fingerprint)
    }

    fn wait(&self, after: Duration) -> Option<Duration> {
        self.ledger.check(self.now + after, &self.fingerprint)
    }
}

/// Guards against review/7: equal requests that were in flight at one crash were counted as if each had
/// crashed an upstream.
#[test]
fn crash_counts_once_however_many_equal_requests_it_took() {
    let cases: [(&[CrashRow], u32); 5] = [
        (&[(0, "u0", "a.1.1.1", 1), (5, "u0", "a.1.2.1", 1), (400, "u0", "b.1.1.1", 1)], 1),
        // Upstreams that end together have a cause of their own.
        (&[(0, "u0", "a.1.1.1", 1), (5, "u1", "a.1.2.1", 1), (9, "u2", "b.1.1.1", 1)], 1),
        (&[(0, "u0", "a.1.1.1", 1), (5, "u0", "a.1.1.1", 1)], 1),
        // One request ran at two upstreams one after the other, the second time alone.
        (&[(0, "u0", "a.1.1.1", 1), (20, "u1", "a.1.1.2", 2)], 3),
        (&[(0, "u0", "a.1.1.1", 1), (400, "u1", "a.1.2.1", 1), (800, "u2", "b.1.1.1", 1)], 3),
    ];
    for (crashes, weight) in cases {
        let mut harness = LedgerHarness::new();
        for (after_ms, upstream, attempt, weight) in crashes {
            harness.crash(*after_ms, upstream, attempt, *weight);
        }
        assert_eq!(harness.weight(), weight, "{crashes:?}");
    }
}

/// Guards against review/7: nothing cleared a request of which other runs completed.
#[test]
fn completed_run_clears_the_request_also_of_reports_that_come_late() {
    let mut harness = LedgerHarness::new();
    harness.crash(0, "u0", "a.1.1.1", 1);
    harness.crash(20, "u1", "a.1.1.2", 2);
    let refused = harness.ledger.digest();
    harness.ledger.mark_sound(harness.now + SECOND, &[harness.fingerprint.as_part()]);
    assert_eq!((harness.weight(), harness.wait(SECOND)), (0, None));
    assert_ne!(harness.ledger.digest(), refused);
    harness.crash(900, "u1", "b.1.1.1", 1);
    assert_eq!(harness.weight(), 0, "another report of a crash before the run");
    harness.crash(1_200, "u2", "b.1.2.1", 1);
    assert_eq!(harness.weight(), 1, "earlier crashes no longer count");
}

/// Guards against review/7: a request that was refused stayed so for an hour.
#[test]
fn refused_request_is_tried_again_and_more_rarely_after_each_crash() {
    let mut harness = LedgerHarness::new();
    harness.crash(0, "u0", "a.1.1.1", 1);
    harness.crash(20, "u1", "a.1.1.2", 2);
    let mut at = Duration::from_millis(20);
    for (trial, wait) in [(2, 16), (3, 128), (4, 1024)] {
        assert_eq!(harness.wait(at), Some(SECOND * wait));
        at += SECOND * wait;
        assert_eq!(harness.wait(at), Some(Duration::ZERO));
        harness.ledger.begin_trial(harness.now + at, &harness.fingerprint);
        assert_eq!(harness.wait(at), Some(SECOND * wait), "one request at a time");
        harness.crash(at.as_millis() as u64, "u2", &format!("a.1.{trial}.1"), 2);
    }
}

/// Guards against review/8: daemons that had all been killed knew of no crash, and one that started knew
/// only of requests that were refused already. A clock that is wrong must not let it forget either.
#[test]
fn record_tells_daemons_that_start_of_a_single_crash() {
    for after in [Duration::ZERO, SECOND * 5, SECOND * 1_000_000] {
        let mut before = LedgerHarness::new();
        before.crash(0, "u0", "a.1.1.1", 1);
        assert_eq!(before.need(), Some(RecordNeed::Missing));
        let record = before.write_record();
        assert_eq!(before.need(), None);
        let mut harness = LedgerHarness::new();
        harness.now += SECOND * 7200;
        harness.read_record(&record, after);
        harness.read_record(&record, after);
        assert_eq!((harness.weight(), harness.need()), (1, None), "after {after:?}");
        harness.crash(500, "u1", "b.1.1.1", 2);
        assert_eq!((harness.weight(), harness.need()), (3, Some(RecordNeed::Missing)));
        assert!(harness.wait(SECOND).is_some());
    }
}

/// A daemon that has missed that a request was cleared must neither go on to blame it nor write its crash
/// again.
#[test]
fn record_tells_all_daemons_that_a_request_was_cleared() {
    let mut first = LedgerHarness::new();
    let mut second = LedgerHarness::new();
    second.now = first.now;
    for harness in [&mut first, &mut second] {
        harness.crash(0, "u0", "a.1.1.1", 1);
        harness.crash(0, "u0", "b.1.1.1", 1);
    }
    let record = first.write_record();
    second.read_record(&record, SECOND);
    first.ledger.clear(&first.fingerprint);
    assert_eq!(first.need(), Some(RecordNeed::Cleared));
    let record = first.write_record();
    assert_eq!(first.need(), None);
    second.read_record(&record, SECOND);
    assert_eq!((second.weight(), second.need()), (0, None));
}
