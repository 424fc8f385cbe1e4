//! Tests of requests of unequal urgency that compete for too little room.

use crate::harness::{MILLI, SECOND, ShardHarness, admission_request, granted, refused};
use apricotrun::coordination::messages::{AdmissionRequest, ReleaseOutcome, ShardMessage};
use apricotrun::prelude::*;

fn request(sequence: u64, urgency: u8, within: Duration) -> AdmissionRequest {
    AdmissionRequest {
        first_token_within: within,
        urgency: UrgencyRank(urgency),
        ..admission_request("a", sequence, "desk")
    }
}

/// Fills all slots, lets requests wait, then frees slots one after another; returns the sequence numbers
/// of the requests in the order in which they start. Each waits for `pause` before the next arrives.
fn order_of(requests: Vec<AdmissionRequest>, pause: Duration) -> Vec<u64> {
    let mut harness = ShardHarness::owner(&["a"]);
    let mut running = harness.fill_decode_slots("a");
    for request in requests {
        harness.deliver("a", ShardMessage::RequestAdmission(request));
        harness.advance(pause);
    }
    let mut order = Vec::new();
    while let Some(grant) = running.pop() {
        let release = ShardMessage::Release(grant.claim.attempt, ReleaseOutcome::Finished);
        for grant in granted(&harness.deliver("a", release)) {
            order.push(grant.claim.attempt.request.sequence);
            harness.start_run(&grant);
        }
    }
    order
}

/// The urgent kind has the shorter target: by the latest start alone it expired before the other one,
/// which was served in its place.
#[test]
fn urgent_request_goes_before_one_that_may_wait_longer() {
    let requests = vec![
        request(11, 2, SECOND * 4),
        request(12, 2, SECOND * 4),
        request(13, 0, SECOND * 5),
        request(14, 0, SECOND * 5),
    ];
    assert_eq!(order_of(requests, MILLI), [13, 14, 11, 12]);
}

#[test]
fn requests_of_the_same_urgency_go_by_their_latest_start() {
    let requests =
        vec![request(11, 2, SECOND * 6), request(12, 2, SECOND * 4), request(13, 2, SECOND * 5)];
    assert_eq!(order_of(requests, MILLI), [12, 13, 11]);
}

/// A steady load of urgent requests must not starve the others.
#[test]
fn less_urgent_request_that_has_waited_goes_before_a_new_urgent_one() {
    let requests = vec![request(11, 2, SECOND * 20), request(12, 0, SECOND * 20)];
    assert_eq!(order_of(requests, SECOND * 5 / 2)[0], 11);
}

/// An urgent request that will be served in time must not be refused for what waits behind it.
#[test]
fn urgent_request_is_not_refused_for_less_urgent_ones() {
    let admit = |urgency: u8| {
        let mut harness = ShardHarness::owner(&["a"]);
        harness.fill_decode_slots("a");
        let mut waiting = 0;
        for sequence in 10..60 {
            let request = request(sequence, 5, SECOND * 8);
            let actions = harness.deliver("a", ShardMessage::RequestAdmission(request));
            waiting += usize::from(refused(&actions).is_empty());
        }
        let request = request(100, urgency, SECOND * 3);
        let actions = harness.deliver("a", ShardMessage::RequestAdmission(request));
        (waiting, refused(&actions).is_empty())
    };
    let (waiting, admitted) = admit(5);
    assert!(waiting >= 2 && !admitted, "{waiting} wait; without urgency the request is refused");
    assert!(admit(0).1, "{waiting} less urgent requests wait");
}

#[test]
fn rank_is_written_and_read() {
    assert_eq!("3".parse(), Ok(UrgencyRank(3)));
    assert_eq!(UrgencyRank::from_priority(70), UrgencyRank::LEAST);
    assert_eq!(UrgencyRank(4).to_string(), "4");
}
