//! Upstreams that fail their requests, as lists of events against the real ledger of an entry that places
//! plain calls by itself.

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
    "a.1".parse().expect("an id")
}

fn account() -> AccountName {
    "callers".parse().expect("a name")
}

/// An entry in tyrol-a with one worker at home, `w-a`, and one in each of two other failure domains.
struct Bench {
    clock: ManualClock,
    ledger: ShardLedger,
    sequence: u64,
}

impl Bench {
    fn new() -> Self {
        let clock = ManualClock::default();
        let ledger = ShardLedger::new("tyrol-a".parse().expect("a name"));
        let mut bench = Self { clock, ledger, sequence: 0 };
        let grant = AccountQuota { ceiling: 1.0, max_waiting: 50, share: 1.0 };
        let grants = BTreeMap::from([(account(), grant)]);
        bench.feed(ShardEvent::Configure(Arc::new(template()), grants));
        let live = BTreeSet::from([entry()]);
        bench.feed(ShardEvent::Members { live: live.clone(), local: live, role: ShardRole::Owner });
        bench.say(ShardMessage::Summary { count: 0, digest: 0 });
        bench
    }

    fn feed(&mut self, event: ShardEvent) -> Vec<ShardAction> {
        let actions = self.ledger.handle(self.clock.now(), event);
        assert!(self.ledger.is_consistent(), "slots equal the claims");
        actions
    }

    fn say(&mut self, message: ShardMessage) -> Vec<ShardAction> {
        self.feed(ShardEvent::Message(entry(), message))
    }

    /// Places one call.
    fn place(&mut self) -> GrantMessage {
        self.ask(&[]).expect("there is room")
    }

    /// Asks for a worker for a call that was failed by some already.
    fn ask(&mut self, avoid: &[&str]) -> Option<GrantMessage> {
        self.sequence += 1;
        let request = RequestId { entry: entry(), sequence: self.sequence };
        let ask = AdmissionRequest {
            account: account(),
            expected_output: Tokens(0),
            fail_fast: false,
            attempt: AttemptId { request, attempt: 1 },
            avoid: avoid.iter().map(|name| name.parse().expect("a name")).collect(),
            fingerprint: Fingerprint::of(&[&self.sequence.to_le_bytes()]),
            first_token_within: MILLI * 300,
            max_output: Tokens(0),
            prefilled: false,
            prefix: Vec::new(),
            prompt: Tokens(0),
            resuming: !avoid.is_empty(),
            returning: false,
            suspect: false,
            waited: Duration::ZERO,
        };
        let actions = self.say(ShardMessage::RequestAdmission(ask));
        actions.into_iter().find_map(|action| match action {
            ShardAction::Send(_, ShardMessage::Grant(grant)) => Some(grant),
            _ => None,
        })
    }

    /// Places `count` calls one after another, 10 ms each, that end as `outcome` says for their worker;
    /// returns how many each worker got.
    fn call(
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
            self.say(ShardMessage::Release(claim.attempt, outcome));
        }
        counts
    }
}

fn template() -> ServiceTemplate {
    let upstream = |name: &str, domain: &str| {
        upstream(name, &domain.parse().expect("a name"), UpstreamRole::Plain, 6)
    };
    let upstreams =
        vec![upstream("w-a", "tyrol-a"), upstream("w-b", "tyrol-b"), upstream("w-c", "tyrol-c")];
    ServiceTemplate {
        inter_token_target: Duration::ZERO,
        eviction: Duration::ZERO,
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

/// A worker that fails everything at once is always idle, and the nearest one too.
#[test]
fn worker_that_fails_everything_is_passed_over() {
    let mut bench = Bench::new();
    let counts = bench.call(100, failing_at("w-a"));
    assert!(counts["w-a"] <= 6, "{counts:?}");
}

#[test]
fn worker_that_works_again_gets_calls_again() {
    let mut bench = Bench::new();
    bench.call(20, failing_at("w-a"));
    bench.clock.advance(SECOND * 15);
    let counts = bench.call(20, |_| ReleaseOutcome::Finished);
    assert_eq!(counts.get("w-a"), Some(&20), "it is the nearest");
}

/// Some calls fail wherever they run; that makes no worker worse than another.
#[test]
fn failures_that_all_workers_have_move_nothing() {
    let mut bench = Bench::new();
    let counts = bench.call(20, |_| ReleaseOutcome::RunnerFailed);
    assert!(counts["w-a"] > 10, "{counts:?}");
}

/// A retry whose other workers all rest waits for one of them; the worker that failed it is free for
/// everybody else (cornice-fleet inc-6871: calls were refused with nothing running).
#[test]
fn retry_that_waits_for_resting_workers_holds_up_nobody() {
    let mut bench = Bench::new();
    let lost = |bench: &mut Bench, avoid: &[&str], runner: &str| {
        let claim = bench.ask(avoid).expect("there is room").claim;
        assert_eq!(claim.runner.as_str(), runner);
        bench.say(ShardMessage::Release(claim.attempt, ReleaseOutcome::RunnerLost));
    };
    lost(&mut bench, &["w-a", "w-c"], "w-b");
    lost(&mut bench, &["w-a", "w-b"], "w-c");
    // One request at a time tries a worker that rests, where no other is left.
    assert!(bench.ask(&["w-a"]).is_some());
    assert!(bench.ask(&["w-a"]).is_some());
    assert_eq!(bench.ask(&["w-a"]), None, "both of its workers rest and are being tried");
    assert_eq!(bench.place().claim.runner.as_str(), "w-a");
}
