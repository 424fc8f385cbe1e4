//! Tests that a caller receives the complete response to its own request exactly once, whatever
//! faults engines, daemons and slow readers add.

mod support;

use serde_json::json;
use standins::engine::expected_output;
use standins::fleet::Fleet;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::{Caller, engine_reports, options, set_engine_faults, start, wait_until};

/// The response length of most requests in this file, in tokens.
const TOKENS: u32 = 40;

/// Sends a completion and expects its complete response.
fn expect_complete(fleet: &Fleet, prompt: &str) {
    let response = Caller::default().complete(&fleet.daemons[0], prompt, TOKENS);
    let expected = Some(expected_output(prompt, TOKENS));
    assert_eq!(response.streamed_text(), expected, "{} {}", response.status, response.body);
}

/// Injects a fault into one of two decode workers and expects complete responses nevertheless.
fn with_one_faulty_worker(faults: &serde_json::Value) {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode-1", faults);
    for round in 0..6 {
        expect_complete(&fleet, &format!("round {round}"));
    }
}

#[test]
fn duplicated_tokens_are_relayed_once() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "double_tokens": true }));
    expect_complete(&fleet, "doubled");
}

#[test]
fn tokens_of_another_request_are_dropped() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "foreign_tokens": true }));
    expect_complete(&fleet, "foreign");
}

#[test]
fn reordered_tokens_are_resumed_elsewhere() {
    with_one_faulty_worker(&json!({ "swap_tokens": true }));
}

#[test]
fn interrupted_response_is_resumed_elsewhere() {
    with_one_faulty_worker(&json!({ "break_after": 7 }));
}

#[test]
fn stalled_transfer_is_retried_elsewhere() {
    with_one_faulty_worker(&json!({ "stall_transfer": true }));
}

#[test]
fn responses_of_a_killed_engine_are_resumed_elsewhere() {
    let fleet = start(options());
    let responses = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|index| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let prompt = format!("killed {index}");
                    let response = Caller::default().complete(&fleet.daemons[0], &prompt, 200);
                    (response, expected_output(&prompt, 200))
                })
            })
            .collect();
        wait_until("both decode workers run requests", || {
            engine_reports(&fleet, "decode").iter().all(|report| !report.running.is_empty())
        });
        let victim = fleet.engines.iter().find(|(name, _)| name.contains("decode"));
        victim.expect("decode worker").1.kill();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("caller thread finishes"))
            .collect::<Vec<_>>()
    });
    for (response, expected) in responses {
        assert_eq!(response.streamed_text(), Some(expected), "{}", response.body);
    }
}

#[test]
fn incomplete_response_ends_with_an_error_event() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "break_after": 0 }));
    let response = Caller::default().complete(&fleet.daemons[0], "never complete", TOKENS);
    assert_eq!(response.streamed_text(), None);
    assert!(response.body.contains("event:error"), "{}", response.body);
    assert!(response.body.contains("\"verdict\":\"may-have-run\""), "{}", response.body);
}

#[test]
fn request_that_crashes_its_upstreams_is_refused_everywhere() {
    let mut options = options();
    options.decode = 4;
    options.prefill = 4;
    let fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "crash_on": "poison" }));
    let first = Caller::default().complete(&fleet.daemons[0], "poison", 4);
    assert!(first.body.contains("crashes-upstream"), "{}", first.body);
    let alive = engine_reports(&fleet, "").len();
    assert_eq!(alive, 6, "two engines crashed");
    wait_until("the other daemon refuses the request too", || {
        let again = Caller::default().complete(&fleet.daemons[1], "poison", 4);
        again.status == 422
    });
    assert_eq!(engine_reports(&fleet, "").len(), 6, "no third engine crashed");
    expect_complete(&fleet, "harmless");
}

#[test]
fn responses_are_complete_when_an_owner_is_killed() {
    let mut options = options();
    options.daemons = 4;
    let mut fleet = start(options);
    let owner = support::owner_of(&fleet, "fitting-llm");
    let entry = (owner + 1) % 4;
    let address = fleet.daemons[entry].http;
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&stop);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut count = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let prompt = format!("caller {caller} request {count}");
                        let response = support::complete_at(address, &prompt, TOKENS);
                        let expected = Some(expected_output(&prompt, TOKENS));
                        assert_eq!(response.streamed_text(), expected, "{}", response.body);
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        fleet.daemons[owner].kill();
        thread::sleep(Duration::from_secs(4));
        stop.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("all responses complete") > 5);
        }
    });
}

/// Sends a streamed completion, reads nothing for `pause`, and then reads to the end. Meant for
/// responses that exceed the buffers on the way, so that the sender has to wait.
fn read_late(fleet: &Fleet, prompt: &str, tokens: u32, pause: Duration) -> String {
    let body = support::completion(prompt, tokens, true);
    let client =
        reqwest::blocking::Client::builder().no_proxy().timeout(support::WAIT_TIMEOUT).build();
    let request = client.expect("HTTP client").post(fleet.daemons[0].url("/v1/completions"));
    let response = request.bearer_auth(standins::fleet::DESK_KEY).body(body).send();
    let mut response = response.expect("response headers");
    thread::sleep(pause);
    let mut body = Vec::new();
    let _ = response.read_to_end(&mut body);
    String::from_utf8_lossy(&body).into_owned()
}

/// Returns the joined texts of a response's chunks, also if the response is incomplete.
fn chunk_texts(response: &str) -> String {
    let texts = response.split("\"text\":\"").skip(1);
    texts.filter_map(|rest| rest.split('"').next()).collect()
}

/// Starts a deployment whose engines yield tokens without delay.
fn fast_fleet(deadline_ms: u64) -> Fleet {
    let mut options = options();
    options.deadline_ms = deadline_ms;
    options.engine.token_time = Duration::ZERO;
    options.engine.slots = 40;
    start(options)
}

/// A response length in tokens, about 10 MB: more than the buffers between an engine and a caller
/// hold.
const LARGE_RESPONSE: u32 = 70_000;

#[test]
fn slow_reader_gets_the_complete_response() {
    let fleet = fast_fleet(60_000);
    let response = read_late(&fleet, "late", LARGE_RESPONSE, Duration::from_secs(5));
    assert!(response.contains("[DONE]"), "the response ends");
    let complete = chunk_texts(&response) == expected_output("late", LARGE_RESPONSE);
    assert!(complete, "the response has no gap");
}

#[test]
fn reader_slower_than_its_deadline_gets_no_end_marker() {
    let fleet = fast_fleet(3_000);
    let response = read_late(&fleet, "too late", LARGE_RESPONSE, Duration::from_secs(6));
    let expected = expected_output("too late", LARGE_RESPONSE);
    assert!(expected.starts_with(&chunk_texts(&response)), "the received text is a prefix");
    assert!(!response.contains("[DONE]"));
    wait_until("the slot is released", || support::held_slots(&fleet) == 0);
}
