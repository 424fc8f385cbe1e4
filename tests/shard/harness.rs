//! Test harness: the ledger of a small shard, driven by events.

use apricotrun::coordination::messages::{
    AdmissionRequest, ClaimPhase, GrantMessage, ShardMessage, SlotClaim,
};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::prelude::*;
use apricotrun::state::clock::ManualClock;
use apricotrun::state::fleet::AccountQuota;
use standins::fixtures::{template, upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const SECOND: Duration = Duration::from_secs(1);
pub const MILLI: Duration = Duration::from_millis(1);

pub fn daemon(name: &str) -> DaemonId {
    format!("{name}.1").parse().expect("valid id")
}

pub fn attempt(entry: &str, sequence: u64) -> AttemptId {
    AttemptId { request: RequestId { entry: daemon(entry), sequence }, attempt: 1 }
}

pub fn account(name: &str) -> AccountName {
    name.parse().expect("valid name")
}

/// A ledger with one prefill worker of two slots and two decode workers of two slots each.
pub struct ShardHarness {
    pub clock: ManualClock,
    pub ledger: ShardLedger,
}

impl ShardHarness {
    pub fn new() -> Self {
        let mut harness = Self {
            clock: ManualClock::default(),
            ledger: ShardLedger::new("tyrol-a".parse().expect("valid name")),
        };
        harness.configure(|_| {});
        harness
    }

    /// Returns the ledger of an owner whose entry daemons have all reported.
    pub fn owner(entries: &[&str]) -> Self {
        let mut harness = Self::new();
        harness.set_members(entries, ShardRole::Owner);
        for entry in entries {
            harness.deliver(entry, ShardMessage::Summary { count: 0, digest: 0 });
        }
        harness
    }

    pub fn configure(&mut self, change: impl FnOnce(&mut ServiceTemplate)) -> Vec<ShardAction> {
        let domain = "tyrol-a".parse().expect("valid name");
        let upstream = |name: &str, role| UpstreamSpec {
            kv_blocks: Some(KvBlocks(4)),
            ..upstream(name, &domain, role, 2)
        };
        let upstreams = vec![
            upstream("p0", UpstreamRole::Prefill),
            upstream("d0", UpstreamRole::Decode),
            upstream("d1", UpstreamRole::Decode),
        ];
        let mut template = template("llm", upstreams);
        change(&mut template);
        let quota = AccountQuota { ceiling: 1.0, max_waiting: 50, share: 0.5 };
        let quotas = BTreeMap::from([(account("desk"), quota), (account("field"), quota)]);
        self.handle_event(ShardEvent::Configure(Arc::new(template), quotas))
    }

    pub fn handle_event(&mut self, event: ShardEvent) -> Vec<ShardAction> {
        let actions = self.ledger.handle(self.clock.now(), event);
        assert!(self.ledger.is_consistent(), "slots and KV-cache blocks differ from the claims");
        actions
    }

    pub fn set_members(&mut self, entries: &[&str], role: ShardRole) -> Vec<ShardAction> {
        let live: BTreeSet<_> = entries.iter().map(|entry| daemon(entry)).collect();
        self.handle_event(ShardEvent::Members { live: live.clone(), local: live, role })
    }

    pub fn deliver(&mut self, from: &str, message: ShardMessage) -> Vec<ShardAction> {
        self.handle_event(ShardEvent::Message(daemon(from), message))
    }

    pub fn request_admission(&mut self, entry: &str, sequence: u64) -> Vec<ShardAction> {
        self.deliver(
            entry,
            ShardMessage::RequestAdmission(admission_request(entry, sequence, "desk")),
        )
    }

    pub fn advance(&mut self, time: Duration) -> Vec<ShardAction> {
        self.clock.advance(time);
        self.handle_event(ShardEvent::Tick)
    }

    /// Advances a granted attempt from the prefill to the run phase, which frees its prefill slot.
    pub fn start_run(&mut self, grant: &GrantMessage) -> Vec<ShardAction> {
        let claim = SlotClaim { phase: ClaimPhase::Run, ..grant.claim.clone() };
        let entry = claim.attempt.request.entry.host.to_string();
        self.deliver(&entry, ShardMessage::Claim(claim))
    }

    /// Fills all four decode slots and returns the grants.
    pub fn fill_decode_slots(&mut self, entry: &str) -> Vec<GrantMessage> {
        let grants = (1..=4).map(|sequence| {
            let grant = granted(&self.request_admission(entry, sequence)).remove(0);
            self.start_run(&grant);
            grant
        });
        grants.collect()
    }
}

pub fn admission_request(entry: &str, sequence: u64, name: &str) -> AdmissionRequest {
    AdmissionRequest {
        account: account(name),
        fail_fast: false,
        fingerprint: Fingerprint::of(&[&sequence.to_le_bytes()]),
        max_output: Tokens(u32::MAX),
        expected_output: Tokens(100),
        attempt: attempt(entry, sequence),
        avoid: Vec::new(),
        first_token_within: SECOND * 2,
        prefilled: false,
        prefix: Vec::new(),
        prompt: Tokens(1_000),
        resuming: false,
        returning: false,
        suspect: false,
        software: None,
        urgency: UrgencyRank::default(),
        waited: Duration::ZERO,
    }
}

pub fn run_claim(entry: &str) -> SlotClaim {
    SlotClaim {
        account: account("desk"),
        attempt: attempt(entry, 1),
        growth: KvBlocks(0),
        phase: ClaimPhase::Run,
        kv_blocks: KvBlocks(1),
        prefill: None,
        runner: "d0".parse().expect("valid name"),
        suspect: false,
    }
}

pub fn granted(actions: &[ShardAction]) -> Vec<GrantMessage> {
    let grant = |action: &ShardAction| match action {
        ShardAction::Send(_, ShardMessage::Grant(grant)) => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

pub fn refused(actions: &[ShardAction]) -> Vec<Refusal> {
    let refusal = |action: &ShardAction| match action {
        ShardAction::Send(_, ShardMessage::Refuse(_, refusal)) => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

pub fn cancelled(actions: &[ShardAction]) -> BTreeSet<String> {
    let cancel = |action: &ShardAction| match action {
        ShardAction::Cancel(spec, attempt) => Some(format!("{} {attempt}", spec.name)),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}
