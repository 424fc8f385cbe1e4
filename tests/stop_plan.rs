//! Tests of what a host that stops may still take.

use apricotrun::coordination::response_times::{ResponseSample, ResponseTimes, SlowestTimes};
use apricotrun::coordination::stops::{StopPlan, expected_work};
use apricotrun::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

#[test]
fn work_is_taken_as_long_as_its_answer_can_be_written() {
    let now = Instant::now();
    let plan = StopPlan::new(now, SECOND * 8);
    let call = expected_work(MILLI * 900, Tokens(0), Duration::ZERO);
    assert!(plan.admits(now, call));
    // The load balancer still sends requests.
    assert!(plan.admits(now + MILLI * 2_400, expected_work(SECOND * 30, Tokens(0), MILLI)));
    assert!(plan.admits(now + SECOND * 6, call));
    assert!(!plan.admits(now + MILLI * 6_200, call));
    assert!(!plan.admits(plan.answers_due(), Duration::ZERO));
}

#[test]
fn stream_that_is_longer_than_the_grace_is_never_taken() {
    let now = Instant::now();
    let plan = StopPlan::new(now, SECOND * 8);
    let stream = expected_work(MILLI * 900, Tokens(10_000), MILLI);
    assert!(!plan.admits(now, stream));
    assert!(!plan.admits(now, expected_work(SECOND, Tokens(u32::MAX), SECOND)));
    assert!(plan.admits(now, expected_work(MILLI * 900, Tokens(2_000), MILLI)));
}

#[test]
fn answers_are_due_before_the_exit_and_the_exit_before_the_kill() {
    let now = Instant::now();
    let plan = StopPlan::new(now, SECOND * 8);
    assert!(plan.answers_due() < plan.last_answers() && plan.last_answers() < plan.exit());
    assert!(plan.exit() < now + SECOND * 8);
    let none = StopPlan::new(now, Duration::ZERO);
    assert_eq!((none.answers_due(), none.exit()), (now, now));
}

#[test]
fn slowest_responses_of_late_tell_how_long_a_request_takes() {
    let (now, service) = (Instant::now(), "llm".parse().expect("valid name"));
    let mut times = ResponseTimes::default();
    let sample = |events, start, tokens, writing| ResponseSample {
        events,
        start: MILLI * start,
        tokens: Tokens(tokens),
        upstream: None,
        writing: MILLI * writing,
    };
    let mut record = |at, sample| times.record(now + SECOND * at, &service, &sample);
    record(0, sample(100, 300, 100, 5_000));
    record(1, sample(100, 500, 100, 2_000));
    // Its pause says nothing of the time of a token.
    record(1, sample(2, 100, 2, 800));
    record(2, sample(0, 200, 0, 0));
    let slowest = |at| times.slowest(now + SECOND * at, &service);
    let expected = SlowestTimes { start: MILLI * 900, token: Some(MILLI * 50) };
    assert_eq!(slowest(2), Some(expected));
    assert_eq!(slowest(59), Some(expected));
    assert_eq!(slowest(60), None, "too old");
    assert_eq!(times.slowest(now, &"other".parse().expect("valid name")), None);
}

/// Guards against an upstream that counts as fast because another one is, or was before it started again.
#[test]
fn times_of_a_token_are_kept_for_each_upstream() {
    let (now, service) = (Instant::now(), "llm".parse().expect("valid name"));
    let [fast, slow, added] = ["d0", "d1", "d2"].map(|name| name.parse().expect("valid name"));
    let mut times = ResponseTimes::default();
    for (upstream, millis) in [(&fast, 20), (&slow, 50), (&slow, 40)] {
        let sample = ResponseSample {
            events: 100,
            start: SECOND,
            tokens: Tokens(100),
            upstream: Some(UpstreamName::clone(upstream)),
            writing: MILLI * millis * 100,
        };
        times.record(now, &service, &sample);
    }
    let token_at = |at, upstream| times.slowest_token_at(now + SECOND * at, &service, upstream);
    assert_eq!(token_at(59, &fast), Some(MILLI * 20));
    assert_eq!(token_at(59, &slow), Some(MILLI * 50));
    assert_eq!(token_at(59, &added), None);
    times.forget(&slow);
    assert_eq!(times.slowest_token_at(now + SECOND * 59, &service, &slow), None);
    assert_eq!(times.slowest_token_at(now + SECOND * 60, &service, &fast), None, "too old");
}
