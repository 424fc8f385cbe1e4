//! Failures of a shard as lists of events against the real ledger.

mod bench;
mod lengths;

use apricotrun::coordination::claims::digest_claims;
use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, ReleaseOutcome, ShardMessage, SlotClaim,
};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardRole};
use apricotrun::prelude::*;
use bench::*;
use std::collections::BTreeSet;

#[test]
fn prefill_starts_only_with_a_decode_slot() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    let actions = bench.ask("a", 5);
    assert!(granted(&actions).is_empty(), "the prefill worker is idle, but no slot is free");
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    let grants = granted(&bench.say("a", done));
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].claim.attempt, attempt("a", 5));
}

#[test]
fn ask_that_comes_twice_gets_the_same_grant_and_one_slot() {
    let mut bench = Bench::owner(&["a"]);
    let first = granted(&bench.ask("a", 1));
    let second = granted(&bench.ask("a", 1));
    assert_eq!(first, second);
    assert_eq!(bench.ledger.claims().count(), 1);
}

#[test]
fn new_owner_grants_nothing_before_the_entries_report() {
    let mut bench = Bench::new();
    bench.members(&["a", "b"], ShardRole::Owner);
    assert!(granted(&bench.ask("a", 1)).is_empty());
    bench.say("a", ShardMessage::Summary { count: 0, digest: 0 });
    assert!(granted(&bench.pass(MILLI * 10)).is_empty(), "b has not reported");
    bench.say("b", ShardMessage::Summary { count: 0, digest: 0 });
    assert_eq!(bench.ledger.claims().count(), 1, "the ask is granted at once");
}

#[test]
fn new_owner_asks_every_local_entry_at_once() {
    let mut bench = Bench::new();
    let actions = bench.members(&["a", "b"], ShardRole::Owner);
    let pull = |entry| ShardAction::Send(daemon(entry), ShardMessage::Pull);
    assert_eq!(actions, [pull("a"), pull("b")]);
    bench.ask("a", 1);
    bench.say("a", ShardMessage::ClaimList(Vec::new()));
    let grants = granted(&bench.say("b", ShardMessage::ClaimList(Vec::new())));
    assert_eq!(grants.len(), 1);
}

#[test]
fn new_owner_waits_a_second_at_most() {
    let mut bench = Bench::new();
    bench.members(&["a", "b"], ShardRole::Owner);
    bench.ask("a", 1);
    assert!(granted(&bench.pass(MILLI * 999)).is_empty());
    assert_eq!(granted(&bench.pass(MILLI)).len(), 1);
}

#[test]
fn new_owner_pulls_the_claims_that_it_lacks() {
    let mut old = Bench::owner(&["a"]);
    let grants = old.fill("a");
    let claims: Vec<_> = grants
        .iter()
        .map(|grant| SlotClaim { phase: ClaimPhase::Run, ..grant.claim.clone() })
        .collect();
    let mut new = Bench::new();
    new.members(&["a"], ShardRole::Owner);
    let (count, digest) = digest_claims(claims.iter());
    let actions = new.say("a", ShardMessage::Summary { count, digest });
    assert_eq!(actions, [ShardAction::Send(daemon("a"), ShardMessage::Pull)]);
    new.ask("a", 9);
    new.say("a", ShardMessage::ClaimList(claims));
    assert_eq!(new.ledger.claims().count(), 4, "no fifth request is admitted");
}

#[test]
fn dead_entry_frees_its_slots_only_after_the_upstreams_confirm() {
    let mut bench = Bench::owner(&["a", "b"]);
    bench.fill("b");
    let actions = bench.members(&["a"], ShardRole::Owner);
    let cancels = cancelled(&actions);
    assert_eq!(cancels.len(), 8, "four at decode and four at prefill workers: {cancels:?}");
    bench.ask("a", 1);
    assert!(granted(&bench.pass(MILLI * 100)).is_empty(), "nothing is confirmed yet");
    let again = cancelled(&bench.pass(MILLI * 500));
    assert_eq!(again, cancels, "the cancels are repeated");
    let decode = if again.contains("d0 b.1.1.1") { "d0" } else { "d1" };
    let confirm = |upstream: &str| {
        ShardEvent::CancelConfirmed(attempt("b", 1), upstream.parse().expect("a name"))
    };
    assert!(granted(&bench.feed(confirm("p0"))).is_empty(), "the decode worker may still run it");
    let grants = granted(&bench.feed(confirm(decode)));
    assert_eq!(grants[0].claim.attempt, attempt("a", 1));
}

#[test]
fn backup_forgets_what_its_owner_cancelled() {
    let mut bench = Bench::new();
    bench.members(&["a", "b"], ShardRole::Backup);
    let claim = claim_of("b");
    bench.say("b", ShardMessage::Claim(claim));
    bench.members(&["a"], ShardRole::Backup);
    assert_eq!(bench.ledger.claims().count(), 1);
    bench.pass(SECOND * 60);
    assert_eq!(bench.ledger.claims().count(), 0);
}

#[test]
fn backup_that_takes_over_cancels_for_a_dead_entry() {
    let mut bench = Bench::new();
    bench.members(&["a", "b", "c"], ShardRole::Backup);
    let claim = claim_of("b");
    bench.say("b", ShardMessage::Claim(claim));
    // Owner c and entry b die together.
    let actions = bench.members(&["a"], ShardRole::Owner);
    assert_eq!(cancelled(&actions), BTreeSet::from(["d0 b.1.1.1".to_owned()]));
}

#[test]
fn lost_grant_is_freed_after_its_travel_time() {
    let mut bench = Bench::owner(&["a"]);
    assert_eq!(granted(&bench.ask("a", 1)).len(), 1);
    bench.say("a", ShardMessage::ClaimList(Vec::new()));
    assert_eq!(bench.ledger.claims().count(), 1, "the grant may be on its way");
    bench.pass(SECOND * 2);
    let actions = bench.say("a", ShardMessage::ClaimList(Vec::new()));
    assert_eq!(cancelled(&actions).len(), 2);
}

#[test]
fn waiting_ask_of_a_dead_entry_gets_no_grant() {
    let mut bench = Bench::owner(&["a", "b"]);
    bench.fill("a");
    bench.ask("b", 5);
    bench.members(&["a"], ShardRole::Owner);
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    assert!(granted(&bench.say("a", done)).is_empty());
}

#[test]
fn late_ask_of_a_dead_entry_gets_no_grant() {
    let mut bench = Bench::owner(&["a"]);
    assert!(granted(&bench.ask("gone", 1)).is_empty());
    assert_eq!(bench.ledger.claims().count(), 0);
}

#[test]
fn late_claim_of_a_dead_entry_is_cancelled() {
    let mut bench = Bench::owner(&["a"]);
    let claim = claim_of("gone");
    let actions = bench.say("gone", ShardMessage::Claim(claim));
    assert_eq!(cancelled(&actions).len(), 1);
}

#[test]
fn leaving_upstream_is_never_chosen() {
    let mut bench = Bench::owner(&["a"]);
    bench.configure(|template| template.upstreams[1].draining = true);
    for sequence in 1..=2 {
        let grants = granted(&bench.ask("a", sequence));
        assert_eq!(grants[0].claim.runner.as_str(), "d1");
        bench.run(&grants[0]);
    }
    assert!(granted(&bench.ask("a", 3)).is_empty());
}

#[test]
fn lost_upstream_rests_and_then_gets_one_request() {
    let mut bench = Bench::owner(&["a"]);
    let grant = granted(&bench.ask("a", 1)).remove(0);
    let lost = grant.claim.runner.clone();
    bench.run(&grant);
    bench.say("a", ShardMessage::Release(attempt("a", 1), ReleaseOutcome::RunnerLost));
    for sequence in 2..=3 {
        let grant = granted(&bench.ask("a", sequence)).remove(0);
        assert_ne!(grant.claim.runner, lost);
        bench.run(&grant);
    }
    assert!(granted(&bench.ask("a", 4)).is_empty());
    assert_eq!(granted(&bench.pass(SECOND))[0].claim.runner, lost);
}

#[test]
fn memory_is_charged_in_pieces() {
    let mut bench = Bench::owner(&["a"]);
    let mut large = ask_of("a", 1, "desk");
    large.prompt = Tokens(6_000);
    for sequence in 1..=2 {
        large.attempt = attempt("a", sequence);
        let grants = granted(&bench.say("a", ShardMessage::RequestAdmission(large.clone())));
        assert_eq!(grants[0].claim.pieces, KvBlocks(4));
        bench.run(&grants[0]);
    }
    let third = bench.ask("a", 3);
    assert!(granted(&third).is_empty(), "two slots are free, but no memory");
    let mut huge = ask_of("a", 4, "desk");
    huge.prompt = Tokens(9_000);
    let refusal = refused(&bench.say("a", ShardMessage::RequestAdmission(huge)))[0];
    assert_eq!(refusal.reason, RefusalReason::TooLarge);
}

#[test]
fn hopeless_ask_is_refused_at_once_with_a_time() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    let mut last = None;
    for sequence in 5..40 {
        if let Some(refusal) = refused(&bench.ask("a", sequence)).first() {
            last = Some(*refusal);
            break;
        }
    }
    let refusal = last.expect("the queue does not grow without end");
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn ask_whose_time_is_over_is_refused_within_ten_milliseconds() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    assert!(refused(&bench.ask("a", 5)).is_empty());
    let now = bench.clock.now();
    let wake = bench.ledger.next_wake().expect("the ledger wants to be woken");
    let refusals = refused(&bench.pass(wake - now));
    assert_eq!(refusals.len(), 1);
    assert!(wake - now <= SECOND * 2, "prefill and transfer still fit before the target");
}

#[test]
fn account_below_its_share_goes_first() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    bench.ask("a", 5);
    bench.say("a", ShardMessage::RequestAdmission(ask_of("a", 6, "field")));
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    let grants = granted(&bench.say("a", done));
    assert_eq!(grants[0].claim.account, account("field"));
}

#[test]
fn caller_that_comes_back_goes_before_new_ones() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    bench.ask("a", 5);
    let returning = AdmissionRequest { returning: true, ..ask_of("a", 6, "desk") };
    bench.say("a", ShardMessage::RequestAdmission(returning));
    let done = ShardMessage::Release(attempt("a", 1), ReleaseOutcome::Finished);
    assert_eq!(granted(&bench.say("a", done))[0].claim.attempt, attempt("a", 6));
}

#[test]
fn suspects_never_share_an_upstream() {
    let mut bench = Bench::owner(&["a"]);
    let suspect = |sequence| {
        ShardMessage::RequestAdmission(AdmissionRequest {
            suspect: true,
            ..ask_of("a", sequence, "desk")
        })
    };
    let mut runners = BTreeSet::new();
    for sequence in 1..=2 {
        let grant = granted(&bench.say("a", suspect(sequence))).remove(0);
        bench.run(&grant);
        runners.insert(grant.claim.runner);
    }
    assert_eq!(runners.len(), 2);
    assert!(granted(&bench.say("a", suspect(3))).is_empty(), "both have a suspect");
}

#[test]
fn daemon_without_duty_answers_nothing_and_keeps_nothing() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    bench.members(&["a"], ShardRole::Bystander);
    assert_eq!(bench.ledger.claims().count(), 0);
    assert!(bench.ask("a", 9).is_empty());
}

/// A failure domain with one decode worker: whoever was failed there must not hold up the others for
/// which it has room (tariq-roads-grown scale-1, with plain services placed by owners).
#[test]
fn ask_that_avoids_every_worker_holds_up_nobody() {
    let mut bench = Bench::owner(&["a"]);
    bench.configure(|template| {
        template.upstreams.retain(|upstream| upstream.name.as_str() != "d1");
    });
    let avoids = AdmissionRequest {
        avoid: vec!["d0".parse().expect("a name")],
        resuming: true,
        ..ask_of("a", 1, "desk")
    };
    let actions = bench.say("a", ShardMessage::RequestAdmission(avoids));
    assert_eq!(refused(&actions).first().map(|r| r.reason), Some(RefusalReason::NoUpstream));
    assert_eq!(granted(&bench.ask("a", 2)).len(), 1);
}

#[test]
fn waiting_ask_whose_last_worker_leaves_is_refused_then() {
    let mut bench = Bench::owner(&["a"]);
    bench.fill("a");
    let avoids = AdmissionRequest {
        avoid: vec!["d0".parse().expect("a name")],
        resuming: true,
        ..ask_of("a", 9, "desk")
    };
    assert!(
        refused(&bench.say("a", ShardMessage::RequestAdmission(avoids))).is_empty(),
        "d1 may have room"
    );
    let actions = bench.configure(|template| {
        let leaves = template.upstreams.iter_mut().find(|u| u.name.as_str() == "d1");
        leaves.expect("the worker").draining = true;
    });
    assert_eq!(refused(&actions).first().map(|r| r.reason), Some(RefusalReason::NoUpstream));
}

#[test]
fn suspect_that_waits_for_another_suspect_holds_up_nobody() {
    let mut bench = Bench::owner(&["a"]);
    bench.configure(|template| {
        template.upstreams.retain(|upstream| upstream.name.as_str() != "d1");
    });
    let suspect = |sequence| AdmissionRequest { suspect: true, ..ask_of("a", sequence, "desk") };
    let grant = granted(&bench.say("a", ShardMessage::RequestAdmission(suspect(1)))).remove(0);
    bench.run(&grant);
    assert!(granted(&bench.say("a", ShardMessage::RequestAdmission(suspect(2)))).is_empty());
    let patient = AdmissionRequest { first_token_within: SECOND * 20, ..ask_of("a", 3, "desk") };
    let actions = bench.say("a", ShardMessage::RequestAdmission(patient));
    assert_eq!(granted(&actions).len(), 1, "the second slot is free");
}

/// tariq-roads-grown inc-bb6d: owners changed while a call that was late already waited; each new one let
/// it wait another 2.5 s, and its caller left after 3.6 s without an answer.
#[test]
fn late_ask_that_waited_with_another_owner_is_refused_in_time() {
    for (waited, left) in [(Duration::ZERO, MILLI * 2_500), (SECOND, MILLI * 1_500)] {
        let mut bench = Bench::owner(&["a"]);
        bench.fill("a");
        let late =
            AdmissionRequest { first_token_within: Duration::ZERO, ..ask_of("a", 5, "desk") };
        let actions =
            bench.say("a", ShardMessage::RequestAdmission(AdmissionRequest { waited, ..late }));
        assert!(refused(&actions).is_empty(), "it may wait");
        assert!(refused(&bench.pass(left - MILLI)).is_empty(), "after {waited:?}");
        assert_eq!(refused(&bench.pass(MILLI * 2)).len(), 1, "after {waited:?}");
    }
}
