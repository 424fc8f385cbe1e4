//! Tests that ask what would become of a request, and then send it.

use crate::harness::{MILLI, SECOND, ShardHarness, admission_request, attempt, granted, refused};
use apricotrun::coordination::messages::{AdmissionRequest, ClaimPhase, ShardMessage, SlotClaim};
use apricotrun::coordination::shard::{PreviewDecision, ShardRole};
use apricotrun::prelude::*;

/// Asks what would become of a request, sends it, and compares; returns the decision.
fn ask_and_send(harness: &mut ShardHarness, request: AdmissionRequest) -> PreviewDecision {
    let now = harness.clock.now();
    let before = harness.ledger.claims().count();
    let preview = harness.ledger.preview(now, &request).expect("the owner answers");
    assert_eq!(harness.ledger.claims().count(), before, "asking must not hold anything");
    let actions = harness.deliver("a", ShardMessage::RequestAdmission(request));
    match &preview.decision {
        PreviewDecision::Grant { prefill, runner } => {
            let grants = granted(&actions);
            let claims: Vec<_> = grants.iter().map(|grant| &grant.claim).collect();
            assert!(
                matches!(claims[..], [claim]
                if claim.runner == *runner && claim.prefill == *prefill),
                "{actions:?}"
            );
        }
        PreviewDecision::Wait { .. } => {
            assert!(granted(&actions).is_empty() && refused(&actions).is_empty(), "{actions:?}");
        }
        PreviewDecision::Refuse { reason, .. } => {
            let refusals = refused(&actions);
            assert!(matches!(refusals[..], [refusal] if refusal.reason == *reason), "{actions:?}");
        }
    }
    preview.decision
}

#[test]
fn preview_is_what_the_request_then_gets() {
    let mut harness = ShardHarness::owner(&["a"]);
    let request = |sequence| admission_request("a", sequence, "desk");
    for sequence in 1..=4 {
        let decision = ask_and_send(&mut harness, request(sequence));
        let PreviewDecision::Grant { .. } = decision else { panic!("{sequence}: {decision:?}") };
        let claim = harness.ledger.claims().find(|claim| claim.attempt == attempt("a", sequence));
        let claim = claim.expect("a claim").clone();
        let claim = SlotClaim { phase: ClaimPhase::Run, ..claim };
        harness.deliver("a", ShardMessage::Claim(claim));
    }
    let patient = AdmissionRequest { first_token_within: SECOND * 50, ..request(5) };
    assert!(matches!(ask_and_send(&mut harness, patient), PreviewDecision::Wait { .. }));
    let hurried = AdmissionRequest { first_token_within: MILLI, ..request(6) };
    let decision = ask_and_send(&mut harness, hurried);
    assert!(
        matches!(decision, PreviewDecision::Refuse { expected_ms: Some(_), .. }),
        "{decision:?}"
    );
    let unknown = admission_request("a", 7, "nobody");
    let decision = ask_and_send(&mut harness, unknown);
    assert!(matches!(
        decision,
        PreviewDecision::Refuse { reason: RefusalReason::Forbidden, expected_ms: None }
    ));
}

/// A daemon that does not own the shard must not answer for its owner.
#[test]
fn only_the_owner_answers() {
    let mut harness = ShardHarness::new();
    harness.set_members(&["a"], ShardRole::Backup);
    let request = admission_request("a", 1, "desk");
    assert_eq!(harness.ledger.preview(harness.clock.now(), &request), None);
    harness.set_members(&["a"], ShardRole::Owner);
    let preview = harness.ledger.preview(harness.clock.now(), &request);
    assert_eq!(preview, None, "a new owner does not know yet what runs there");
}
