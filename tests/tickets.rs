//! At-most-once execution with tickets, tested on the ticket table.

use apricotrun::coordination::tickets::{
    StoredResponse, TicketDecision, TicketId, TicketResult, TicketTable,
};
use apricotrun::prelude::*;
use std::time::SystemTime;

const WINDOW: Duration = Duration::from_secs(600);
const KEY: [u8; 32] = [7; 32];

fn daemon(name: &str) -> DaemonId {
    format!("{name}.1").parse().expect("valid id")
}

fn body(text: &str) -> Fingerprint {
    Fingerprint::of(&[text.as_bytes()])
}

fn response() -> StoredResponse {
    let body = Some(b"booked".to_vec());
    StoredResponse { body, content_type: "text/plain".to_owned(), status: 200 }
}

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn verdict(decision: &TicketDecision) -> Option<Verdict> {
    match decision {
        TicketDecision::Refuse(refusal) => Some(refusal.verdict),
        _ => None,
    }
}

#[test]
fn first_use_runs_and_later_uses_get_its_response() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    assert_eq!(table.begin(at(1), &ticket, body("x")), TicketDecision::Run);
    let second = table.begin(at(1), &ticket, body("x"));
    assert_eq!(verdict(&second), Some(Verdict::MayHaveRun), "the request is in progress");
    table.finish(&ticket, TicketResult::Completed(response()));
    assert_eq!(table.begin(at(2), &ticket, body("x")), TicketDecision::Respond(response()));
}

#[test]
fn ticket_is_bound_to_the_request_of_its_first_use() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    table.begin(at(1), &ticket, body("x"));
    let other = table.begin(at(1), &ticket, body("y"));
    assert_eq!(verdict(&other), Some(Verdict::NotRun));
}

#[test]
fn request_that_did_not_run_may_be_retried_and_one_that_may_have_run_never() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    table.begin(at(1), &ticket, body("x"));
    table.finish(&ticket, TicketResult::NotRun);
    assert_eq!(table.begin(at(2), &ticket, body("x")), TicketDecision::Run);
    table.finish(&ticket, TicketResult::MayHaveRun);
    for second in 3..10 {
        let again = table.begin(at(second), &ticket, body("x"));
        assert_eq!(verdict(&again), Some(Verdict::MayHaveRun));
    }
}

#[test]
fn only_the_home_runs_a_ticket() {
    let mut home = TicketTable::new(daemon("a"));
    let mut other = TicketTable::new(daemon("b"));
    let ticket = home.issue(at(0), WINDOW);
    let decision = other.begin(at(1), &ticket, body("x"));
    assert_eq!(decision, TicketDecision::Forward(daemon("a")));
}

#[test]
fn later_incarnation_of_the_home_does_not_run_its_tickets() {
    let mut first = TicketTable::new("a.1".parse().expect("valid id"));
    let ticket = first.issue(at(0), WINDOW);
    let mut second = TicketTable::new("a.2".parse().expect("valid id"));
    let decision = second.begin(at(1), &ticket, body("x"));
    assert_eq!(decision, TicketDecision::Forward("a.1".parse().expect("valid id")));
}

#[test]
fn expired_ticket_does_not_run_even_when_its_row_is_removed() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    table.begin(at(1), &ticket, body("x"));
    table.finish(&ticket, TicketResult::Completed(response()));
    table.prune(at(100_000));
    assert!(table.is_empty());
    let late = table.begin(at(100_001), &ticket, body("x"));
    assert_eq!(verdict(&late), Some(Verdict::MayHaveRun));
}

#[test]
fn row_outlives_its_ticket_by_the_clock_skew() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    table.begin(at(1), &ticket, body("x"));
    table.finish(&ticket, TicketResult::Completed(response()));
    table.prune(at(600 + 200));
    let successor = &mut TicketTable::new(daemon("b"));
    successor.take_over(table.hand_over());
    // The successor's clock is four minutes behind that of the home.
    let decision = successor.begin(at(560), &ticket, body("x"));
    assert_eq!(decision, TicketDecision::Respond(response()));
}

#[test]
fn stopped_home_starts_nothing_more_and_its_successor_does() {
    let mut home = TicketTable::new(daemon("a"));
    let mut successor = TicketTable::new(daemon("b"));
    let (used, running, fresh) =
        (home.issue(at(0), WINDOW), home.issue(at(0), WINDOW), home.issue(at(0), WINDOW));
    home.begin(at(1), &used, body("x"));
    home.finish(&used, TicketResult::Completed(response()));
    home.begin(at(1), &running, body("y"));
    let handover = home.hand_over();
    assert_eq!(verdict(&home.begin(at(2), &fresh, body("z"))), Some(Verdict::MayHaveRun));
    successor.take_over(handover.clone());
    assert_eq!(successor.begin(at(3), &used, body("x")), TicketDecision::Respond(response()));
    assert_eq!(verdict(&successor.begin(at(3), &running, body("y"))), Some(Verdict::MayHaveRun));
    assert_eq!(successor.begin(at(3), &fresh, body("z")), TicketDecision::Run);
    // The home repeats the handover because the confirmation got lost.
    successor.take_over(handover);
    let again = successor.begin(at(4), &fresh, body("z"));
    assert_eq!(verdict(&again), Some(Verdict::MayHaveRun), "the row was not overwritten");
}

#[test]
fn forwarding_follows_a_chain_of_successors() {
    let mut other = TicketTable::new(daemon("c"));
    let ticket = TicketTable::new(daemon("a")).issue(at(0), WINDOW);
    other.set_successor(daemon("a"), daemon("b"));
    other.set_successor(daemon("b"), daemon("d"));
    let decision = other.begin(at(1), &ticket, body("x"));
    assert_eq!(decision, TicketDecision::Forward(daemon("d")));
}

#[test]
fn stored_responses_are_bounded_and_still_count_as_run() {
    let mut table = TicketTable::new(daemon("a"));
    let ticket = table.issue(at(0), WINDOW);
    table.begin(at(1), &ticket, body("x"));
    let large = StoredResponse { body: Some(vec![0; 1024 * 1024]), ..response() };
    table.finish(&ticket, TicketResult::Completed(large));
    let decision = table.begin(at(2), &ticket, body("x"));
    let kept = StoredResponse { body: None, ..response() };
    assert_eq!(decision, TicketDecision::Respond(kept));
}

#[test]
fn forged_ticket_is_rejected() {
    let ticket = TicketTable::new(daemon("a")).issue(at(0), WINDOW);
    let signed = ticket.sign(&KEY);
    assert_eq!(TicketId::verify(&signed, &KEY), Some(ticket));
    assert_eq!(TicketId::verify(&signed, &[8; 32]), None);
    assert_eq!(TicketId::verify(&signed.replacen(".1.", ".2.", 1), &KEY), None);
    for text in ["", ".", "a.b.c.d.e", "a.1.1.9999999999999999999999.0"] {
        assert_eq!(TicketId::verify(text, &KEY), None, "{text:?}");
    }
}
