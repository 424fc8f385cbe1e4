//! Failures of one request as lists of events against the real flow.

mod bench;

use apricotrun::coordination::flow::{
    FlowAction, FlowEvent, KvHandle, RetryLimiter, UpstreamFailure,
};
use apricotrun::coordination::messages::{ClaimPhase, ReleaseOutcome, ShardMessage};
use apricotrun::prelude::*;
use bench::*;
use std::sync::Arc;

#[test]
fn tokens_pass_in_order_once_and_only_of_this_attempt() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    assert_eq!(emitted(&bench.own_token(1, 0)), ["t0"]);
    assert_eq!(bench.own_token(1, 0), [FlowAction::Dropped], "doubled");
    assert_eq!(bench.token(1, "b.1.7.1", 1), [FlowAction::Dropped], "of another request");
    assert_eq!(bench.own_token(2, 1), [FlowAction::Dropped], "of an attempt to come");
    assert_eq!(emitted(&bench.own_token(1, 1)), ["t1"]);
}

#[test]
fn gap_in_the_tokens_is_filled_elsewhere() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    bench.own_token(1, 0);
    let actions = bench.own_token(1, 2);
    assert!(emitted(&actions).is_empty());
    assert_eq!(asks(&actions)[0].1, attempt(2));
    let actions = bench.grant(2, "d1", ClaimPhase::Prefill);
    assert!(!actions.is_empty());
    let handle = KvHandle("kv2".to_owned());
    let actions = bench.feed(FlowEvent::PrefillDone(attempt(2), handle));
    let from = actions.iter().find_map(|action| match action {
        FlowAction::StartRun { from, .. } => Some(*from),
        _ => None,
    });
    assert_eq!(from, Some(1), "the answer goes on with the token that the caller lacks");
    assert_eq!(bench.own_token(1, 1), [FlowAction::Dropped], "the old attempt is not heard");
}

#[test]
fn end_marker_with_a_wrong_count_is_no_end() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    bench.own_token(1, 0);
    let actions = bench.feed(FlowEvent::RunEnded(attempt(1), 5));
    assert!(!actions.contains(&FlowAction::Finish));
    assert_eq!(asks(&actions).len(), 1);
}

#[test]
fn second_grant_of_another_owner_is_given_back() {
    let mut bench = Bench::new(|_| {});
    bench.feed(FlowEvent::Start);
    bench.grant(1, "d0", ClaimPhase::Prefill);
    assert!(bench.grant(1, "d0", ClaimPhase::Prefill).is_empty(), "the same again");
    let actions = bench.grant(1, "d1", ClaimPhase::Prefill);
    let release = ShardMessage::Release(attempt(1), ReleaseOutcome::Cancelled);
    assert_eq!(actions, [FlowAction::Send(bench.home.clone(), release)]);
}

#[test]
fn grant_after_the_caller_left_is_given_back() {
    let mut bench = Bench::new(|spec| spec.domains.truncate(1));
    bench.feed(FlowEvent::Start);
    let actions = bench.feed(FlowEvent::CallerDisconnected);
    let withdraw = ShardMessage::Withdraw(attempt(1));
    assert_eq!(actions, [FlowAction::Send(bench.home.clone(), withdraw)]);
    let actions = bench.grant(1, "d0", ClaimPhase::Prefill);
    let release = ShardMessage::Release(attempt(1), ReleaseOutcome::Cancelled);
    assert_eq!(actions, [FlowAction::Send(bench.home.clone(), release)]);
}

#[test]
fn caller_gone_cancels_at_both_upstreams() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    let actions = bench.feed(FlowEvent::CallerDisconnected);
    let [FlowAction::Abort { upstreams, outcome, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((upstreams.len(), *outcome), (2, ReleaseOutcome::Cancelled));
    assert!(bench.flow.is_ended());
}

#[test]
fn silent_owner_is_asked_again_and_then_refused() {
    let mut bench = Bench::new(|spec| spec.domains.truncate(1));
    bench.feed(FlowEvent::Start);
    assert_eq!(asks(&bench.pass(MILLI * 250)), [(bench.home.clone(), attempt(1), false)]);
    assert_eq!(asks(&bench.feed(FlowEvent::OwnerChanged)).len(), 1);
    let refusal = refusal_of(&bench.pass(SECOND * 4)).expect("a refusal");
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::NoOwner, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
}

fn domain(name: &str) -> DomainName {
    name.parse().expect("a name")
}

fn overloaded() -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded)
}

fn at_once(actions: &[FlowAction]) -> Vec<(DomainName, bool)> {
    let ask = |action: &FlowAction| match action {
        FlowAction::Send(domain, ShardMessage::RequestAdmission(ask)) => {
            Some((domain.clone(), ask.fail_fast))
        }
        _ => None,
    };
    actions.iter().filter_map(ask).collect()
}

/// Refuses the request in each failure domain, so that it waits at home.
fn wait_at_home(bench: &mut Bench) {
    bench.feed(FlowEvent::Start);
    for name in ["tyrol-a", "tyrol-b", "tyrol-c"] {
        let refusal = ShardMessage::Refuse(attempt(1), overloaded());
        bench.feed(FlowEvent::OwnerMessage(domain(name), refusal));
    }
}

#[test]
fn overload_looks_in_every_failure_domain_before_it_waits_at_home() {
    let mut bench = Bench::new(|_| {});
    assert_eq!(at_once(&bench.feed(FlowEvent::Start)), [(domain("tyrol-a"), true)]);
    for (from, next, free_only) in
        [("tyrol-a", "tyrol-b", true), ("tyrol-b", "tyrol-c", true), ("tyrol-c", "tyrol-a", false)]
    {
        let refusal = ShardMessage::Refuse(attempt(1), overloaded());
        let actions = bench.feed(FlowEvent::OwnerMessage(domain(from), refusal));
        assert_eq!(at_once(&actions), [(domain(next), free_only)]);
    }
    let refusal = overloaded().with_retry_after(SECOND * 3);
    let actions = bench.owner(ShardMessage::Refuse(attempt(1), refusal));
    assert_eq!(refusal_of(&actions), Some(refusal), "the time to come back is the home's");
}

#[test]
fn silent_owner_is_passed_over() {
    let mut bench = Bench::new(|_| {});
    bench.feed(FlowEvent::Start);
    assert_eq!(at_once(&bench.pass(MILLI * 60)), [(domain("tyrol-b"), true)]);
    assert_eq!(at_once(&bench.pass(MILLI * 60)), [(domain("tyrol-c"), true)]);
    assert_eq!(at_once(&bench.pass(MILLI * 60)), [(domain("tyrol-a"), false)]);
}

#[test]
fn waiting_request_takes_room_that_another_failure_domain_has() {
    let mut bench = Bench::new(|_| {});
    wait_at_home(&mut bench);
    assert_eq!(at_once(&bench.pass(MILLI * 150)), [(domain("tyrol-b"), true)]);
    let refusal = ShardMessage::Refuse(attempt(1), overloaded());
    assert!(bench.feed(FlowEvent::OwnerMessage(domain("tyrol-b"), refusal)).is_empty());
    assert_eq!(at_once(&bench.pass(MILLI * 150))[0], (domain("tyrol-c"), true));
    let grant = ShardMessage::Grant(grant(1, "d7", ClaimPhase::Prefill));
    let actions = bench.feed(FlowEvent::OwnerMessage(domain("tyrol-c"), grant));
    let withdraw = FlowAction::Send(domain("tyrol-a"), ShardMessage::Withdraw(attempt(1)));
    assert!(actions.contains(&withdraw), "its place in the queue at home is free: {actions:?}");
}

/// Home has no upstream that the request may use; another failure domain has one that is busy.
#[test]
fn request_waits_where_an_upstream_may_take_it() {
    let mut bench = Bench::new(|_| {});
    wait_at_home(&mut bench);
    let nobody = Refusal::not_run(RefusalReason::NoUpstream);
    let actions = bench.owner(ShardMessage::Refuse(attempt(1), nobody));
    assert_eq!(at_once(&actions), vec![(domain("tyrol-b"), false)]);
    let other = |bench: &mut Bench, name: &str| {
        bench.feed(FlowEvent::OwnerMessage(domain(name), ShardMessage::Refuse(attempt(1), nobody)))
    };
    assert_eq!(at_once(&other(&mut bench, "tyrol-b")), vec![(domain("tyrol-c"), false)]);
    assert_eq!(refusal_of(&other(&mut bench, "tyrol-c")), Some(nobody));
}

#[test]
fn returning_request_learns_when_its_first_token_was_due() {
    let mut bench = Bench::new(|_| {});
    bench.feed(FlowEvent::Start);
    bench.owner(ShardMessage::FirstTokenDue(attempt(1), Duration::ZERO));
    let actions = bench.owner(ShardMessage::Refuse(attempt(1), overloaded()));
    let late = actions.iter().any(|action| match action {
        FlowAction::Send(_, ShardMessage::RequestAdmission(ask)) => ask.is_late(),
        _ => false,
    });
    assert!(late, "{actions:?}");
}

#[derive(Debug)]
struct NoRetries;

impl RetryLimiter for NoRetries {
    fn try_acquire(&self, _now: Instant) -> bool {
        false
    }
}

#[test]
fn spent_retries_end_a_request_that_an_upstream_declined() {
    let mut bench = Bench::new(|spec| spec.retries = Arc::new(NoRetries));
    bench.decode();
    let actions = bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Full));
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::RetriesSpent);
    assert_eq!(refusal.verdict, Verdict::NotRun, "the upstream has not run it");
}

#[test]
fn request_to_which_no_byte_left_costs_no_retry() {
    let mut bench = Bench::new(|spec| spec.retries = Arc::new(NoRetries));
    bench.decode();
    let actions = bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::NothingSent));
    assert_eq!(asks(&actions).len(), 1);
}

#[test]
fn stream_that_may_not_be_resumed_ends_when_its_upstream_breaks() {
    let mut bench = Bench::new(|spec| spec.retryable = false);
    bench.decode();
    bench.own_token(1, 0);
    let actions = bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Broken));
    assert!(asks(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").verdict, Verdict::MayHaveRun);
}

#[test]
fn lost_prefill_leaves_a_request_that_runs_once_unrun() {
    let mut bench = Bench::new(|spec| spec.retryable = false);
    bench.feed(FlowEvent::Start);
    bench.grant(1, "d0", ClaimPhase::Prefill);
    let actions = bench.feed(FlowEvent::PrefillFailed(attempt(1), UpstreamFailure::Broken));
    assert_eq!(asks(&actions).len(), 1, "nothing has run: another prefill worker may try");
}

#[test]
fn request_runs_on_no_more_upstreams_than_its_route_allows() {
    let mut bench = Bench::new(|spec| spec.run_limit = 2);
    bench.decode();
    bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Broken));
    bench.grant(2, "d1", ClaimPhase::Run);
    let actions = bench.feed(FlowEvent::RunFailed(attempt(2), UpstreamFailure::Broken));
    assert!(asks(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").reason, RefusalReason::UpstreamFailed);
}

#[test]
fn silent_stream_is_given_up_before_its_caller_leaves() {
    let mut bench = Bench::new(|spec| spec.stall_limit = Some(MILLI * 1_500));
    bench.decode();
    bench.own_token(1, 0);
    assert!(asks(&bench.pass(MILLI * 1_499)).is_empty());
    assert_eq!(asks(&bench.pass(MILLI)).len(), 1, "it goes on elsewhere");
}

#[test]
fn silent_call_that_may_be_repeated_is_tried_elsewhere() {
    let mut bench = Bench::plain(true);
    let mut stalls = Bench::new(|spec| {
        spec.inter_token_target = Duration::ZERO;
        spec.stall_limit = Some(MILLI * 450);
    });
    for bench in [&mut bench, &mut stalls] {
        bench.feed(FlowEvent::Start);
        bench.grant(1, "d0", ClaimPhase::Run);
    }
    assert!(bench.pass(MILLI * 450).is_empty(), "without a limit it has until its deadline");
    assert_eq!(asks(&stalls.pass(MILLI * 450)).len(), 1);
}

#[test]
fn owner_hears_how_far_a_run_has_come() {
    let mut bench = Bench::new(|spec| {
        spec.progress_period = Some(MILLI * 500);
        spec.tokens_per_index = 76;
    });
    bench.decode();
    let told = |actions: &[FlowAction]| {
        actions.iter().find_map(|action| match action {
            FlowAction::Progress(_, _, tokens) => Some(*tokens),
            _ => None,
        })
    };
    assert_eq!(told(&bench.own_token(1, 0)), Some(Tokens(76)));
    assert_eq!(told(&bench.own_token(1, 1)), None, "not with every token");
    bench.clock.advance(MILLI * 500);
    assert_eq!(told(&bench.own_token(1, 2)), Some(Tokens(228)));
    let actions = bench.feed(FlowEvent::RunEnded(attempt(1), 3));
    assert_eq!(told(&actions), Some(Tokens(228)), "the whole length at the end");
}

#[test]
fn stalled_transfer_moves_the_same_result_elsewhere() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    let actions = bench.pass(MILLI * 500);
    assert_eq!(asks(&actions), [(bench.home.clone(), attempt(2), true)]);
    let actions = bench.grant(2, "d1", ClaimPhase::Transfer);
    let handle = actions.iter().find_map(|action| match action {
        FlowAction::StartRun { handle, .. } => handle.clone(),
        _ => None,
    });
    assert_eq!(handle, Some(KvHandle("kv".to_owned())));
}

#[test]
fn evicted_result_is_computed_again() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    bench.pass(MILLI * 500);
    bench.clock.advance(MILLI * 300);
    let actions = bench.grant(2, "d1", ClaimPhase::Transfer);
    assert_eq!(asks(&actions), [(bench.home.clone(), attempt(3), false)]);
}

#[test]
fn two_lone_losses_refuse_the_request_as_dangerous() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    let actions = bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Died));
    assert!(actions.iter().any(|action| matches!(action, FlowAction::ReportCrash(_))));
    let mut second = grant(2, "d1", ClaimPhase::Prefill);
    second.claim.suspect = true;
    bench.owner(ShardMessage::Grant(second));
    let actions = bench.feed(FlowEvent::PrefillFailed(attempt(2), UpstreamFailure::Died));
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::CrashesUpstream);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn known_crasher_is_refused_before_it_runs() {
    let mut bench = Bench::new(|spec| spec.crash_weight = 3);
    let refusal = refusal_of(&bench.feed(FlowEvent::Start)).expect("a refusal");
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[test]
fn call_that_may_not_be_repeated_is_not_sent_twice() {
    let mut bench = Bench::plain(false);
    bench.feed(FlowEvent::Start);
    bench.grant(1, "d0", ClaimPhase::Run);
    let actions = bench.feed(FlowEvent::RunFailed(attempt(1), UpstreamFailure::NothingSent));
    assert_eq!(asks(&actions).len(), 1, "nothing was sent: another upstream may run it");
    bench.grant(2, "d1", ClaimPhase::Run);
    let actions = bench.feed(FlowEvent::RunFailed(attempt(2), UpstreamFailure::Broken));
    assert!(asks(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").verdict, Verdict::MayHaveRun);
}

#[test]
fn call_that_may_not_be_repeated_outlives_its_caller() {
    let mut bench = Bench::plain(false);
    bench.feed(FlowEvent::Start);
    bench.grant(1, "d0", ClaimPhase::Run);
    assert!(bench.feed(FlowEvent::CallerDisconnected).is_empty());
    let actions = bench.feed(FlowEvent::ResponseReceived(attempt(1)));
    assert!(actions.contains(&FlowAction::Finish));
}

#[test]
fn deadline_gives_the_final_answer_at_once() {
    let mut bench = Bench::plain(false);
    bench.feed(FlowEvent::Start);
    bench.grant(1, "d0", ClaimPhase::Run);
    let actions = bench.pass(SECOND * 60);
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun, "it may still run at the upstream");
}

#[test]
fn request_ends_exactly_once() {
    let mut bench = Bench::new(|_| {});
    bench.decode();
    bench.own_token(1, 0);
    let actions = bench.feed(FlowEvent::RunEnded(attempt(1), 1));
    assert_eq!(actions.iter().filter(|action| **action == FlowAction::Finish).count(), 1);
    for event in [
        FlowEvent::RunEnded(attempt(1), 1),
        FlowEvent::RunFailed(attempt(1), UpstreamFailure::Died),
        FlowEvent::CallerDisconnected,
        FlowEvent::Tick,
    ] {
        assert!(bench.feed(event).is_empty());
    }
}

/// tariq-roads-grown inc-bb6d: in a zone cut, members changed several times a second, and a call spent
/// 2 s with the owners of four failure domains that did not answer.
#[test]
fn owners_that_change_do_not_hold_up_the_look_elsewhere() {
    let mut bench = Bench::new(|_| {});
    bench.feed(FlowEvent::Start);
    bench.clock.advance(MILLI * 50);
    let again = asks(&bench.feed(FlowEvent::OwnerChanged));
    assert_eq!(again[0].0, bench.home, "the new owner is asked at once");
    let next = asks(&bench.pass(MILLI * 10));
    assert_eq!(next[0].0, "tyrol-b".parse().expect("a name"), "60 ms without an answer");
}

/// cornice-fleet-grown mix --seed 874540561259: an engine put a run back for more than 1.5 s. The route
/// allows no second run, so its answer was cut although it would have gone on.
#[test]
fn silent_run_that_may_not_be_repeated_is_waited_for() {
    let mut bench = Bench::new(|spec| {
        spec.retryable = false;
        spec.stall_limit = Some(MILLI * 1_500);
    });
    bench.decode();
    assert_eq!(emitted(&bench.own_token(1, 0)), ["t0"]);
    assert_eq!(bench.pass(SECOND * 10), []);
    assert_eq!(emitted(&bench.own_token(1, 1)), ["t1"], "it goes on");
    let over = bench.pass(SECOND * 60);
    assert_eq!(
        refusal_of(&over).map(|refusal| refusal.reason),
        Some(RefusalReason::DeadlinePassed)
    );
}
