//! Simulation of entry daemons, shard owners, engines and the links between them.

mod engines;

use crate::Operation;
use apricotrun::coordination::claims::ClaimSet;
use apricotrun::coordination::crashing_parts::CrashVerdict;
use apricotrun::coordination::flow::{
    DisconnectPolicy, FlowAction, FlowEvent, RequestFlow, RequestSpec, UnlimitedRetries,
};
use apricotrun::coordination::messages::{ReleaseOutcome, ShardMessage};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::coordination::stops::WorkForecast;
use apricotrun::prelude::*;
use apricotrun::state::fleet::AccountQuota;
use standins::fixtures::upstream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

pub(crate) const DECODE_WORKERS: usize = 2;
pub(crate) const ENTRIES: usize = 3;
pub(crate) const OWNERS: usize = 2;
const TICK_PERIOD: Duration = Duration::from_millis(100);
const OUTPUT_TOKENS: u32 = 3;

/// A prefill or run at an engine. A run has sent the tokens from index `from` to before `sent`.
struct EngineRun {
    from: u32,
    prefill: bool,
    sent: u32,
}

/// A request and what its caller and the engines have seen of it.
struct SimulatedRequest {
    emitted: u32,
    ended: bool,
    flow: RequestFlow,
    retryable: bool,
    started_runs: u32,
    may_have_run: bool,
}

/// A cancellation that an entry daemon or an owner has yet to execute.
enum PendingCancel {
    Entry(AttemptId),
    Owner { owner: usize, upstream: UpstreamName, attempt: AttemptId },
}

pub(crate) struct Simulation {
    alive: [bool; ENTRIES],
    claims: [ClaimSet; ENTRIES],
    cancelled: BTreeSet<AttemptId>,
    cancels: VecDeque<PendingCancel>,
    /// Which decode workers each owner sees as draining.
    draining: [[bool; DECODE_WORKERS]; OWNERS],
    ledgers: [ShardLedger; OWNERS],
    /// Queued messages by link: whether it leads to the owner, the entry daemon and the owner.
    links: BTreeMap<(bool, usize, usize), VecDeque<ShardMessage>>,
    now: Instant,
    requests: BTreeMap<RequestId, SimulatedRequest>,
    roles: [ShardRole; OWNERS],
    runs: BTreeMap<AttemptId, EngineRun>,
    sequence: u64,
    tick: u32,
}

fn entry_id(entry: usize) -> DaemonId {
    format!("e{entry}.1").parse().expect("valid id")
}

fn domain() -> DomainName {
    "tyrol-a".parse().expect("valid name")
}

fn template(draining: [bool; DECODE_WORKERS]) -> ServiceTemplate {
    let spec = |index: u16, role, draining| UpstreamSpec {
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        draining,
        kv_blocks: Some(KvBlocks(2)),
        ..upstream(&format!("w{index}"), &domain(), role, 2)
    };
    let upstreams = vec![
        spec(1, UpstreamRole::Prefill, false),
        spec(2, UpstreamRole::Decode, draining[0]),
        spec(3, UpstreamRole::Decode, draining[1]),
    ];
    ServiceTemplate {
        deadline: Duration::from_secs(20),
        ..standins::fixtures::template("llm", upstreams)
    }
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let mut simulation = Self {
            alive: [true; ENTRIES],
            claims: Default::default(),
            cancelled: BTreeSet::new(),
            cancels: VecDeque::new(),
            draining: Default::default(),
            ledgers: std::array::from_fn(|_| ShardLedger::new(domain())),
            links: BTreeMap::new(),
            now: Instant::now(),
            requests: BTreeMap::new(),
            roles: [ShardRole::Owner, ShardRole::Backup],
            runs: BTreeMap::new(),
            sequence: 0,
            tick: 0,
        };
        (0..OWNERS).for_each(|owner| simulation.configure(owner));
        simulation.update_members();
        simulation
    }

    fn configure(&mut self, owner: usize) {
        let quota = AccountQuota { ceiling: 1.0, max_waiting: 20, share: 1.0 };
        let quotas = BTreeMap::from([("desk".parse().expect("valid name"), quota)]);
        let template = Arc::new(template(self.draining[owner]));
        self.handle_shard_event(owner, ShardEvent::Configure(template, quotas));
    }

    fn toggle_draining(&mut self, owner: usize, worker: usize) {
        let draining = &mut self.draining[owner][worker];
        *draining = !*draining;
        self.configure(owner);
    }

    pub(crate) fn step(&mut self, operation: &Operation) {
        match operation {
            Operation::Request { entry, retryable } => self.start_request(*entry, *retryable),
            Operation::Deliver(pick) => self.deliver(*pick),
            Operation::BreakLink(pick) => {
                if let Some(link) = self.pick_link(*pick) {
                    self.links.remove(&link);
                }
            }
            Operation::Prefilled(pick) => self.finish_prefill(*pick),
            Operation::Token(pick) => self.send_token(*pick, false),
            Operation::DuplicateToken(pick) => {
                self.send_token(*pick, false);
                self.send_token(*pick, true);
            }
            Operation::ForeignToken(pick) => {
                if let Some(attempt) = self.pick_run(*pick, false) {
                    let (index, text) = (self.runs[&attempt].sent, String::new());
                    let request_id = "another.1.1.1".to_owned();
                    let token =
                        FlowEvent::Token { attempt: attempt.clone(), index, request_id, text };
                    self.handle_flow_event(&attempt.request, token);
                }
            }
            Operation::End(pick) => self.end_run(*pick),
            Operation::FailRun(pick, failure) => self.fail_run(*pick, *failure),
            Operation::Cancel(pick) => self.cancel(*pick),
            Operation::DisconnectCaller(pick) => {
                let ids: Vec<_> = self.requests.keys().cloned().collect();
                if let Some(id) = ids.get(*pick % ids.len().max(1)) {
                    self.handle_flow_event(id, FlowEvent::CallerDisconnected { is_sent: true });
                }
            }
            Operation::AdvanceTime => self.advance_time(),
            Operation::KillEntry(entry) => self.kill_entry(*entry),
            Operation::ToggleDraining { owner, worker } => self.toggle_draining(*owner, *worker),
            Operation::AssignRoles(choice) => {
                use ShardRole::{Backup, Owner};
                self.roles =
                    [[Owner, Backup], [Backup, Owner], [Owner, Owner]][usize::from(*choice)];
                self.update_members();
            }
        }
        self.check();
    }

    fn check(&self) {
        for ledger in &self.ledgers {
            assert!(ledger.is_consistent(), "slots and KV-cache blocks differ from the claims");
        }
        for (id, request) in &self.requests {
            let once = request.retryable || request.started_runs <= 1;
            assert!(once, "{id} is not retryable and ran {} times", request.started_runs);
        }
    }

    fn start_request(&mut self, entry: usize, retryable: bool) {
        if !self.alive[entry] {
            return;
        }
        self.sequence += 1;
        let id = RequestId { entry: entry_id(entry), sequence: self.sequence };
        let spec = RequestSpec {
            account: "desk".parse().expect("valid name"),
            avoid: Vec::new(),
            expected_output: Tokens(OUTPUT_TOKENS),
            inter_token_target: Duration::from_millis(30),
            crash_weight: 0,
            deadline: self.now + Duration::from_secs(20),
            domains: vec![domain()],
            first_index: 0,
            prefill_retention: Duration::from_millis(800),
            fingerprint: Fingerprint::of(&[&self.sequence.to_le_bytes()]),
            first_token_due: self.now + Duration::from_secs(2),
            id: id.clone(),
            transfer_time: Duration::from_millis(10),
            prefill_time: Duration::from_millis(100),
            crash_verdict: CrashVerdict::Sound,
            parts: Vec::new(),
            prefix: Vec::new(),
            prompt: Tokens(1_000),
            max_output: Tokens(OUTPUT_TOKENS),
            origin_lifetime: None,
            after_disconnect: if retryable {
                DisconnectPolicy::Cancel
            } else {
                DisconnectPolicy::GoOn
            },
            retryable,
            progress_period: None,
            retries: Arc::new(UnlimitedRetries),
            returning: false,
            max_runs: u32::MAX,
            software: None,
            stall_limit: None,
            urgency: UrgencyRank::default(),
            tokens_per_index: 1,
            work: WorkForecast::default(),
        };
        let request = SimulatedRequest {
            emitted: 0,
            ended: false,
            flow: RequestFlow::new(self.now, spec),
            retryable,
            started_runs: 0,
            may_have_run: false,
        };
        self.requests.insert(id.clone(), request);
        self.handle_flow_event(&id, FlowEvent::Start);
    }

    fn handle_flow_event(&mut self, id: &RequestId, event: FlowEvent) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        for action in request.flow.handle(now, event) {
            self.execute(id, action);
        }
    }

    fn execute(&mut self, id: &RequestId, action: FlowAction) {
        let entry = self.entry_of(id);
        match action {
            FlowAction::Progress(..) => {}
            FlowAction::Send(_, message) => {
                let owner = usize::from(self.roles[0] != ShardRole::Owner);
                self.send(true, entry, owner, message);
            }
            FlowAction::Claim(_, claim) => {
                let message = self.claims[entry].insert(claim);
                self.send_to_replicas(entry, &message);
            }
            FlowAction::Advance(_, attempt, phase) => {
                if let Some(message) = self.claims[entry].advance(&attempt, phase) {
                    self.send_to_replicas(entry, &message);
                }
            }
            FlowAction::Release(_, attempt, outcome) => self.release(entry, attempt, outcome),
            FlowAction::Abort { attempt, outcome: ReleaseOutcome::Cancelled, .. } => {
                self.cancels.push_back(PendingCancel::Entry(attempt));
            }
            FlowAction::Abort { attempt, outcome, .. } => self.release(entry, attempt, outcome),
            FlowAction::StartPrefill(attempt, _) => self.start_run(attempt, 0, true),
            FlowAction::StartRun { attempt, from, .. } => self.start_run(attempt, from, false),
            FlowAction::Emit(text) => {
                let request = self.requests.get_mut(id).expect("the request");
                assert!(!request.ended, "{id} got a token after its end");
                assert_eq!(
                    text,
                    format!("{id}/{}", request.emitted),
                    "{id} got a token out of order or of another request"
                );
                request.emitted += 1;
            }
            FlowAction::Finish => {
                let request = self.requests.get_mut(id).expect("the request");
                assert!(!std::mem::replace(&mut request.ended, true), "{id} ended twice");
                assert_eq!(
                    request.emitted, OUTPUT_TOKENS,
                    "{id} finished without a complete response"
                );
            }
            FlowAction::Refuse(refusal) => {
                let request = self.requests.get_mut(id).expect("the request");
                assert!(!std::mem::replace(&mut request.ended, true), "{id} ended twice");
                let truthful = refusal.verdict != Verdict::NotRun || !request.may_have_run;
                assert!(truthful, "{id} ran, and its verdict is not-run");
            }
            FlowAction::OpenResponse
            | FlowAction::AttemptFailed { .. }
            | FlowAction::UpstreamSilent { .. }
            | FlowAction::ReportCrash(_)
            | FlowAction::ReportOutput { .. }
            | FlowAction::Dropped => {}
        }
    }

    fn release(&mut self, entry: usize, attempt: AttemptId, outcome: ReleaseOutcome) {
        self.claims[entry].remove(&attempt);
        self.send_to_replicas(entry, &ShardMessage::Release(attempt, outcome));
    }

    fn send(&mut self, to_owner: bool, entry: usize, owner: usize, message: ShardMessage) {
        self.links.entry((to_owner, entry, owner)).or_default().push_back(message);
    }

    fn send_to_replicas(&mut self, entry: usize, message: &ShardMessage) {
        for owner in 0..OWNERS {
            self.send(true, entry, owner, message.clone());
        }
    }

    fn pick_link(&self, pick: usize) -> Option<(bool, usize, usize)> {
        let open: Vec<_> = self.links.iter().filter(|(_, queue)| !queue.is_empty()).collect();
        open.get(pick % open.len().max(1)).map(|(link, _)| **link)
    }

    fn deliver(&mut self, pick: usize) {
        let Some(link) = self.pick_link(pick) else { return };
        let message = self.links.get_mut(&link).and_then(VecDeque::pop_front);
        let Some(message) = message else { return };
        let (to_owner, entry, owner) = link;
        if to_owner {
            let from = entry_id(entry);
            return self.handle_shard_event(owner, ShardEvent::Message(from, message));
        }
        if self.alive[entry] {
            self.receive(entry, owner, message);
        }
    }

    fn receive(&mut self, entry: usize, owner: usize, message: ShardMessage) {
        let attempt = match &message {
            ShardMessage::Grant(grant) => grant.claim.attempt.clone(),
            ShardMessage::Queued(attempt) | ShardMessage::Refuse(attempt, _) => attempt.clone(),
            ShardMessage::Pull => {
                let list = self.claims[entry].list();
                return self.send(true, entry, owner, list);
            }
            _ => return,
        };
        self.handle_flow_event(&attempt.request, FlowEvent::OwnerMessage(domain(), message));
    }

    fn handle_shard_event(&mut self, owner: usize, event: ShardEvent) {
        let held: BTreeSet<_> =
            self.ledgers[owner].claims().map(|claim| claim.attempt.clone()).collect();
        for action in self.ledgers[owner].handle(self.now, event) {
            match action {
                ShardAction::Send(to, message) => {
                    self.check_grant(owner, &held, &message);
                    let entry = (0..ENTRIES).find(|entry| entry_id(*entry) == to);
                    self.send(false, entry.expect("an entry"), owner, message);
                }
                // There is one failure domain.
                ShardAction::SendToOwner(..) => {}
                ShardAction::Cancel(spec, attempt) => {
                    let upstream = spec.name;
                    self.cancels.push_back(PendingCancel::Owner { owner, upstream, attempt });
                }
            }
        }
    }

    /// Checks that an owner grants no worker that it sees as draining. An earlier grant may be
    /// repeated.
    fn check_grant(&self, owner: usize, held: &BTreeSet<AttemptId>, message: &ShardMessage) {
        let ShardMessage::Grant(grant) = message else { return };
        let runner = grant.claim.runner.as_str();
        let is_draining = self.draining[owner][usize::from(runner == "w3")];
        let fresh = !held.contains(&grant.claim.attempt);
        assert!(!fresh || !is_draining, "{runner} is draining and was granted");
    }

    fn update_members(&mut self) {
        let live: BTreeSet<_> =
            (0..ENTRIES).filter(|entry| self.alive[*entry]).map(entry_id).collect();
        for owner in 0..OWNERS {
            let role = self.roles[owner];
            let event = ShardEvent::Members { live: live.clone(), local: live.clone(), role };
            self.handle_shard_event(owner, event);
        }
    }

    fn advance_time(&mut self) {
        self.now += TICK_PERIOD;
        self.tick += 1;
        let ids: Vec<_> = self.requests.keys().cloned().collect();
        ids.iter().for_each(|id| self.handle_flow_event(id, FlowEvent::Tick));
        if self.tick.is_multiple_of(10) {
            for entry in (0..ENTRIES).filter(|entry| self.alive[*entry]).collect::<Vec<_>>() {
                let summary = self.claims[entry].summary();
                self.send_to_replicas(entry, &summary);
            }
        }
        (0..OWNERS).for_each(|owner| self.handle_shard_event(owner, ShardEvent::Tick));
    }

    fn kill_entry(&mut self, entry: usize) {
        // Entry daemon 0 stays alive, so that later steps still have an effect.
        if entry == 0 || !self.alive[entry] {
            return;
        }
        self.alive[entry] = false;
        self.claims[entry] = ClaimSet::default();
        self.requests.retain(|id, _| id.entry != entry_id(entry));
        for to_owner in [true, false] {
            for owner in 0..OWNERS {
                self.links.remove(&(to_owner, entry, owner));
            }
        }
        self.update_members();
    }

    fn entry_of(&self, id: &RequestId) -> usize {
        (0..ENTRIES).find(|entry| entry_id(*entry) == id.entry).expect("an entry")
    }

    /// Ends all failures, disconnects every caller, and checks that no run and no claim is left.
    pub(crate) fn settle(&mut self) {
        self.roles = [ShardRole::Owner, ShardRole::Backup];
        self.draining = Default::default();
        (0..OWNERS).for_each(|owner| self.configure(owner));
        self.update_members();
        let ids: Vec<_> = self.requests.keys().cloned().collect();
        ids.iter().for_each(|id| {
            self.handle_flow_event(id, FlowEvent::CallerDisconnected { is_sent: true })
        });
        for _ in 0..80 {
            self.advance_time();
            while self.pick_link(0).is_some() {
                self.deliver(0);
            }
            while !self.cancels.is_empty() {
                self.cancel(0);
            }
            self.check();
        }
        // Requests that are not retryable outlive their callers, until their end or deadline.
        for _ in 0..OUTPUT_TOKENS + 1 {
            (0..64).for_each(|pick| self.finish_prefill(pick));
            (0..64).for_each(|pick| self.send_token(pick, false));
            (0..64).for_each(|pick| self.end_run(pick));
        }
        for _ in 0..250 {
            self.advance_time();
            while self.pick_link(0).is_some() {
                self.deliver(0);
            }
            while !self.cancels.is_empty() {
                self.cancel(0);
            }
        }
        assert!(self.runs.is_empty(), "engines still run {:?}", self.runs.keys());
        let held: Vec<_> = self.ledgers[0].claims().collect();
        assert!(held.is_empty(), "the owner still holds the claims {held:?}");
    }
}
