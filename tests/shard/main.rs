//! Failure scenarios of a shard, fed as sequences of events to the real ledger.

mod harness;
mod leaving;
mod lengths;
mod picture;
mod preview;
mod speed;
mod starts;
mod urgency;

use apricotrun::coordination::claims::digest_claims;
use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardRole};
use apricotrun::prelude::*;
use harness::*;
use std::collections::BTreeSet;

#[test]
fn prefill_starts_only_with_a_decode_slot() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    let actions = harness.request_admission("a", 5);
    assert!(granted(&actions).is_empty(), "the prefill worker is idle, but no slot is free");
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    let grants = granted(&harness.deliver("a", done));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].claim.attempt, attempt("a", 5));
}

#[test]
fn duplicate_request_gets_the_same_grant_and_one_slot() {
    let mut harness = ShardHarness::owner(&["a"]);
    let first = granted(&harness.request_admission("a", 1));
    let second = granted(&harness.request_admission("a", 1));
    assert_eq!(first, second);
    assert_eq!(harness.ledger.claims().count(), 1);
}

#[test]
fn new_owner_grants_nothing_before_the_entries_report() {
    let mut harness = ShardHarness::new();
    harness.set_members(&["a", "b"], ShardRole::Owner);
    assert!(granted(&harness.request_admission("a", 1)).is_empty());
    harness.deliver("a", ShardMessage::Summary { count: 0, digest: 0 });
    assert!(granted(&harness.advance(MILLI * 10)).is_empty(), "b has not reported");
    harness.deliver("b", ShardMessage::Summary { count: 0, digest: 0 });
    assert_eq!(harness.ledger.claims().count(), 1, "the request is granted at once");
}

#[test]
fn new_owner_pulls_claims_from_every_local_entry_at_once() {
    let mut harness = ShardHarness::new();
    let actions = harness.set_members(&["a", "b"], ShardRole::Owner);
    let pull = |entry| ShardAction::Send(daemon(entry), ShardMessage::Pull);
    assert_eq!(actions, [pull("a"), pull("b")]);
    harness.request_admission("a", 1);
    harness.deliver("a", ShardMessage::ClaimList(Vec::new()));
    let grants = granted(&harness.deliver("b", ShardMessage::ClaimList(Vec::new())));
    assert_eq!(grants.len(), 1);
}

#[test]
fn new_owner_waits_a_second_at_most() {
    let mut harness = ShardHarness::new();
    harness.set_members(&["a", "b"], ShardRole::Owner);
    harness.request_admission("a", 1);
    assert!(granted(&harness.advance(MILLI * 999)).is_empty());
    assert_eq!(granted(&harness.advance(MILLI)).len(), 1);
}

#[test]
fn new_owner_pulls_the_claims_that_it_lacks() {
    let mut old = ShardHarness::owner(&["a"]);
    let grants = old.fill_decode_slots("a");
    let claims: Vec<_> = grants
        .iter()
        .map(|grant| SlotClaim { phase: ClaimPhase::Run, ..grant.claim.clone() })
        .collect();
    let mut new = ShardHarness::new();
    new.set_members(&["a"], ShardRole::Owner);
    let (count, digest) = digest_claims(claims.iter());
    let actions = new.deliver("a", ShardMessage::Summary { count, digest });
    assert_eq!(actions, [ShardAction::Send(daemon("a"), ShardMessage::Pull)]);
    new.request_admission("a", 9);
    new.deliver("a", ShardMessage::ClaimList(claims));
    assert_eq!(new.ledger.claims().count(), 4, "no fifth request is admitted");
}

#[test]
fn dead_entry_frees_its_slots_only_after_the_upstreams_confirm() {
    let mut harness = ShardHarness::owner(&["a", "b"]);
    harness.fill_decode_slots("b");
    let actions = harness.set_members(&["a"], ShardRole::Owner);
    let cancels = cancelled(&actions);
    assert_eq!(cancels.len(), 8, "four at decode and four at prefill workers: {cancels:?}");
    harness.request_admission("a", 1);
    assert!(granted(&harness.advance(MILLI * 100)).is_empty(), "nothing is confirmed yet");
    let repeated = cancelled(&harness.advance(MILLI * 500));
    assert_eq!(repeated, cancels, "the cancels are repeated");
    let decode = if repeated.contains("d0 b.1.1.1") { "d0" } else { "d1" };
    let confirm = |upstream: &str| {
        ShardEvent::CancelConfirmed(attempt("b", 1), upstream.parse().expect("valid name"))
    };
    assert!(
        granted(&harness.handle_event(confirm("p0"))).is_empty(),
        "the decode worker may still run it"
    );
    let grants = granted(&harness.handle_event(confirm(decode)));
    assert_eq!(grants[0].claim.attempt, attempt("a", 1));
}

#[test]
fn backup_forgets_what_its_owner_cancelled() {
    let mut harness = ShardHarness::new();
    harness.set_members(&["a", "b"], ShardRole::Backup);
    let claim = run_claim("b");
    harness.deliver("b", ShardMessage::Claim(claim));
    harness.set_members(&["a"], ShardRole::Backup);
    assert_eq!(harness.ledger.claims().count(), 1);
    harness.advance(SECOND * 60);
    assert_eq!(harness.ledger.claims().count(), 0);
}

#[test]
fn backup_that_takes_over_cancels_for_a_dead_entry() {
    let mut harness = ShardHarness::new();
    harness.set_members(&["a", "b", "c"], ShardRole::Backup);
    let claim = run_claim("b");
    harness.deliver("b", ShardMessage::Claim(claim));
    // Owner c and entry daemon b die at the same time.
    let actions = harness.set_members(&["a"], ShardRole::Owner);
    assert_eq!(cancelled(&actions), BTreeSet::from(["d0 b.1.1.1".to_owned()]));
}

#[test]
fn lost_grant_is_freed_after_its_transit_time() {
    let mut harness = ShardHarness::owner(&["a"]);
    assert_eq!(granted(&harness.request_admission("a", 1)).len(), 1);
    harness.deliver("a", ShardMessage::ClaimList(Vec::new()));
    assert_eq!(harness.ledger.claims().count(), 1, "the grant may be on its way");
    harness.advance(SECOND * 2);
    let actions = harness.deliver("a", ShardMessage::ClaimList(Vec::new()));
    assert_eq!(cancelled(&actions).len(), 2);
}

#[test]
fn waiting_request_of_a_dead_entry_gets_no_grant() {
    let mut harness = ShardHarness::owner(&["a", "b"]);
    harness.fill_decode_slots("a");
    harness.request_admission("b", 5);
    harness.set_members(&["a"], ShardRole::Owner);
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    assert!(granted(&harness.deliver("a", done)).is_empty());
}

#[test]
fn delayed_request_of_a_dead_entry_gets_no_grant() {
    let mut harness = ShardHarness::owner(&["a"]);
    assert!(granted(&harness.request_admission("gone", 1)).is_empty());
    assert_eq!(harness.ledger.claims().count(), 0);
}

#[test]
fn delayed_claim_of_a_dead_entry_is_cancelled() {
    let mut harness = ShardHarness::owner(&["a"]);
    let claim = run_claim("gone");
    let actions = harness.deliver("gone", ShardMessage::Claim(claim));
    assert_eq!(cancelled(&actions).len(), 1);
}

#[test]
fn draining_upstream_is_never_chosen() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| template.upstreams[1].draining = true);
    for sequence in 1..=2 {
        let grants = granted(&harness.request_admission("a", sequence));
        assert_eq!(grants[0].claim.runner.as_str(), "d1");
        harness.start_run(&grants[0]);
    }
    assert!(granted(&harness.request_admission("a", 3)).is_empty());
}

#[test]
fn lost_upstream_backs_off_and_then_gets_one_request() {
    let mut harness = ShardHarness::owner(&["a"]);
    let grant = granted(&harness.request_admission("a", 1)).remove(0);
    let lost = grant.claim.runner.clone();
    harness.start_run(&grant);
    harness.deliver("a", ShardMessage::Release(attempt("a", 1), ReleaseOutcome::RunnerLost));
    for sequence in 2..=3 {
        let grant = granted(&harness.request_admission("a", sequence)).remove(0);
        assert_ne!(grant.claim.runner, lost);
        harness.start_run(&grant);
    }
    assert!(granted(&harness.request_admission("a", 4)).is_empty());
    assert_eq!(granted(&harness.advance(SECOND))[0].claim.runner, lost);
}

#[test]
fn memory_is_charged_in_blocks() {
    let mut harness = ShardHarness::owner(&["a"]);
    let mut large = admission_request("a", 1, "desk");
    large.prompt = Tokens(6_000);
    for sequence in 1..=2 {
        large.attempt = attempt("a", sequence);
        let grants = granted(&harness.deliver("a", ShardMessage::RequestAdmission(large.clone())));
        assert_eq!(grants[0].claim.kv_blocks, KvBlocks(4));
        harness.start_run(&grants[0]);
    }
    let third = harness.request_admission("a", 3);
    assert!(granted(&third).is_empty(), "two slots are free, but no memory");
    let mut huge = admission_request("a", 4, "desk");
    huge.prompt = Tokens(9_000);
    let refusal = refused(&harness.deliver("a", ShardMessage::RequestAdmission(huge)))[0];
    assert_eq!(refusal.reason, RefusalReason::TooLarge);
}

#[test]
fn request_that_would_start_too_late_is_refused_with_a_retry_time() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    let mut last = None;
    for sequence in 5..40 {
        if let Some(refusal) = refused(&harness.request_admission("a", sequence)).first() {
            last = Some(*refusal);
            break;
        }
    }
    let refusal = last.expect("the queue is bounded");
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn expired_request_is_refused_at_the_next_wake() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    assert!(refused(&harness.request_admission("a", 5)).is_empty());
    let now = harness.clock.now();
    let wake = harness.ledger.next_wake().expect("a wake-up is scheduled");
    let refusals = refused(&harness.advance(wake - now));
    assert_eq!(refusals.len(), 1);
    assert!(wake - now <= SECOND * 2, "prefill and transfer still fit before the target");
}

#[test]
fn account_below_its_share_goes_first() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    harness.request_admission("a", 5);
    harness.deliver("a", ShardMessage::RequestAdmission(admission_request("a", 6, "field")));
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    let grants = granted(&harness.deliver("a", done));
    assert_eq!(grants[0].claim.account, account("field"));
}

#[test]
fn retry_at_a_reserved_time_goes_before_new_requests() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    harness.request_admission("a", 5);
    let returning = AdmissionRequest { returning: true, ..admission_request("a", 6, "desk") };
    harness.deliver("a", ShardMessage::RequestAdmission(returning));
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    assert_eq!(granted(&harness.deliver("a", done))[0].claim.attempt, attempt("a", 6));
}

#[test]
fn suspects_never_share_an_upstream() {
    let mut harness = ShardHarness::owner(&["a"]);
    let suspect = |sequence| {
        ShardMessage::RequestAdmission(AdmissionRequest {
            suspect: true,
            ..admission_request("a", sequence, "desk")
        })
    };
    let mut runners = BTreeSet::new();
    for sequence in 1..=2 {
        let grant = granted(&harness.deliver("a", suspect(sequence))).remove(0);
        harness.start_run(&grant);
        runners.insert(grant.claim.runner);
    }
    assert_eq!(runners.len(), 2);
    assert!(granted(&harness.deliver("a", suspect(3))).is_empty(), "both run a suspect already");
}

#[test]
fn bystander_replies_to_nothing_and_keeps_no_claims() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    harness.set_members(&["a"], ShardRole::Bystander);
    assert_eq!(harness.ledger.claims().count(), 0);
    assert!(harness.request_admission("a", 9).is_empty());
}

/// A request that must avoid the only decode worker of a failure domain stayed at the head of the
/// queue and kept others from running there, although the worker had capacity (seen in
/// tariq-roads-grown scale-1, with plain services placed by owners).
#[test]
fn request_that_avoids_every_worker_blocks_no_other() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        template.upstreams.retain(|upstream| upstream.name.as_str() != "d1");
    });
    let avoids = AdmissionRequest {
        avoid: vec!["d0".parse().expect("valid name")],
        resuming: true,
        ..admission_request("a", 1, "desk")
    };
    let actions = harness.deliver("a", ShardMessage::RequestAdmission(avoids));
    assert_eq!(refused(&actions).first().map(|r| r.reason), Some(RefusalReason::NoUpstream));
    assert_eq!(granted(&harness.request_admission("a", 2)).len(), 1);
}

#[test]
fn waiting_request_is_refused_when_its_last_worker_drains() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.fill_decode_slots("a");
    let avoids = AdmissionRequest {
        avoid: vec!["d0".parse().expect("valid name")],
        resuming: true,
        ..admission_request("a", 9, "desk")
    };
    assert!(
        refused(&harness.deliver("a", ShardMessage::RequestAdmission(avoids))).is_empty(),
        "d1 may have capacity later"
    );
    let actions = harness.configure(|template| {
        let drained = template.upstreams.iter_mut().find(|u| u.name.as_str() == "d1");
        drained.expect("the worker").draining = true;
    });
    assert_eq!(refused(&actions).first().map(|r| r.reason), Some(RefusalReason::NoUpstream));
}

#[test]
fn suspect_that_waits_for_another_suspect_blocks_no_other() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        template.upstreams.retain(|upstream| upstream.name.as_str() != "d1");
    });
    let suspect =
        |sequence| AdmissionRequest { suspect: true, ..admission_request("a", sequence, "desk") };
    let grant =
        granted(&harness.deliver("a", ShardMessage::RequestAdmission(suspect(1)))).remove(0);
    harness.start_run(&grant);
    assert!(granted(&harness.deliver("a", ShardMessage::RequestAdmission(suspect(2)))).is_empty());
    let patient =
        AdmissionRequest { first_token_within: SECOND * 20, ..admission_request("a", 3, "desk") };
    let actions = harness.deliver("a", ShardMessage::RequestAdmission(patient));
    assert_eq!(granted(&actions).len(), 1, "the second slot is free");
}

/// The owner changed several times while a request past its first-token target was waiting. Each
/// new owner let it wait another 2.5 s, and the caller left after 3.6 s without a response (seen in
/// tariq-roads-grown inc-bb6d).
#[test]
fn late_request_that_waited_with_another_owner_is_refused_in_time() {
    for (waited, left) in [(Duration::ZERO, MILLI * 2_500), (SECOND, MILLI * 1_500)] {
        let mut harness = ShardHarness::owner(&["a"]);
        harness.fill_decode_slots("a");
        let late = AdmissionRequest {
            first_token_within: Duration::ZERO,
            ..admission_request("a", 5, "desk")
        };
        let actions = harness
            .deliver("a", ShardMessage::RequestAdmission(AdmissionRequest { waited, ..late }));
        assert!(refused(&actions).is_empty(), "it may wait");
        assert!(refused(&harness.advance(left - MILLI)).is_empty(), "after {waited:?}");
        assert_eq!(refused(&harness.advance(MILLI * 2)).len(), 1, "after {waited:?}");
    }
}

#[test]
fn full_prefill_worker_leaves_the_decode_worker_usable() {
    let mut harness = ShardHarness::owner(&["e1"]);
    let grant = granted(&harness.request_admission("e1", 1)).remove(0);
    let attempt = grant.claim.attempt.clone();
    harness.deliver("e1", ShardMessage::Release(attempt, ReleaseOutcome::PrefillFull));
    let status = harness.ledger.status(harness.clock.now());
    let usable = |name: &UpstreamName| {
        status.upstreams.iter().any(|upstream| upstream.name == *name && upstream.usable)
    };
    assert!(usable(&grant.claim.runner));
    assert!(!usable(&grant.claim.prefill.expect("a prefill worker")));
}

#[test]
fn leaving_upstream_is_not_granted_until_it_starts_anew() {
    let mut harness = ShardHarness::owner(&["e1"]);
    let first = granted(&harness.request_admission("e1", 1)).remove(0);
    let leaving = first.claim.runner.clone();
    harness.start_run(&first);
    harness.deliver("e1", ShardMessage::Leaving(leaving.clone(), Incarnation(u64::MAX)));
    harness.configure(|_| {});
    for sequence in 2..4 {
        for grant in granted(&harness.request_admission("e1", sequence)) {
            assert_ne!(grant.claim.runner, leaving);
        }
    }
}

fn pinned_request(sequence: u64, software: &str) -> ShardMessage {
    ShardMessage::RequestAdmission(AdmissionRequest {
        resuming: true,
        software: Some(software.parse().expect("valid version")),
        ..admission_request("a", sequence, "desk")
    })
}

/// Guards against incident inc1 of issue 27.
#[test]
fn request_of_a_software_version_is_granted_no_other() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        for upstream in &mut template.upstreams {
            let software = if upstream.name.as_str() == "d1" { "v2" } else { "v1" };
            upstream.software = software.parse().expect("valid version");
        }
    });
    for sequence in 1..=2 {
        let grants = granted(&harness.deliver("a", pinned_request(sequence, "v2")));
        assert_eq!(grants[0].claim.runner.as_str(), "d1");
        assert_eq!(grants[0].runner_software.as_str(), "v2");
        harness.start_run(&grants[0]);
    }
    let waits = harness.deliver("a", pinned_request(3, "v2"));
    assert!(granted(&waits).is_empty() && refused(&waits).is_empty(), "d1 is full: {waits:?}");
    let none = harness.deliver("a", pinned_request(4, "v3"));
    assert_eq!(refused(&none).first().map(|r| r.reason), Some(RefusalReason::NoUpstream));
}

/// A request for a version whose workers are full waits at the head of the queue, and the others
/// have free slots.
#[test]
fn request_of_a_full_software_version_blocks_no_other() {
    let mut harness = ShardHarness::owner(&["a"]);
    harness.configure(|template| {
        let d1 = template.upstreams.iter_mut().find(|u| u.name.as_str() == "d1");
        d1.expect("the worker").software = "v2".parse().expect("valid version");
    });
    let grants = harness.fill_decode_slots("a");
    assert!(granted(&harness.deliver("a", pinned_request(5, "v2"))).is_empty());
    assert!(granted(&harness.request_admission("a", 6)).is_empty());
    let at_d0 = grants.iter().find(|grant| grant.claim.runner.as_str() == "d0");
    let attempt = at_d0.expect("a grant").claim.attempt.clone();
    let release = ShardMessage::Release(attempt, ReleaseOutcome::Finished);
    let next = granted(&harness.deliver("a", release));
    assert_eq!(next.len(), 1, "the slot of d0 is free for the other request");
    assert_eq!(next[0].claim.attempt.request.sequence, 6);
}
