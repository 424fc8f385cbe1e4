//! Upstreams that fail their requests: sequences of events against the real ledger of an entry
//! daemon that places plain requests itself.

use apricotrun::coordination::messages::{
    AdmissionRequest, GrantMessage, ReleaseOutcome, ShardMessage,
};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::prelude::*;
use apricotrun::state::clock::ManualClock;
use apricotrun::state::fleet::AccountQuota;
use standins::fixtures::upstream;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn entry() -> DaemonId {
    "a.1".parse().expect("valid id")
}

fn account() -> AccountName {
    "callers".parse().expect("valid name")
}

/// An entry daemon in tyrol-a with one local worker, `w-a`, and one in each of two other failure
/// domains.
struct EntryHarness {
    clock: ManualClock,
    ledger: ShardLedger,
    sequence: u64,
}

impl EntryHarness {
    fn new() -> Self {
        let clock = ManualClock::default();
        let ledger = ShardLedger::new("tyrol-a".parse().expect("valid name"));
        let mut harness = Self { clock, ledger, sequence: 0 };
        let quota = AccountQuota { ceiling: 1.0, max_waiting: 50, share: 1.0 };
        let quotas = BTreeMap::from([(account(), quota)]);
        harness.handle_event(ShardEvent::Configure(Arc::new(template()), quotas));
        let live = BTreeSet::from([entry()]);
        harness.handle_event(ShardEvent::Members {
            live: live.clone(),
            local: live,
            role: ShardRole::Owner,
        });
        harness.deliver(ShardMessage::Summary { count: 0, digest: 0 });
        harness
    }

    fn handle_event(&mut self, event: ShardEvent) -> Vec<ShardAction> {
        let actions = self.ledger.handle(self.clock.now(), event);
        assert!(self.ledger.is_consistent(), "slots and KV-cache blocks differ from the claims");
        actions
    }

    fn deliver(&mut self, message: ShardMessage) -> Vec<ShardAction> {
        self.handle_event(ShardEvent::Message(entry(), message))
    }

    /// Places one request.
    fn place(&mut self) -> GrantMessage {
        self.place_avoiding(&[]).expect("a worker has capacity")
    }

    /// Asks for a worker for a request that failed at the workers in `avoid`.
    fn place_avoiding(&mut self, avoid: &[&str]) -> Option<GrantMessage> {
        self.sequence += 1;
        let request = RequestId { entry: entry(), sequence: self.sequence };
        let admission = AdmissionRequest {
            account: account(),
            expected_output: Tokens(0),
            fail_fast: false,
            attempt: AttemptId { request, attempt: 1 },
            avoid: avoid.iter().map(|name| name.parse().expect("valid name")).collect(),
            fingerprint: Fingerprint::of(&[&self.sequence.to_le_bytes()]),
            first_token_within: MILLI * 300,
            max_output: Tokens(0),
            prefilled: false,
            prefix: Vec::new(),
            prompt: Tokens(0),
            resuming: !avoid.is_empty(),
            returning: false,
            suspect: false,
            software: None,
            urgency: UrgencyRank::default(),
            waited: Duration::ZERO,
        };
        let actions = self.deliver(ShardMessage::RequestAdmission(admission));
        actions.into_iter().find_map(|action| match action {
            ShardAction::Send(_, ShardMessage::Grant(grant)) => Some(grant),
            _ => None,
        })
    }

    /// Places `count` requests one after another. Each takes 10 ms and ends with the `outcome` for
    /// its worker. Returns how many requests each worker got.
    fn run_requests(
        &mut self,
        count: u32,
        outcome: impl Fn(&str) -> ReleaseOutcome,
    ) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let claim = self.place().claim;
            *counts.entry(claim.runner.to_string()).or_default() += 1;
            self.clock.advance(MILLI * 10);
            let outcome = outcome(claim.runner.as_str());
            self.deliver(ShardMessage::Release(claim.attempt, outcome));
        }
        counts
    }
}

fn template() -> ServiceTemplate {
    let upstream = |name: &str, domain: &str| {
        upstream(name, &domain.parse().expect("valid name"), UpstreamRole::Plain, 6)
    };
    let upstreams =
        vec![upstream("w-a", "tyrol-a"), upstream("w-b", "tyrol-b"), upstream("w-c", "tyrol-c")];
    ServiceTemplate {
        inter_token_target: Duration::ZERO,
        prefill_retention: Duration::ZERO,
        first_token_target: MILLI * 300,
        link_tokens_per_second: TokenRate::default(),
        block_tokens: Tokens(16),
        placement: PlacementScope::Entry,
        prefill_tokens_per_second: TokenRate::default(),
        retry_window: Duration::ZERO,
        ..standins::fixtures::template("app", upstreams)
    }
}

fn failing_at<'a>(name: &'a str) -> impl Fn(&str) -> ReleaseOutcome + 'a {
    move |runner| match runner == name {
        true => ReleaseOutcome::RunnerFailed,
        false => ReleaseOutcome::Finished,
    }
}

/// A worker that fails every request immediately is always idle, and here it is also the local one.
#[test]
fn worker_that_fails_every_request_is_avoided() {
    let mut harness = EntryHarness::new();
    let counts = harness.run_requests(100, failing_at("w-a"));
    assert!(counts["w-a"] <= 6, "{counts:?}");
}

#[test]
fn recovered_worker_gets_requests_again() {
    let mut harness = EntryHarness::new();
    harness.run_requests(20, failing_at("w-a"));
    harness.clock.advance(SECOND * 15);
    let counts = harness.run_requests(20, |_| ReleaseOutcome::Finished);
    assert_eq!(counts.get("w-a"), Some(&20), "it is the local one");
}

/// Some requests fail on any worker, which makes no worker worse than the others.
#[test]
fn failures_common_to_all_workers_change_nothing() {
    let mut harness = EntryHarness::new();
    let counts = harness.run_requests(20, |_| ReleaseOutcome::RunnerFailed);
    assert!(counts["w-a"] > 10, "{counts:?}");
}

/// A retry whose remaining workers are all backed off waits for one of them. Meanwhile the
/// worker that it avoids must take other requests (seen in cornice-fleet inc-6871, where requests
/// were refused while nothing was running).
#[test]
fn retry_that_waits_for_backed_off_workers_blocks_no_other() {
    let mut harness = EntryHarness::new();
    let lost = |harness: &mut EntryHarness, avoid: &[&str], runner: &str| {
        let claim = harness.place_avoiding(avoid).expect("a worker has capacity").claim;
        assert_eq!(claim.runner.as_str(), runner);
        harness.deliver(ShardMessage::Release(claim.attempt, ReleaseOutcome::RunnerLost));
    };
    lost(&mut harness, &["w-a", "w-c"], "w-b");
    lost(&mut harness, &["w-a", "w-b"], "w-c");
    // A backed-off worker gets one probe request at a time if no other worker is left.
    assert!(harness.place_avoiding(&["w-a"]).is_some());
    assert!(harness.place_avoiding(&["w-a"]).is_some());
    assert_eq!(
        harness.place_avoiding(&["w-a"]),
        None,
        "both of its workers are backed off and already get a probe"
    );
    assert_eq!(harness.place().claim.runner.as_str(), "w-a");
}
