//! Calls that are not idempotent are executed at most once, and the verdict "not-run" is given only
//! to calls that were not executed.

mod support;

use serde_json::Value;
use standins::fleet::Fleet;
use standins::plain::PlainFaults;
use standins::store::StoreFaults;
use std::thread;
use std::time::Duration;
use support::{Caller, CallerResponse, WAIT_TIMEOUT, options, start, wait_until};

fn executed(fleet: &Fleet) -> u64 {
    fleet.plain.values().flat_map(|upstream| upstream.service.executed().into_values()).sum()
}

fn set_faults(fleet: &Fleet, faults: &PlainFaults) {
    fleet.plain.values().for_each(|upstream| upstream.service.set_faults(faults.clone()));
}

/// Checks the verdict of a response against how often the one booking was executed.
fn check_verdict(fleet: &Fleet, response: &CallerResponse) {
    let runs = executed(fleet);
    match response.verdict.as_deref() {
        Some("not-run") => assert_eq!(runs, 0, "{}", response.body),
        Some("ran") => assert_eq!(runs, 1, "{}", response.body),
        Some("may-have-run") => assert!(runs <= 1, "{}", response.body),
        other => panic!("verdict {other:?}: {}", response.body),
    }
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let mut options = options();
    options.domains = vec!["tyrol-a".to_owned(), "tyrol-b".to_owned()];
    let fleet = start(options);
    let responses: Vec<_> = thread::scope(|scope| {
        let calls: Vec<_> = (0..16)
            .map(|index| {
                let daemon = &fleet.daemons[index % fleet.daemons.len()];
                scope.spawn(move || {
                    Caller::default().request_booking(daemon, ("Idempotency-Key", "huber-7"), "K2")
                })
            })
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("call thread ends").expect("response"))
            .collect()
    });
    assert_eq!(executed(&fleet), 1);
    assert!(responses.iter().any(|response| response.status == 200));
    for response in responses {
        assert!(matches!(response.status, 200 | 409), "{} {}", response.status, response.body);
    }
}

#[test]
fn upstream_crash_during_the_call_gives_may_have_run_permanently() {
    let fleet = start(options());
    set_faults(&fleet, &PlainFaults { delay_after_ms: 60_000, ..PlainFaults::default() });
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    let response = thread::scope(|scope| {
        let call =
            scope.spawn(|| Caller::default().request_booking(&fleet.daemons[0], header, "K2"));
        wait_until("the call is running", || executed(&fleet) == 1);
        fleet.plain.values().for_each(|upstream| {
            if !upstream.service.executed().is_empty() {
                upstream.server.kill();
            }
        });
        call.join().expect("call thread ends").expect("response")
    });
    assert_eq!(response.verdict.as_deref(), Some("may-have-run"), "{}", response.body);
    set_faults(&fleet, &PlainFaults::default());
    for daemon in &fleet.daemons {
        let again = Caller::default().request_booking(daemon, header, "K2").expect("response");
        assert_eq!(again.verdict.as_deref(), Some("may-have-run"), "{}", again.body);
    }
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn dead_upstream_is_skipped_before_anything_is_sent() {
    let fleet = start(options());
    fleet.plain.values().next().expect("an upstream").server.kill();
    for index in 0..6 {
        let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
        let header = ("Apricotrun-Ticket", ticket.as_str());
        let body = format!("K2 {index}");
        let response =
            Caller::default().request_booking(&fleet.daemons[0], header, &body).expect("response");
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(executed(&fleet), 6);
}

#[test]
fn killed_home_daemon_gives_may_have_run_and_no_second_run() {
    let mut options = options();
    options.daemons = 3;
    let mut fleet = start(options);
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    let first =
        Caller::default().request_booking(&fleet.daemons[1], header, "K2").expect("response");
    assert_eq!(first.status, 200);
    fleet.daemons[0].kill();
    for daemon in &fleet.daemons[1..] {
        let again = Caller::default().request_booking(daemon, header, "K2").expect("response");
        assert_eq!(again.verdict.as_deref(), Some("may-have-run"), "{}", again.body);
    }
    fleet.restart(0).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    for daemon in &fleet.daemons {
        let again = Caller::default().request_booking(daemon, header, "K2").expect("response");
        assert_eq!(again.verdict.as_deref(), Some("may-have-run"), "{}", again.body);
    }
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn paused_home_daemon_runs_the_call_at_most_once() {
    let mut options = options();
    options.daemons = 3;
    let fleet = start(options);
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    fleet.daemons[0].signal("STOP");
    thread::sleep(Duration::from_secs(3));
    for daemon in &fleet.daemons[1..] {
        let response = Caller::default().request_booking(daemon, header, "K2").expect("response");
        assert_eq!(response.verdict.as_deref(), Some("may-have-run"), "{}", response.body);
    }
    fleet.daemons[0].signal("CONT");
    let mut last = String::new();
    wait_until("the outcome of the booking is known", || {
        let response = Caller::default().request_booking(&fleet.daemons[1], header, "K2");
        let is_known =
            response.as_ref().is_ok_and(|response| response.verdict.as_deref() == Some("ran"));
        let response = response.map_or_else(|error| format!("{error:?}"), |response| response.body);
        if response != last {
            // Shown if the test fails, as the case is not traced yet; see KNOWN-RED.txt.
            println!("{response}, executed {}", executed(&fleet));
            last = response;
        }
        is_known
    });
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn planned_stop_hands_tickets_to_a_successor() {
    let mut options = options();
    options.daemons = 3;
    let mut fleet = start(options);
    let caller = Caller::default();
    let used = caller.request_ticket(&fleet.daemons[0]);
    let fresh = caller.request_ticket(&fleet.daemons[0]);
    let first = caller.request_booking(&fleet.daemons[0], ("Apricotrun-Ticket", &used), "K2");
    assert_eq!(first.expect("response").status, 200);
    fleet.daemons[0].signal("TERM");
    assert_eq!(fleet.daemons[0].wait(WAIT_TIMEOUT), Some(true));
    for daemon in &fleet.daemons[1..] {
        let again =
            caller.request_booking(daemon, ("Apricotrun-Ticket", &used), "K2").expect("response");
        assert!(again.replayed, "{}", again.body);
    }
    // The unused ticket stays valid for one call, at any entry daemon.
    for daemon in &fleet.daemons[1..] {
        let response = caller.request_booking(daemon, ("Apricotrun-Ticket", &fresh), "Atomic");
        assert_eq!(response.expect("response").status, 200);
    }
    assert_eq!(executed(&fleet), 2);
    // A daemon that starts later learns which daemon is responsible for those tickets.
    fleet.restart(0).expect("the daemon starts");
    fleet.wait_ready().expect("the daemon is ready");
    wait_until("the new daemon knows the successor", || {
        let again = caller.request_booking(&fleet.daemons[0], ("Apricotrun-Ticket", &used), "K2");
        again.is_ok_and(|response| response.replayed)
    });
    assert_eq!(executed(&fleet), 2);
}

#[test]
fn store_outage_refuses_idempotency_keys_and_runs_nothing() {
    let fleet = start(options());
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let key = ("Idempotency-Key", "huber-8");
    let refused =
        Caller::default().request_booking(&fleet.daemons[0], key, "K2").expect("response");
    assert_eq!((refused.status, refused.verdict.as_deref()), (503, Some("not-run")));
    assert!(refused.retry_after.is_some());
    check_verdict(&fleet, &refused);
    // Tickets do not depend on the store.
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    let booked =
        Caller::default().request_booking(&fleet.daemons[1], header, "K2").expect("response");
    assert_eq!(booked.status, 200, "{}", booked.body);
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn lost_reply_to_the_key_binding_write_still_runs_once() {
    let fleet = start(options());
    fleet.store.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    let key = ("Idempotency-Key", "huber-9");
    for daemon in &fleet.daemons {
        let response = Caller::default().request_booking(daemon, key, "K2").expect("response");
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn caller_that_disconnects_and_retries_gets_the_first_response() {
    let fleet = start(options());
    set_faults(&fleet, &PlainFaults { delay_after_ms: 1_000, ..PlainFaults::default() });
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    let client = reqwest::blocking::Client::builder().no_proxy().build().expect("HTTP client");
    let disconnected = client
        .post(fleet.daemons[0].url("/services/rental-app/bookings"))
        .bearer_auth(standins::fleet::DESK_KEY)
        .header(header.0, header.1)
        .body("K2")
        .timeout(Duration::from_millis(300))
        .send();
    assert!(disconnected.is_err(), "the caller disconnected before the response");
    wait_until("the first response is replayed", || {
        let response =
            Caller::default().request_booking(&fleet.daemons[1], header, "K2").expect("response");
        assert!(matches!(response.status, 200 | 409), "{}", response.body);
        response.replayed
    });
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn refusal_without_upstreams_is_not_run() {
    let fleet = start(options());
    fleet.plain.values().for_each(|upstream| upstream.server.kill());
    let ticket = Caller::default().request_ticket(&fleet.daemons[0]);
    let header = ("Apricotrun-Ticket", ticket.as_str());
    let response =
        Caller::default().request_booking(&fleet.daemons[0], header, "K2").expect("response");
    assert_eq!(response.verdict.as_deref(), Some("not-run"), "{}", response.body);
    check_verdict(&fleet, &response);
    let body: Value = response.json();
    assert!(body["reason"].is_string(), "{body}");
}
