//! Tests of the request flow: failures of one request, as lists of events.

mod harness;

use apricotrun::coordination::crashing_parts::CrashVerdict;
use apricotrun::coordination::flow::{
    DisconnectPolicy, FlowAction, FlowEvent, KvHandle, RequestSpec, RetryLimiter, UpstreamFailure,
};
use apricotrun::coordination::messages::{ClaimPhase, GrantMessage, ReleaseOutcome, ShardMessage};
use apricotrun::coordination::stops::{STOP_RETRY_AFTER, StopPlan, WorkForecast, WritingForecast};
use apricotrun::prelude::*;
use harness::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn tokens_are_forwarded_once_in_order_from_the_current_attempt() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    assert_eq!(emitted(&harness.valid_token(1, 0)), ["t0"]);
    assert_eq!(harness.valid_token(1, 0), [FlowAction::Dropped], "duplicate");
    assert_eq!(harness.token(1, "b.1.7.1", 1), [FlowAction::Dropped], "of another request");
    assert_eq!(harness.valid_token(2, 1), [FlowAction::Dropped], "of a future attempt");
    assert_eq!(emitted(&harness.valid_token(1, 1)), ["t1"]);
}

#[test]
fn token_gap_resumes_on_another_upstream() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    let actions = harness.valid_token(1, 2);
    assert!(emitted(&actions).is_empty());
    assert_eq!(admission_requests(&actions)[0].1, attempt(2));
    let actions = harness.grant(2, "d1", ClaimPhase::Prefill);
    assert!(!actions.is_empty());
    let handle = KvHandle("kv2".to_owned());
    let actions = harness.handle(FlowEvent::PrefillDone(attempt(2), handle));
    let from = actions.iter().find_map(|action| match action {
        FlowAction::StartRun { from, .. } => Some(*from),
        _ => None,
    });
    assert_eq!(from, Some(1), "the output resumes at the first token that the caller lacks");
    assert_eq!(
        harness.valid_token(1, 1),
        [FlowAction::Dropped],
        "tokens of the old attempt are dropped"
    );
}

#[test]
fn end_marker_with_a_wrong_count_fails_the_attempt() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    let actions = harness.handle(FlowEvent::RunEnded(attempt(1), 5));
    assert!(!actions.contains(&FlowAction::Finish));
    assert_eq!(admission_requests(&actions).len(), 1);
}

/// Guards against a stream that the error of another upstream ended as if it were complete.
#[test]
fn response_that_is_no_stream_does_not_end_a_stream_that_has_begun() {
    for event in [FlowEvent::ResponseReceived, FlowEvent::ErrorResponseReceived] {
        let mut harness = FlowHarness::new(|spec| spec.max_runs = 2);
        harness.start_decoding();
        harness.valid_token(1, 0);
        let actions = harness.handle(event(attempt(1)));
        assert!(!actions.contains(&FlowAction::Finish), "{actions:?}");
        assert_eq!(admission_requests(&actions)[0].1, attempt(2));
        harness.grant(2, "d1", ClaimPhase::Run);
        let actions = harness.handle(event(attempt(2)));
        let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
        let refusal = refusal.with_verdict(Verdict::MayHaveRun);
        assert!(actions.contains(&FlowAction::Refuse(refusal)), "{actions:?}");
    }
}

#[test]
fn second_grant_of_another_owner_is_released() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    harness.grant(1, "d0", ClaimPhase::Prefill);
    assert!(harness.grant(1, "d0", ClaimPhase::Prefill).is_empty(), "a repeated grant is ignored");
    let actions = harness.grant(1, "d1", ClaimPhase::Prefill);
    let release = ShardMessage::Release(attempt(1), ReleaseOutcome::Cancelled);
    assert_eq!(actions, [FlowAction::Send(harness.local_domain.clone(), release)]);
}

#[test]
fn grant_after_a_disconnect_is_released() {
    let mut harness = FlowHarness::new(|spec| spec.domains.truncate(1));
    harness.handle(FlowEvent::Start);
    let actions = harness.handle(FlowEvent::CallerDisconnected { is_sent: true });
    let withdraw = ShardMessage::Withdraw(attempt(1));
    assert_eq!(actions, [FlowAction::Send(harness.local_domain.clone(), withdraw)]);
    let actions = harness.grant(1, "d0", ClaimPhase::Prefill);
    let release = ShardMessage::Release(attempt(1), ReleaseOutcome::Cancelled);
    assert_eq!(actions, [FlowAction::Send(harness.local_domain.clone(), release)]);
}

#[test]
fn disconnect_cancels_at_both_upstreams() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    let actions = harness.handle(FlowEvent::CallerDisconnected { is_sent: true });
    let [FlowAction::Abort { upstreams, outcome, .. }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((upstreams.len(), *outcome), (2, ReleaseOutcome::Cancelled));
    assert!(harness.flow.is_ended());
}

#[test]
fn unresponsive_owner_is_retried_before_the_request_is_refused() {
    let mut harness = FlowHarness::new(|spec| spec.domains.truncate(1));
    harness.handle(FlowEvent::Start);
    assert_eq!(
        admission_requests(&harness.advance_time(MILLI * 250)),
        [(harness.local_domain.clone(), attempt(1), false)]
    );
    assert_eq!(admission_requests(&harness.handle(FlowEvent::OwnerChanged)).len(), 1);
    let refusal = refusal_of(&harness.advance_time(SECOND * 4)).expect("a refusal");
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::NoOwner, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
}

fn domain(name: &str) -> DomainName {
    name.parse().expect("valid name")
}

fn overloaded() -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded)
}

fn fail_fast_requests(actions: &[FlowAction]) -> Vec<(DomainName, bool)> {
    let request = |action: &FlowAction| match action {
        FlowAction::Send(domain, ShardMessage::RequestAdmission(request)) => {
            Some((domain.clone(), request.fail_fast))
        }
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

/// Refuses the request in every failure domain, so that it queues in the local one.
fn queue_locally(harness: &mut FlowHarness) {
    harness.handle(FlowEvent::Start);
    for name in ["tyrol-a", "tyrol-b", "tyrol-c"] {
        let refusal = ShardMessage::Refuse(attempt(1), overloaded());
        harness.handle(FlowEvent::OwnerMessage(domain(name), refusal));
    }
}

#[test]
fn overload_probes_every_failure_domain_before_queueing_locally() {
    let mut harness = FlowHarness::new(|_| {});
    assert_eq!(fail_fast_requests(&harness.handle(FlowEvent::Start)), [(domain("tyrol-a"), true)]);
    for (from, next, fail_fast) in
        [("tyrol-a", "tyrol-b", true), ("tyrol-b", "tyrol-c", true), ("tyrol-c", "tyrol-a", false)]
    {
        let refusal = ShardMessage::Refuse(attempt(1), overloaded());
        let actions = harness.handle(FlowEvent::OwnerMessage(domain(from), refusal));
        assert_eq!(fail_fast_requests(&actions), [(domain(next), fail_fast)]);
    }
    let refusal = overloaded().with_retry_after(SECOND * 3);
    let actions = harness.owner_message(ShardMessage::Refuse(attempt(1), refusal));
    assert_eq!(refusal_of(&actions), Some(refusal), "the retry time is the local owner's");
}

#[test]
fn unresponsive_owner_is_skipped() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    assert_eq!(fail_fast_requests(&harness.advance_time(MILLI * 60)), [(domain("tyrol-b"), true)]);
    assert_eq!(fail_fast_requests(&harness.advance_time(MILLI * 60)), [(domain("tyrol-c"), true)]);
    assert_eq!(fail_fast_requests(&harness.advance_time(MILLI * 60)), [(domain("tyrol-a"), false)]);
}

#[test]
fn queued_request_accepts_a_grant_from_another_failure_domain() {
    let mut harness = FlowHarness::new(|_| {});
    queue_locally(&mut harness);
    assert_eq!(fail_fast_requests(&harness.advance_time(MILLI * 150)), [(domain("tyrol-b"), true)]);
    let refusal = ShardMessage::Refuse(attempt(1), overloaded());
    assert!(harness.handle(FlowEvent::OwnerMessage(domain("tyrol-b"), refusal)).is_empty());
    assert_eq!(
        fail_fast_requests(&harness.advance_time(MILLI * 150))[0],
        (domain("tyrol-c"), true)
    );
    let grant = ShardMessage::Grant(grant(1, "d7", ClaimPhase::Prefill));
    let actions = harness.handle(FlowEvent::OwnerMessage(domain("tyrol-c"), grant));
    let withdraw = FlowAction::Send(domain("tyrol-a"), ShardMessage::Withdraw(attempt(1)));
    assert!(actions.contains(&withdraw), "it leaves the local queue: {actions:?}");
}

/// The local failure domain has no upstream that may serve the request; another one has one that is
/// busy.
#[test]
fn request_queues_where_an_upstream_may_serve_it() {
    let mut harness = FlowHarness::new(|_| {});
    queue_locally(&mut harness);
    let no_upstream = Refusal::not_run(RefusalReason::NoUpstream);
    let actions = harness.owner_message(ShardMessage::Refuse(attempt(1), no_upstream));
    assert_eq!(fail_fast_requests(&actions), vec![(domain("tyrol-b"), false)]);
    let other = |harness: &mut FlowHarness, name: &str| {
        harness.handle(FlowEvent::OwnerMessage(
            domain(name),
            ShardMessage::Refuse(attempt(1), no_upstream),
        ))
    };
    assert_eq!(
        fail_fast_requests(&other(&mut harness, "tyrol-b")),
        vec![(domain("tyrol-c"), false)]
    );
    assert_eq!(refusal_of(&other(&mut harness, "tyrol-c")), Some(no_upstream));
}

#[test]
fn returning_request_keeps_its_first_token_deadline() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    harness.owner_message(ShardMessage::FirstTokenDue(attempt(1), Duration::ZERO));
    let actions = harness.owner_message(ShardMessage::Refuse(attempt(1), overloaded()));
    let late = actions.iter().any(|action| match action {
        FlowAction::Send(_, ShardMessage::RequestAdmission(request)) => request.is_late(),
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

    fn record_sent(&self, _now: Instant) {}

    fn release(&self) {}
}

#[test]
fn spent_retry_budget_refuses_a_request_that_an_upstream_rejected() {
    let mut harness = FlowHarness::new(|spec| spec.retries = Arc::new(NoRetries));
    harness.start_decoding();
    let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Full));
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::RetriesSpent);
    assert_eq!(refusal.verdict, Verdict::NotRun, "the upstream has not executed it");
}

/// A limiter that allows this many retries.
#[derive(Debug)]
struct FewRetries(AtomicUsize);

impl RetryLimiter for FewRetries {
    fn try_acquire(&self, _now: Instant) -> bool {
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1))
            .is_ok()
    }

    fn record_sent(&self, _now: Instant) {}

    fn release(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a budget that is used up by retries which were never sent.
#[test]
fn retry_that_is_not_sent_is_given_back() {
    for is_sent in [false, true] {
        let limiter = Arc::new(FewRetries(AtomicUsize::new(1)));
        let mut harness = FlowHarness::new(|spec| spec.retries = limiter.clone());
        harness.handle(FlowEvent::Start);
        harness.grant(1, "d0", ClaimPhase::Run);
        harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Full));
        assert_eq!(limiter.0.load(Ordering::Relaxed), 0, "reserved");
        if is_sent {
            harness.grant(2, "d1", ClaimPhase::Run);
        }
        drop(harness);
        assert_eq!(limiter.0.load(Ordering::Relaxed), usize::from(!is_sent));
    }
}

/// Guards against review/9: a retry that has the prompt prefilled again is two calls at upstreams, and was
/// counted as one.
#[test]
fn prompt_that_is_prefilled_again_takes_a_retry_besides_that_of_its_run() {
    for (retries, is_refused) in [(1, true), (2, false)] {
        let limiter = Arc::new(FewRetries(AtomicUsize::new(retries)));
        let mut harness = FlowHarness::new(|spec| spec.retries = limiter.clone());
        harness.start_decoding();
        harness.clock.advance(SECOND);
        let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Full));
        assert_eq!(refusal_of(&actions), None);
        let actions = harness.grant(2, "d1", ClaimPhase::Prefill);
        let reason = refusal_of(&actions).map(|refusal| refusal.reason);
        assert_eq!(reason, is_refused.then_some(RefusalReason::RetriesSpent));
    }
}

#[test]
fn unsent_request_consumes_no_retry() {
    for failure in [UpstreamFailure::NothingSent, UpstreamFailure::Withheld] {
        let mut harness = FlowHarness::new(|spec| spec.retries = Arc::new(NoRetries));
        harness.start_decoding();
        let actions = harness.handle(FlowEvent::RunFailed(attempt(1), failure));
        assert_eq!(admission_requests(&actions).len(), 1, "{failure:?}");
    }
}

/// While the caller does not read, the host does not read either: the silent run must not count as
/// stalled.
#[test]
fn run_of_a_caller_that_is_behind_does_not_stall() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    for _ in 0..20 {
        harness.handle(FlowEvent::CallerBehind(attempt(1)));
        let actions = harness.advance_time(Duration::from_millis(400));
        assert!(admission_requests(&actions).is_empty(), "{actions:?}");
    }
    let actions = harness.advance_time(Duration::from_secs(5));
    assert_eq!(admission_requests(&actions).len(), 1, "a silent upstream still stalls");
}

/// An upstream that ends a response which its caller does not read has not crashed, and another one
/// would write for nobody.
#[test]
fn run_that_is_ended_unread_is_not_repeated() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Unread));
    assert!(admission_requests(&actions).is_empty());
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::CallerTooSlow);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    let is_held_against = |action: &FlowAction| matches!(action, FlowAction::Abort { outcome, .. } if *outcome != ReleaseOutcome::Withheld);
    assert!(!actions.iter().any(is_held_against), "{actions:?}");
}

/// The owner must back off the worker that is full, not the one that would have run the request.
#[test]
fn rejected_prefill_is_released_as_the_prefill_workers() {
    for (failure, expected) in [
        (UpstreamFailure::Full, ReleaseOutcome::PrefillFull),
        (UpstreamFailure::Withheld, ReleaseOutcome::Withheld),
    ] {
        let mut harness = FlowHarness::new(|_| {});
        harness.handle(FlowEvent::Start);
        harness.grant(1, "d0", ClaimPhase::Prefill);
        let actions = harness.handle(FlowEvent::PrefillFailed(attempt(1), failure));
        let outcome = actions.iter().find_map(|action| match action {
            FlowAction::Abort { outcome, .. } => Some(*outcome),
            _ => None,
        });
        assert_eq!(outcome, Some(expected));
    }
}

#[test]
fn non_retryable_stream_ends_when_its_connection_breaks() {
    let mut harness = FlowHarness::new(|spec| spec.retryable = false);
    harness.start_decoding();
    harness.valid_token(1, 0);
    let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Broken));
    assert!(admission_requests(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").verdict, Verdict::MayHaveRun);
}

#[test]
fn failed_prefill_of_a_non_retryable_request_is_retried() {
    let mut harness = FlowHarness::new(|spec| spec.retryable = false);
    harness.handle(FlowEvent::Start);
    harness.grant(1, "d0", ClaimPhase::Prefill);
    let actions = harness.handle(FlowEvent::PrefillFailed(attempt(1), UpstreamFailure::Broken));
    assert_eq!(
        admission_requests(&actions).len(),
        1,
        "nothing was executed, so another prefill worker may be used"
    );
}

#[test]
fn run_limit_bounds_the_runs_of_a_request() {
    let mut harness = FlowHarness::new(|spec| spec.max_runs = 2);
    harness.start_decoding();
    harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Broken));
    harness.grant(2, "d1", ClaimPhase::Run);
    let actions = harness.handle(FlowEvent::RunFailed(attempt(2), UpstreamFailure::Broken));
    assert!(admission_requests(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").reason, RefusalReason::UpstreamFailed);
}

#[test]
fn stalled_stream_resumes_elsewhere_after_the_stall_limit() {
    let mut harness = FlowHarness::new(|spec| spec.stall_limit = Some(MILLI * 1_500));
    harness.start_decoding();
    harness.valid_token(1, 0);
    assert!(admission_requests(&harness.advance_time(MILLI * 1_499)).is_empty());
    assert_eq!(admission_requests(&harness.advance_time(MILLI)).len(), 1, "it resumes elsewhere");
}

#[test]
fn stalled_retryable_call_is_retried_elsewhere() {
    let mut harness = FlowHarness::plain(true);
    let mut limited = FlowHarness::new(|spec| {
        spec.inter_token_target = Duration::ZERO;
        spec.stall_limit = Some(MILLI * 450);
    });
    for harness in [&mut harness, &mut limited] {
        harness.handle(FlowEvent::Start);
        harness.grant(1, "d0", ClaimPhase::Run);
    }
    assert!(
        harness.advance_time(MILLI * 450).is_empty(),
        "without a stall limit it has until its deadline"
    );
    assert_eq!(admission_requests(&limited.advance_time(MILLI * 450)).len(), 1);
}

#[test]
fn run_progress_is_reported_to_the_owner() {
    let mut harness = FlowHarness::new(|spec| {
        spec.progress_period = Some(MILLI * 500);
        spec.tokens_per_index = 76;
    });
    harness.start_decoding();
    let reported = |actions: &[FlowAction]| {
        actions.iter().find_map(|action| match action {
            FlowAction::Progress(_, _, tokens) => Some(*tokens),
            _ => None,
        })
    };
    assert_eq!(reported(&harness.valid_token(1, 0)), Some(Tokens(76)));
    assert_eq!(reported(&harness.valid_token(1, 1)), None, "not for every token");
    harness.clock.advance(MILLI * 500);
    assert_eq!(reported(&harness.valid_token(1, 2)), Some(Tokens(228)));
    let actions = harness.handle(FlowEvent::RunEnded(attempt(1), 3));
    assert_eq!(reported(&actions), Some(Tokens(228)), "the complete length at the end");
}

#[test]
fn stalled_transfer_reuses_the_prefill_on_another_worker() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    let actions = harness.advance_time(MILLI * 500);
    assert_eq!(admission_requests(&actions), [(harness.local_domain.clone(), attempt(2), true)]);
    let actions = harness.grant(2, "d1", ClaimPhase::Transfer);
    let handle = actions.iter().find_map(|action| match action {
        FlowAction::StartRun { handle, .. } => handle.clone(),
        _ => None,
    });
    assert_eq!(handle, Some(KvHandle("kv".to_owned())));
}

#[test]
fn evicted_prefill_is_recomputed() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.advance_time(MILLI * 500);
    harness.clock.advance(MILLI * 300);
    let actions = harness.grant(2, "d1", ClaimPhase::Transfer);
    assert_eq!(admission_requests(&actions), [(harness.local_domain.clone(), attempt(3), false)]);
}

#[test]
fn second_crash_of_a_sole_suspect_refuses_the_request() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Died));
    assert!(actions.iter().any(|action| matches!(action, FlowAction::ReportCrash(_))));
    let mut second = grant(2, "d1", ClaimPhase::Prefill);
    second.claim.suspect = true;
    harness.owner_message(ShardMessage::Grant(second));
    let actions = harness.handle(FlowEvent::PrefillFailed(attempt(2), UpstreamFailure::Died));
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::CrashesUpstream);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

#[test]
fn request_with_known_crashes_is_refused_before_it_runs() {
    let mut harness = FlowHarness::new(|spec| spec.crash_weight = 3);
    let refusal = refusal_of(&harness.handle(FlowEvent::Start)).expect("a refusal");
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

fn with_shared_part(spec: &mut RequestSpec) {
    spec.parts = vec![PromptPart(1)];
}

fn refused_parts() -> FlowEvent {
    FlowEvent::PartsRefused(Arc::new([PromptPart(1)].into()))
}

#[test]
fn request_with_a_part_refused_meanwhile_is_refused_unless_it_writes() {
    let mut waiting = FlowHarness::new(with_shared_part);
    waiting.handle(FlowEvent::Start);
    let refusal = refusal_of(&waiting.handle(refused_parts())).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::CrashesUpstream);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let mut decoding = FlowHarness::new(with_shared_part);
    decoding.start_decoding();
    let actions = decoding.handle(refused_parts());
    assert_eq!(refusal_of(&actions).expect("a refusal").verdict, Verdict::MayHaveRun);
    assert!(actions.iter().any(|action| matches!(action, FlowAction::Abort { .. })));
    let mut writing = FlowHarness::new(with_shared_part);
    writing.start_decoding();
    writing.valid_token(1, 0);
    assert_eq!(writing.handle(refused_parts()), []);
    let mut trial = FlowHarness::new(|spec| {
        with_shared_part(spec);
        spec.crash_verdict = CrashVerdict::Trial;
    });
    trial.handle(FlowEvent::Start);
    assert_eq!(trial.handle(refused_parts()), []);
}

/// A run that has written for a while clears its parts, and does not name them when it is lost.
#[test]
fn crash_report_names_the_parts_only_of_a_run_that_has_hardly_written() {
    for (time, parts) in [(MILLI * 499, vec![PromptPart(1)]), (MILLI * 500, Vec::new())] {
        let mut harness = FlowHarness::new(with_shared_part);
        harness.start_decoding();
        harness.valid_token(1, 0);
        harness.clock.advance(time);
        let actions = harness.valid_token(1, 1);
        let cleared = |action: &FlowAction| matches!(action, FlowAction::ReportOutput { .. });
        assert_eq!(actions.iter().any(cleared), parts.is_empty(), "{actions:?}");
        let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::Died));
        let report = actions.iter().find_map(|action| match action {
            FlowAction::ReportCrash(report) => Some(report.parts.clone()),
            _ => None,
        });
        assert_eq!(report, Some(parts));
    }
}

#[test]
fn non_retryable_call_is_not_executed_twice() {
    let mut harness = FlowHarness::plain(false);
    harness.handle(FlowEvent::Start);
    harness.grant(1, "d0", ClaimPhase::Run);
    let actions = harness.handle(FlowEvent::RunFailed(attempt(1), UpstreamFailure::NothingSent));
    assert_eq!(
        admission_requests(&actions).len(),
        1,
        "nothing was sent, so another upstream may execute it"
    );
    harness.grant(2, "d1", ClaimPhase::Run);
    let actions = harness.handle(FlowEvent::RunFailed(attempt(2), UpstreamFailure::Broken));
    assert!(admission_requests(&actions).is_empty());
    assert_eq!(refusal_of(&actions).expect("a refusal").verdict, Verdict::MayHaveRun);
}

#[test]
fn non_retryable_call_outlives_its_caller() {
    let mut harness = FlowHarness::plain(false);
    harness.handle(FlowEvent::Start);
    harness.grant(1, "d0", ClaimPhase::Run);
    assert!(harness.handle(FlowEvent::CallerDisconnected { is_sent: true }).is_empty());
    let actions = harness.handle(FlowEvent::ResponseReceived(attempt(1)));
    assert!(actions.contains(&FlowAction::Finish));
}

/// Guards against a call that is sent, or sent again, after its caller has left and nobody can ask for its
/// response. What has been sent is not broken off.
#[test]
fn call_that_nobody_can_ask_for_ends_with_its_caller_or_its_run() {
    use UpstreamFailure::{Broken, Full, NothingSent};
    let finish_run = DisconnectPolicy::FinishRun;
    for (policy, phase, is_sent, failure, goes_on, is_retried) in [
        (finish_run, ClaimPhase::Run, false, NothingSent, false, false),
        (finish_run, ClaimPhase::Run, true, NothingSent, true, false),
        (finish_run, ClaimPhase::Run, true, Full, true, false),
        (finish_run, ClaimPhase::Run, true, Broken, true, false),
        (finish_run, ClaimPhase::Prefill, true, Full, false, false),
        (DisconnectPolicy::GoOn, ClaimPhase::Run, false, NothingSent, true, true),
        (DisconnectPolicy::Cancel, ClaimPhase::Run, true, Broken, false, false),
    ] {
        let mut harness = FlowHarness::new(|spec| {
            (spec.retryable, spec.after_disconnect) = (false, policy);
        });
        harness.handle(FlowEvent::Start);
        harness.grant(1, "d0", phase);
        let actions = harness.handle(FlowEvent::CallerDisconnected { is_sent });
        assert_eq!(!harness.flow.is_ended(), goes_on, "{policy:?} {failure:?}: {actions:?}");
        let actions = harness.handle(FlowEvent::RunFailed(attempt(1), failure));
        assert_eq!(!admission_requests(&actions).is_empty(), is_retried, "{policy:?} {failure:?}");
        assert_eq!(!harness.flow.is_ended(), is_retried, "{policy:?} {failure:?}: {actions:?}");
    }
}

#[test]
fn deadline_refuses_a_running_call_at_once() {
    let mut harness = FlowHarness::plain(false);
    harness.handle(FlowEvent::Start);
    harness.grant(1, "d0", ClaimPhase::Run);
    let actions = harness.advance_time(SECOND * 60);
    let refusal = refusal_of(&actions).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun, "it may still run at the upstream");
}

#[test]
fn request_ends_exactly_once() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    let actions = harness.handle(FlowEvent::RunEnded(attempt(1), 1));
    assert_eq!(actions.iter().filter(|action| **action == FlowAction::Finish).count(), 1);
    for event in [
        FlowEvent::RunEnded(attempt(1), 1),
        FlowEvent::RunFailed(attempt(1), UpstreamFailure::Died),
        FlowEvent::CallerDisconnected { is_sent: true },
        FlowEvent::Tick,
    ] {
        assert!(harness.handle(event).is_empty());
    }
}

fn refused_overloaded(seconds: u32) -> Refusal {
    Refusal::not_run(RefusalReason::Overloaded).with_retry_after(SECOND * seconds)
}

/// Where the owner decides when a request leaves, asking around would undo its decision.
#[test]
fn request_that_waits_for_its_owner_asks_only_the_domain_that_the_owner_names() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    harness.owner_message(ShardMessage::Waiting(attempt(1)));
    assert_eq!(fail_fast_requests(&harness.advance_time(MILLI * 600)), []);
    let advice = ShardMessage::TryDomain(attempt(1), domain("tyrol-c"));
    assert_eq!(fail_fast_requests(&harness.owner_message(advice)), [(domain("tyrol-c"), true)]);
    let granted = ShardMessage::Grant(grant(1, "d0", ClaimPhase::Run));
    let actions = harness.handle(FlowEvent::OwnerMessage(domain("tyrol-c"), granted));
    let withdrawn = FlowAction::Send(domain("tyrol-a"), ShardMessage::Withdraw(attempt(1)));
    assert!(actions.contains(&withdrawn), "the place at home is given up: {actions:?}");
}

/// An owner that falls silent must not keep a request at home for good.
#[test]
fn request_whose_owner_says_no_more_asks_elsewhere_after_a_second() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    harness.owner_message(ShardMessage::Waiting(attempt(1)));
    let asked = fail_fast_requests(&harness.advance_time(SECOND));
    assert!(asked.contains(&(domain("tyrol-b"), true)), "{asked:?}");
}

/// A request is not lost at home while any other domain has room; the refusal at home holds otherwise.
#[test]
fn request_that_is_refused_at_home_asks_the_others_the_named_one_first() {
    let refuse_here = |other: Option<&str>| {
        let mut harness = FlowHarness::new(|_| {});
        harness.handle(FlowEvent::Start);
        let other = other.map(domain);
        let message = ShardMessage::RefuseHere(attempt(1), refused_overloaded(7), other);
        let actions = harness.owner_message(message);
        (harness, actions)
    };
    let full = || ShardMessage::Refuse(attempt(1), refused_overloaded(0));
    let (_, actions) = refuse_here(None);
    assert_eq!(fail_fast_requests(&actions), [(domain("tyrol-b"), true)]);
    let (mut harness, actions) = refuse_here(Some("tyrol-c"));
    assert_eq!(fail_fast_requests(&actions), [(domain("tyrol-c"), true)]);
    let actions = harness.handle(FlowEvent::OwnerMessage(domain("tyrol-c"), full()));
    assert_eq!(fail_fast_requests(&actions), [(domain("tyrol-b"), true)]);
    // The other domain is silent.
    let actions = harness.advance_time(MILLI * 60);
    assert_eq!(refusal_of(&actions), Some(refused_overloaded(7)), "the time at home holds");
    let (mut harness, _) = refuse_here(Some("tyrol-c"));
    let granted = ShardMessage::Grant(grant(1, "d0", ClaimPhase::Run));
    let actions = harness.handle(FlowEvent::OwnerMessage(domain("tyrol-c"), granted));
    assert!(actions.iter().any(|action| matches!(action, FlowAction::StartRun { .. })));
}

/// Guards against owner changes that restart the probe timer. When a failure domain was cut off,
/// the members changed several times a second, and a call spent 2 s on unresponsive owners in four
/// failure domains (tariq-roads-grown inc-bb6d).
#[test]
fn owner_changes_do_not_delay_probing() {
    let mut harness = FlowHarness::new(|_| {});
    harness.handle(FlowEvent::Start);
    harness.clock.advance(MILLI * 50);
    let again = admission_requests(&harness.handle(FlowEvent::OwnerChanged));
    assert_eq!(again[0].0, harness.local_domain, "the new owner is probed at once");
    let next = admission_requests(&harness.advance_time(MILLI * 10));
    assert_eq!(next[0].0, "tyrol-b".parse().expect("valid name"), "60 ms without a reply");
}

/// Guards against a stall limit that aborts a run which may not be retried. An engine preempted a
/// run for more than 1.5 s. Its route allowed no second run, so the response was cut off, although
/// the run would have resumed (cornice-fleet-grown mix --seed 874540561259).
#[test]
fn silent_non_retryable_run_is_not_aborted() {
    let mut harness = FlowHarness::new(|spec| {
        spec.retryable = false;
        spec.stall_limit = Some(MILLI * 1_500);
    });
    harness.start_decoding();
    assert_eq!(emitted(&harness.valid_token(1, 0)), ["t0"]);
    assert_eq!(harness.advance_time(SECOND * 10), []);
    assert_eq!(emitted(&harness.valid_token(1, 1)), ["t1"], "it resumes");
    let over = harness.advance_time(SECOND * 60);
    assert_eq!(
        refusal_of(&over).map(|refusal| refusal.reason),
        Some(RefusalReason::DeadlinePassed)
    );
}

/// Guards against a stream that is cut off for the silence of its upstream, which may go on: no other
/// upstream has room, or no further run is allowed.
#[test]
fn silent_run_is_kept_until_another_upstream_is_granted() {
    let silent = |max_runs| {
        let mut harness = FlowHarness::new(|spec| {
            spec.stall_limit = Some(MILLI * 1_500);
            spec.max_runs = max_runs;
        });
        harness.start_decoding();
        harness.valid_token(1, 0);
        let actions = harness.advance_time(MILLI * 1_500);
        (harness, actions)
    };
    let (mut last, actions) = silent(1);
    assert_eq!(actions, [FlowAction::UpstreamSilent { may_move: false }]);
    assert_eq!(last.advance_time(SECOND * 10), []);
    assert_eq!(emitted(&last.valid_token(1, 1)), ["t1"]);

    let (mut refused, actions) = silent(2);
    assert_eq!(admission_requests(&actions), [(refused.local_domain.clone(), attempt(2), false)]);
    let refusal = Refusal::not_run(RefusalReason::NoUpstream);
    let next = refused.owner_message(ShardMessage::Refuse(attempt(2), refusal));
    assert_eq!(admission_requests(&next).len(), 1, "the next failure domain is asked");
    for _ in 0..2 {
        assert!(!is_aborted(&refused.advance_time(MILLI * 60)));
    }
    let again = refused.advance_time(MILLI * 250);
    assert_eq!(admission_requests(&again), [(refused.local_domain.clone(), attempt(3), false)]);
    assert_eq!(emitted(&refused.valid_token(1, 1)), ["t1"]);
    let late = refused.grant(3, "d1", ClaimPhase::Run);
    assert!(!is_aborted(&late) && matches!(late[..], [FlowAction::Send(..)]), "{late:?}");
    refused.handle(FlowEvent::RunEnded(attempt(1), 2));
    assert!(refused.flow.is_ended());

    let (mut moved, _) = silent(2);
    let actions = moved.grant(2, "d1", ClaimPhase::Run);
    assert!(is_aborted(&actions) && started_run(&actions), "{actions:?}");
    assert_eq!(emitted(&moved.valid_token(2, 1)), ["t1"]);
    assert_eq!(emitted(&moved.valid_token(1, 1)), [""; 0], "the run that was given up");
}

fn is_aborted(actions: &[FlowAction]) -> bool {
    actions.iter().any(|action| matches!(action, FlowAction::Abort { .. }))
}

fn started_run(actions: &[FlowAction]) -> bool {
    actions.iter().any(|action| matches!(action, FlowAction::StartRun { from: 1, .. }))
}

fn grant_at(number: u32, runner: &str, software: &str) -> ShardMessage {
    let runner_software = software.parse().expect("valid version");
    ShardMessage::Grant(GrantMessage {
        runner_software,
        ..grant(number, runner, ClaimPhase::Prefill)
    })
}

fn requested_software(actions: &[FlowAction]) -> Vec<Option<SoftwareVersion>> {
    let software = |action: &FlowAction| match action {
        FlowAction::Send(_, ShardMessage::RequestAdmission(request)) => {
            Some(request.software.clone())
        }
        _ => None,
    };
    actions.iter().filter_map(software).collect()
}

/// Guards against incident inc1 of issue 27.
#[test]
fn stream_asks_only_for_the_version_that_wrote_its_first_event() {
    let mut harness = FlowHarness::new(|_| {});
    assert_eq!(requested_software(&harness.handle(FlowEvent::Start)), [None]);
    harness.owner_message(grant_at(1, "d0", "v1"));
    let failed = FlowEvent::PrefillFailed(attempt(1), UpstreamFailure::Broken);
    assert_eq!(requested_software(&harness.handle(failed)), [None], "no event was written");
    harness.owner_message(grant_at(2, "d1", "v2"));
    harness.handle(FlowEvent::PrefillDone(attempt(2), KvHandle("kv".to_owned())));
    harness.valid_token(2, 0);
    let failed = FlowEvent::RunFailed(attempt(2), UpstreamFailure::Broken);
    let version = |text: &str| Some(text.parse().expect("valid version"));
    assert_eq!(requested_software(&harness.handle(failed)), [version("v2")]);
    let actions = harness.owner_message(grant_at(3, "d2", "v1"));
    let release =
        |action: &FlowAction| matches!(action, FlowAction::Send(_, ShardMessage::Release(..)));
    assert!(actions.iter().any(release), "{actions:?}");
    assert_eq!(requested_software(&actions), [version("v2")]);
}

#[test]
fn stream_that_a_caller_takes_up_asks_for_the_version_that_began_it() {
    let mut harness = FlowHarness::new(|spec| {
        spec.first_index = 4;
        spec.software = Some("v1".parse().expect("valid version"));
    });
    let actions = harness.handle(FlowEvent::Start);
    assert_eq!(requested_software(&actions), [Some("v1".parse().expect("valid version"))]);
}

fn stopping() -> Refusal {
    Refusal::not_run(RefusalReason::Stopping).with_retry_after(STOP_RETRY_AFTER)
}

/// Guards against a request that is passed on shortly before the host exits.
#[test]
fn stopping_host_starts_no_run_that_cannot_end_in_time() {
    let mut harness = FlowHarness::new(|spec| {
        spec.domains.truncate(1);
        spec.work = WorkForecast::fixed(MILLI * 1_500, Duration::ZERO);
    });
    let plan = StopPlan::new(harness.clock.now(), SECOND * 8);
    assert!(harness.handle(FlowEvent::HostStops(plan)).is_empty());
    harness.handle(FlowEvent::Start);
    harness.clock.advance(SECOND * 6);
    let actions = harness.grant(1, "d0", ClaimPhase::Prefill);
    let release = ShardMessage::Release(attempt(1), ReleaseOutcome::Cancelled);
    assert_eq!(actions[0], FlowAction::Send(harness.local_domain.clone(), release));
    assert!(actions.contains(&FlowAction::Refuse(stopping())), "{actions:?}");
    assert!(harness.flow.is_ended());
}

/// The upstream `d1` takes 5 s for the output, the others 1 s.
#[derive(Debug)]
struct OneSlowUpstream;

impl WritingForecast for OneSlowUpstream {
    fn writing_time(&self, _now: Instant, runner: Option<&UpstreamName>) -> Duration {
        SECOND * if runner.is_some_and(|runner| runner.as_str() == "d1") { 5 } else { 1 }
    }
}

/// Guards against a stream that a slower upstream runs than the one that its host had in mind, whether it
/// came after the signal, waited at it or was being prefilled.
#[test]
fn stopping_host_starts_no_run_at_an_upstream_that_cannot_end_in_time() {
    for (runner, prefill_time, is_run) in
        [("d0", SECOND, true), ("d1", SECOND, false), ("d1", SECOND * 3, false)]
    {
        let mut harness = FlowHarness::new(|spec| {
            spec.domains.truncate(1);
            spec.work = WorkForecast { start: SECOND, writing: Arc::new(OneSlowUpstream) };
        });
        let plan = StopPlan::new(harness.clock.now(), SECOND * 8);
        harness.handle(FlowEvent::Start);
        harness.handle(FlowEvent::HostStops(plan));
        let granted_after = if prefill_time == SECOND { SECOND * 2 } else { SECOND };
        harness.clock.advance(granted_after);
        let mut actions = harness.grant(1, runner, ClaimPhase::Prefill);
        harness.clock.advance(prefill_time);
        let prefilled = FlowEvent::PrefillDone(attempt(1), KvHandle("kv".to_owned()));
        actions.extend(harness.handle(prefilled));
        let started = |action: &FlowAction| matches!(action, FlowAction::StartRun { .. });
        assert_eq!(actions.iter().any(started), is_run, "{runner}: {actions:?}");
        assert_eq!(refusal_of(&actions), (!is_run).then(stopping), "{runner}: {actions:?}");
    }
}

/// Guards against a request that waits while its time to run passes.
#[test]
fn waiting_request_is_refused_when_it_can_no_longer_end_before_the_host() {
    let mut harness = FlowHarness::new(|spec| {
        spec.domains.truncate(1);
        spec.work = WorkForecast::fixed(SECOND, Duration::ZERO);
    });
    let plan = StopPlan::new(harness.clock.now(), SECOND * 8);
    harness.handle(FlowEvent::Start);
    harness.handle(FlowEvent::HostStops(plan));
    let due = plan.latest_start(SECOND).expect("a time");
    harness.clock.advance(due - harness.clock.now());
    let actions = harness.handle(FlowEvent::Tick);
    assert!(actions.contains(&FlowAction::Refuse(stopping())), "{actions:?}");
}

/// Guards against a run that ends with the process, without an answer.
#[test]
fn run_without_output_is_answered_before_the_host_exits() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    let plan = StopPlan::new(harness.clock.now(), SECOND * 8);
    harness.handle(FlowEvent::HostStops(plan));
    assert!(harness.flow.next_wake().is_some_and(|wake| wake <= plan.answers_due()));
    harness.clock.advance(plan.answers_due() - harness.clock.now());
    let actions = harness.handle(FlowEvent::Tick);
    let refusal = stopping().with_verdict(Verdict::MayHaveRun);
    assert!(actions.contains(&FlowAction::Refuse(refusal)), "{actions:?}");
}

/// Guards against a stream that is cut off before the host exits.
#[test]
fn stream_that_has_begun_goes_on_until_the_host_exits() {
    let mut harness = FlowHarness::new(|_| {});
    harness.start_decoding();
    harness.valid_token(1, 0);
    let plan = StopPlan::new(harness.clock.now(), SECOND * 8);
    harness.handle(FlowEvent::HostStops(plan));
    harness.clock.advance(plan.answers_due() - harness.clock.now());
    assert_eq!(emitted(&harness.valid_token(1, 1)), ["t1"]);
    assert!(!harness.flow.is_ended());
}
