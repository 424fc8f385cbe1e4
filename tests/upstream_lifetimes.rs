//! Tests of whether a stream that has begun may go on at an upstream.

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
