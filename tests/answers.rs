//! A caller receives the whole answer to its own request, once, whatever engines do.

mod support;

use serde_json::json;
use standins::engine::expected_answer;
use standins::fleet::Fleet;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::{Caller, engine_reports, options, set_engine_faults, start, wait_until};

const TOKENS: u32 = 40;

fn expect_whole(fleet: &Fleet, prompt: &str) {
    let answer = Caller::default().complete(&fleet.daemons[0], prompt, TOKENS);
    let expected = Some(expected_answer(prompt, TOKENS));
    assert_eq!(answer.streamed_text(), expected, "{} {}", answer.status, answer.body);
}

/// Gives one of two decode workers a fault and expects whole answers all the same.
fn with_one_faulty_worker(faults: &serde_json::Value) {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode-1", faults);
    for round in 0..6 {
        expect_whole(&fleet, &format!("round {round}"));
    }
}

#[test]
fn doubled_tokens_are_passed_on_once() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "double_tokens": true }));
    expect_whole(&fleet, "doubled");
}

#[test]
fn tokens_of_another_request_are_dropped() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "foreign_tokens": true }));
    expect_whole(&fleet, "foreign");
}

#[test]
fn reordered_tokens_are_repaired_elsewhere() {
    with_one_faulty_worker(&json!({ "swap_tokens": true }));
}

#[test]
fn answer_that_breaks_off_is_resumed_elsewhere() {
    with_one_faulty_worker(&json!({ "break_after": 7 }));
}

#[test]
fn stalled_transfer_is_retried_elsewhere() {
    with_one_faulty_worker(&json!({ "stall_transfer": true }));
}

#[test]
fn engine_killed_while_decoding_is_resumed_elsewhere() {
    let fleet = start(options());
    let caller = thread::scope(|scope| {
        let answers: Vec<_> = (0..8)
            .map(|index| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let prompt = format!("killed {index}");
                    let answer = Caller::default().complete(&fleet.daemons[0], &prompt, 200);
                    (answer, expected_answer(&prompt, 200))
                })
            })
            .collect();
        wait_until("both decode workers run", || {
            engine_reports(&fleet, "decode").iter().all(|report| !report.running.is_empty())
        });
        let victim = fleet.engines.iter().find(|(name, _)| name.contains("decode"));
        victim.expect("a decode worker").1.kill();
        answers.into_iter().map(|answer| answer.join().expect("an answer")).collect::<Vec<_>>()
    });
    for (answer, expected) in caller {
        assert_eq!(answer.streamed_text(), Some(expected), "{}", answer.body);
    }
}

#[test]
fn incomplete_answer_ends_with_an_error_event() {
    let fleet = start(options());
    set_engine_faults(&fleet, "decode", &json!({ "break_after": 0 }));
    let answer = Caller::default().complete(&fleet.daemons[0], "never whole", TOKENS);
    assert_eq!(answer.streamed_text(), None);
    assert!(answer.body.contains("event:error"), "{}", answer.body);
    assert!(answer.body.contains("\"verdict\":\"may-have-run\""), "{}", answer.body);
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
    assert_eq!(alive, 6, "two engines were lost");
    wait_until("the other daemon refuses it too", || {
        let again = Caller::default().complete(&fleet.daemons[1], "poison", 4);
        again.status == 422
    });
    assert_eq!(engine_reports(&fleet, "").len(), 6, "no third engine was lost");
    expect_whole(&fleet, "harmless");
}

#[test]
fn answers_are_whole_while_owners_die() {
    let mut options = options();
    options.daemons = 4;
    let mut fleet = start(options);
    let owner = support::owner_of(&fleet, "fitting-llm");
    let entry = (owner + 1) % 4;
    let address = fleet.daemons[entry].http;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _end = support::SetOnDrop(&over);
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let over = &over;
                scope.spawn(move || {
                    let mut count = 0;
                    while !over.load(Ordering::Relaxed) {
                        let prompt = format!("caller {caller} request {count}");
                        let answer = support::complete_at(address, &prompt, TOKENS);
                        let expected = Some(expected_answer(&prompt, TOKENS));
                        assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
                        count += 1;
                    }
                    count
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        fleet.daemons[owner].kill();
        thread::sleep(Duration::from_secs(4));
        over.store(true, Ordering::Relaxed);
        for caller in callers {
            assert!(caller.join().expect("no answer was lost") > 5);
        }
    });
}

/// Sends a request whose answer does not fit into the buffers on its way, reads nothing for a
/// while, and then reads to the end.
fn read_late(fleet: &Fleet, prompt: &str, tokens: u32, pause: Duration) -> String {
    let body = support::completion(prompt, tokens, true);
    let client =
        reqwest::blocking::Client::builder().no_proxy().timeout(support::WAIT_TIMEOUT).build();
    let request = client.expect("a client").post(fleet.daemons[0].url("/v1/completions"));
    let response = request.bearer_auth(standins::fleet::DESK_KEY).body(body).send();
    let mut response = response.expect("an answer begins");
    thread::sleep(pause);
    let mut answer = Vec::new();
    let _ = response.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the texts of the chunks, also of an answer that breaks off.
fn chunk_texts(answer: &str) -> String {
    let texts = answer.split("\"text\":\"").skip(1);
    texts.filter_map(|rest| rest.split('"').next()).collect()
}

fn fast_fleet(deadline_ms: u64) -> Fleet {
    let mut options = options();
    options.deadline_ms = deadline_ms;
    options.engine.token_time = Duration::ZERO;
    options.engine.slots = 40;
    start(options)
}

/// An answer of some 10 MB, more than the buffers between an engine and a caller hold.
const LARGE_ANSWER: u32 = 70_000;

#[test]
fn caller_that_reads_late_gets_the_whole_answer() {
    let fleet = fast_fleet(60_000);
    let answer = read_late(&fleet, "late", LARGE_ANSWER, Duration::from_secs(5));
    assert!(answer.contains("[DONE]"), "the answer ends");
    let whole = chunk_texts(&answer) == expected_answer("late", LARGE_ANSWER);
    assert!(whole, "the answer has no gap");
}

#[test]
fn caller_that_reads_past_its_deadline_gets_no_end_marker() {
    let fleet = fast_fleet(3_000);
    let answer = read_late(&fleet, "too late", LARGE_ANSWER, Duration::from_secs(6));
    let expected = expected_answer("too late", LARGE_ANSWER);
    assert!(expected.starts_with(&chunk_texts(&answer)), "what came is a part from the start");
    assert!(!answer.contains("[DONE]"));
    wait_until("the engine is free", || support::held_slots(&fleet) == 0);
}
