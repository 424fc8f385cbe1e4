//! KV-cache memory is freed once the caller of a request or its entry daemon is gone.
//!
//! The engines keep running a request when its connection closes, so only a cancel frees its slots.

mod support;

use serde_json::json;
use standins::fleet::Fleet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{
    engine_reports, held_slots, options, owner_of, post, set_engine_faults, start, wait_until,
    wait_within,
};

/// The time limit for freeing the memory after the caller disconnects.
const CALLER_BOUND: Duration = Duration::from_secs(1);
/// The time limit for freeing the memory after an entry daemon dies.
const ENTRY_BOUND: Duration = Duration::from_secs(3);
/// An output length in tokens that takes longer than any test.
const LONG_OUTPUT: u32 = 3000;

fn fleet(daemons: usize) -> Fleet {
    let mut options = options();
    options.daemons = daemons;
    options.deadline_ms = 600_000;
    options.first_token_target_ms = 600_000;
    let fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "keep_after_disconnect": true }));
    fleet
}

/// Sends a request and returns its connection, which the test can drop.
fn open_request(fleet: &Fleet, daemon: usize, prompt: &str) -> TcpStream {
    let body = support::completion(prompt, LONG_OUTPUT, true);
    let mut stream = TcpStream::connect(fleet.daemons[daemon].http).expect("connection");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        standins::fleet::DESK_KEY,
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the request is sent");
    stream
}

fn read_some(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    let length = stream.read(&mut buffer).expect("response");
    assert!(length > 0);
}

fn has_started(fleet: &Fleet, stage: &str) -> bool {
    engine_reports(fleet, stage).iter().any(|report| !report.running.is_empty())
}

#[test]
fn caller_disconnected_while_decoding() {
    let fleet = fleet(2);
    let mut stream = open_request(&fleet, 0, "decoding");
    read_some(&mut stream);
    wait_until("the run starts", || has_started(&fleet, "decode"));
    drop(stream);
    wait_within("the slot is free", CALLER_BOUND, || held_slots(&fleet) == 0);
}

#[test]
fn caller_disconnected_while_prefilling() {
    let fleet = fleet(2);
    let stall = json!({ "stall_prefill": true, "keep_after_disconnect": true });
    set_engine_faults(&fleet, "prefill", &stall);
    let stream = open_request(&fleet, 0, "prefilling");
    wait_until("the prefill starts", || has_started(&fleet, "prefill"));
    drop(stream);
    wait_within("the slot is free", CALLER_BOUND, || held_slots(&fleet) == 0);
}

#[test]
fn caller_disconnected_while_transferring() {
    let fleet = fleet(2);
    let stall = json!({ "stall_transfer": true, "keep_after_disconnect": true });
    set_engine_faults(&fleet, "decode", &stall);
    let stream = open_request(&fleet, 0, "transferring");
    wait_until("the transfer starts", || has_started(&fleet, "decode"));
    drop(stream);
    wait_within("the slot is free", CALLER_BOUND, || held_slots(&fleet) == 0);
}

#[test]
fn caller_disconnected_while_engine_ignores_cancels() {
    let fleet = fleet(2);
    let stream = open_request(&fleet, 0, "deaf");
    wait_until("the run starts", || has_started(&fleet, "decode"));
    let ignoring = json!({ "deaf_to_cancel": true, "keep_after_disconnect": true });
    set_engine_faults(&fleet, "", &ignoring);
    drop(stream);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(held_slots(&fleet), 1);
    set_engine_faults(&fleet, "", &json!({ "keep_after_disconnect": true }));
    wait_within("the slot is free", ENTRY_BOUND, || held_slots(&fleet) == 0);
}

/// Kills an entry daemon while its request is in the given stage, and expects its slot to become
/// free.
fn kill_entry_at(faults: &serde_json::Value, stage: &str) {
    let mut fleet = fleet(3);
    set_engine_faults(&fleet, stage, faults);
    let _stream = open_request(&fleet, 0, "entry dies");
    wait_until("the stage begins", || has_started(&fleet, stage));
    fleet.daemons[0].kill();
    wait_within("the slot is free", ENTRY_BOUND, || held_slots(&fleet) == 0);
}

#[test]
fn entry_killed_while_prefilling() {
    kill_entry_at(&json!({ "stall_prefill": true, "keep_after_disconnect": true }), "prefill");
}

#[test]
fn entry_killed_while_transferring() {
    kill_entry_at(&json!({ "stall_transfer": true, "keep_after_disconnect": true }), "decode");
}

#[test]
fn entry_killed_while_decoding() {
    kill_entry_at(&json!({ "keep_after_disconnect": true }), "decode");
}

#[test]
fn entry_and_owner_killed_together() {
    let mut fleet = fleet(4);
    let streams: Vec<_> = (0..4).map(|daemon| open_request(&fleet, daemon, "together")).collect();
    wait_until("all run", || held_slots(&fleet) == 4);
    let owner = owner_of(&fleet, "fitting-llm");
    let other = (owner + 1) % 4;
    fleet.daemons[owner].kill();
    fleet.daemons[other].kill();
    // The requests of the two remaining entry daemons keep running.
    wait_within("two slots are free", ENTRY_BOUND, || held_slots(&fleet) == 2);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(held_slots(&fleet), 2);
    drop(streams);
    wait_within("all slots are free", ENTRY_BOUND, || held_slots(&fleet) == 0);
}

#[test]
fn entry_paused_until_declared_dead() {
    let fleet = fleet(3);
    let owner = owner_of(&fleet, "fitting-llm");
    let entry = (owner + 1) % 3;
    let _stream = open_request(&fleet, entry, "paused");
    wait_until("the run starts", || has_started(&fleet, "decode"));
    fleet.daemons[entry].signal("STOP");
    wait_within("the slot is free", ENTRY_BOUND, || held_slots(&fleet) == 0);
    fleet.daemons[entry].signal("CONT");
}

#[test]
fn cancel_that_overtakes_its_request_wins() {
    let fleet = fleet(1);
    let engine = fleet.engines.values().next().expect("an engine").address;
    let id = "host-1.5.1.1";
    post(&format!("http://{engine}/abort_requests"), &json!({ "request_ids": [id] }));
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let response = client
        .post(format!("http://{engine}/v1/completions"))
        .header("X-Request-Id", id)
        .json(&json!({ "model": "fitting-7b", "prompt": "x", "max_tokens": 2 }))
        .send()
        .expect("response");
    assert_eq!(response.status().as_u16(), 410);
}
