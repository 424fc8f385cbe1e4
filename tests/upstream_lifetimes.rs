//! Tests of whether a stream that has begun may go on at an upstream.

use apricotrun::coordination::messages::StreamOrigin;
use apricotrun::coordination::stream_origins::{OriginBoard, OriginCopy, OriginWriter};
use apricotrun::coordination::upstream_lifetimes::{
    LifetimeReport, RecordedLifetime, StreamBeginning, is_certain,
};
use apricotrun::prelude::*;
use std::time::SystemTime;

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("a valid version")
}

fn recorded(incarnation: u64, software: &str) -> RecordedLifetime {
    RecordedLifetime { incarnation: Incarnation(incarnation), software: version(software) }
}

fn time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

fn started(seconds: u64) -> LifetimeReport {
    LifetimeReport::Started(Incarnation(seconds), time(seconds))
}

#[test]
fn version_is_certain_only_for_the_recorded_incarnation() {
    let cases = [
        (Some(recorded(5, "v1")), started(5), true),
        (Some(recorded(5, "v1")), started(6), false),
        (Some(recorded(6, "v1")), started(5), false),
        (Some(recorded(5, "v2")), started(5), false),
        (Some(recorded(5, "v1")), LifetimeReport::Unanswered, false),
        (Some(recorded(5, "v1")), LifetimeReport::Unsaid, true),
        (Some(recorded(5, "v2")), LifetimeReport::Unsaid, false),
        (Some(recorded(0, "v1")), started(6), true),
        (Some(recorded(0, "v1")), LifetimeReport::Unanswered, true),
        (None, started(5), false),
    ];
    for (record, said, expected) in cases {
        let certain = is_certain(record.as_ref(), &version("v1"), said);
        assert_eq!(certain, expected, "{record:?} {said:?}");
    }
}

#[test]
fn only_an_incarnation_that_was_there_refutes_the_beginning() {
    let cases = [
        (Some(recorded(5, "v1")), started(5), false),
        (Some(recorded(5, "v1")), started(8), true),
        (Some(recorded(5, "v1")), started(10), true),
        // It has replaced the one that wrote the stream.
        (Some(recorded(5, "v1")), started(11), false),
        (Some(recorded(5, "v1")), LifetimeReport::Unsaid, false),
        (Some(recorded(5, "v1")), LifetimeReport::Unanswered, false),
        // The run was placed by a record that this daemon does not have.
        (Some(recorded(5, "v2")), started(5), true),
        (Some(recorded(0, "v1")), started(8), false),
        (None, started(8), false),
    ];
    for (record, said, expected) in cases {
        let beginning = StreamBeginning { recorded: record.clone(), software: version("v1") };
        assert_eq!(beginning.is_refuted(time(10), said), expected, "{record:?} {said:?}");
    }
}

/// Returns the upstream of a stream that was answered 10 s after the first of two clocks began, and 110 s after
/// the second.
fn writer(recorded: RecordedLifetime) -> OriginWriter {
    OriginWriter {
        answered_at: BootTime(Duration::from_secs(10)),
        beginning: StreamBeginning { recorded: Some(recorded), software: version("v1") },
        upstream: "d0".parse().expect("a valid name"),
    }
}

#[test]
fn origin_is_not_kept_if_another_version_was_there() {
    let (boot, wall) = (BootTime(Duration::from_secs(20)), time(120));
    let cases = [
        (recorded(50, "v1"), started(50), "v2", false),
        (recorded(50, "v1"), started(109), "v2", true),
        (recorded(50, "v1"), started(109), "v1", false),
        (recorded(50, "v1"), started(111), "v2", false),
        (recorded(50, "v2"), started(109), "v2", true),
        (recorded(50, "v2"), started(111), "v2", true),
    ];
    for (record, said, software, expected) in cases {
        let writer = writer(record.clone());
        let corrected = writer.is_corrected(boot, wall, said, &version(software));
        assert_eq!(corrected, expected, "{record:?} {said:?} {software}");
    }
}

#[test]
fn corrected_origin_is_sent_to_all_that_keep_it() {
    let now = Instant::now();
    let mut board = OriginBoard::default();
    let daemons: Vec<DaemonId> =
        (0..4).map(|index| format!("host-{index}.1").parse().expect("a valid id")).collect();
    let domain: DomainName = "zone".parse().expect("a valid name");
    let domains = daemons.iter().map(|daemon| (daemon.clone(), domain.clone())).collect();
    board.change_daemons(now, domains);
    let origin = StreamOrigin {
        domain,
        entry: daemons[0].clone(),
        service: "llm".parse().expect("a valid name"),
        software: version("v1"),
    };
    let lifetime = Duration::from_secs(30);
    let first = board.record(now, "r1", origin, lifetime);
    let later = now + Duration::from_secs(10);
    assert!(board.correct(later, "r1", &version("v2")).is_empty(), "it did not begin here");
    board.name_writer("r1", writer(recorded(50, "v1")));
    let copies = board.correct(later, "r1", &version("v2"));
    let receivers = |copies: &[OriginCopy]| -> Vec<DaemonId> {
        copies.iter().map(|copy| copy.to.clone()).collect()
    };
    assert_eq!(receivers(&copies), receivers(&first));
    assert!(!copies.is_empty());
    let left = Duration::from_secs(20);
    assert!(
        copies.iter().all(|copy| copy.lifetime == left && copy.origin.software == version("v2"))
    );
    assert_eq!(board.find(later, "r1").map(|origin| &origin.software), Some(&version("v2")));
    assert!(board.correct(later, "r1", &version("v2")).is_empty(), "it is corrected already");
}
