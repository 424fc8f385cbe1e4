//! Entries, owners, engines and the links between them, driven step by step.

mod engines;

use crate::Op;
use apricotrun::coordination::claims::ClaimSet;
use apricotrun::coordination::flow::{
    FlowAction, FlowEvent, RequestFlow, RequestSpec, UnlimitedRetries,
};
use apricotrun::coordination::messages::{ReleaseOutcome, ShardMessage};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::prelude::*;
use apricotrun::state::fleet::AccountQuota;
use standins::fixtures::upstream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

pub(crate) const DECODERS: usize = 2;
pub(crate) const ENTRIES: usize = 3;
pub(crate) const OWNERS: usize = 2;
const STEP: Duration = Duration::from_millis(100);
const ANSWER: u32 = 3;

/// What an engine runs.
struct EngineRun {
    from: u32,
    prefill: bool,
    sent: u32,
}

struct SearchRequest {
    emitted: u32,
    ended: bool,
    flow: RequestFlow,
    retryable: bool,
    started_runs: u32,
    touched: bool,
}

/// A cancel that an entry or an owner has still to carry out.
enum PendingCancel {
    Entry(AttemptId),
    Owner { owner: usize, upstream: UpstreamName, attempt: AttemptId },
}

pub(crate) struct World {
    alive: [bool; ENTRIES],
    books: [ClaimSet; ENTRIES],
    cancelled: BTreeSet<AttemptId>,
    cancels: VecDeque<PendingCancel>,
    /// Which decode workers each owner knows to be leaving.
    leaving: [[bool; DECODERS]; OWNERS],
    ledgers: [ShardLedger; OWNERS],
    /// Messages by link, in order: from an entry to an owner, and back.
    links: BTreeMap<(bool, usize, usize), VecDeque<ShardMessage>>,
    now: Instant,
    requests: BTreeMap<RequestId, SearchRequest>,
    roles: [ShardRole; OWNERS],
    runs: BTreeMap<AttemptId, EngineRun>,
    sequence: u64,
    tick: u32,
}

fn entry_id(entry: usize) -> DaemonId {
    format!("e{entry}.1").parse().expect("an id")
}

fn domain() -> DomainName {
    "tyrol-a".parse().expect("a name")
}

fn template(leaving: [bool; DECODERS]) -> ServiceTemplate {
    let spec = |index: u16, role, draining| UpstreamSpec {
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        draining,
        kv_blocks: Some(KvBlocks(2)),
        ..upstream(&format!("w{index}"), &domain(), role, 2)
    };
    let upstreams = vec![
        spec(1, UpstreamRole::Prefill, false),
        spec(2, UpstreamRole::Decode, leaving[0]),
        spec(3, UpstreamRole::Decode, leaving[1]),
    ];
    ServiceTemplate {
        deadline: Duration::from_secs(20),
        ..standins::fixtures::template("llm", upstreams)
    }
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            alive: [true; ENTRIES],
            books: Default::default(),
            cancelled: BTreeSet::new(),
            cancels: VecDeque::new(),
            leaving: Default::default(),
            ledgers: std::array::from_fn(|_| ShardLedger::new(domain())),
            links: BTreeMap::new(),
            now: Instant::now(),
            requests: BTreeMap::new(),
            roles: [ShardRole::Owner, ShardRole::Backup],
            runs: BTreeMap::new(),
            sequence: 0,
            tick: 0,
        };
        (0..OWNERS).for_each(|owner| world.configure(owner));
        world.tell_members();
        world
    }

    fn configure(&mut self, owner: usize) {
        let grant = AccountQuota { ceiling: 1.0, max_waiting: 20, share: 1.0 };
        let grants = BTreeMap::from([("desk".parse().expect("a name"), grant)]);
        let template = Arc::new(template(self.leaving[owner]));
        self.feed_ledger(owner, ShardEvent::Configure(template, grants));
    }

    fn leave(&mut self, owner: usize, worker: usize) {
        let leaving = &mut self.leaving[owner][worker];
        *leaving = !*leaving;
        self.configure(owner);
    }

    pub(crate) fn step(&mut self, op: &Op) {
        match op {
            Op::Request { entry, retryable } => self.request(*entry, *retryable),
            Op::Deliver(pick) => self.deliver(*pick),
            Op::BreakLink(pick) => {
                if let Some(link) = self.pick_link(*pick) {
                    self.links.remove(&link);
                }
            }
            Op::Prefilled(pick) => self.prefilled(*pick),
            Op::Token(pick) => self.token(*pick, false),
            Op::TokenTwice(pick) => {
                self.token(*pick, false);
                self.token(*pick, true);
            }
            Op::ForeignToken(pick) => {
                if let Some(attempt) = self.pick_run(*pick, false) {
                    let (index, text) = (self.runs[&attempt].sent, String::new());
                    let request_id = "another.1.1.1".to_owned();
                    let token =
                        FlowEvent::Token { attempt: attempt.clone(), index, request_id, text };
                    self.feed_flow(&attempt.request, token);
                }
            }
            Op::End(pick) => self.end(*pick),
            Op::LoseRun(pick, loss) => self.lose_run(*pick, *loss),
            Op::Cancel(pick) => self.cancel(*pick),
            Op::LeaveCaller(pick) => {
                let ids: Vec<_> = self.requests.keys().cloned().collect();
                if let Some(id) = ids.get(*pick % ids.len().max(1)) {
                    self.feed_flow(id, FlowEvent::CallerDisconnected);
                }
            }
            Op::Pass => self.pass(),
            Op::KillEntry(entry) => self.kill_entry(*entry),
            Op::Leave { owner, worker } => self.leave(*owner, *worker),
            Op::Owners(choice) => {
                use ShardRole::{Backup, Owner};
                self.roles =
                    [[Owner, Backup], [Backup, Owner], [Owner, Owner]][usize::from(*choice)];
                self.tell_members();
            }
        }
        self.check();
    }

    fn check(&self) {
        for ledger in &self.ledgers {
            assert!(ledger.is_consistent(), "slots and memory equal the claims");
        }
        for (id, request) in &self.requests {
            let once = request.retryable || request.started_runs <= 1;
            assert!(once, "{id} may not be repeated and ran {} times", request.started_runs);
        }
    }

    fn request(&mut self, entry: usize, retryable: bool) {
        if !self.alive[entry] {
            return;
        }
        self.sequence += 1;
        let id = RequestId { entry: entry_id(entry), sequence: self.sequence };
        let spec = RequestSpec {
            account: "desk".parse().expect("a name"),
            expected_output: Tokens(ANSWER),
            inter_token_target: Duration::from_millis(30),
            crash_weight: 0,
            deadline: self.now + Duration::from_secs(20),
            domains: vec![domain()],
            first_index: 0,
            eviction: Duration::from_millis(800),
            fingerprint: Fingerprint::of(&[&self.sequence.to_le_bytes()]),
            first_token_due: self.now + Duration::from_secs(2),
            id: id.clone(),
            transfer_time: Duration::from_millis(10),
            prefill_time: Duration::from_millis(100),
            prefix: Vec::new(),
            prompt: Tokens(1_000),
            max_output: Tokens(ANSWER),
            outlives_caller: !retryable,
            retryable,
            progress_period: None,
            retries: Arc::new(UnlimitedRetries),
            returning: false,
            run_limit: u32::MAX,
            stall_limit: None,
            tokens_per_index: 1,
        };
        let request = SearchRequest {
            emitted: 0,
            ended: false,
            flow: RequestFlow::new(self.now, spec),
            retryable,
            started_runs: 0,
            touched: false,
        };
        self.requests.insert(id.clone(), request);
        self.feed_flow(&id, FlowEvent::Start);
    }

    fn feed_flow(&mut self, id: &RequestId, event: FlowEvent) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        for action in request.flow.handle(now, event) {
            self.carry_out(id, action);
        }
    }

    fn carry_out(&mut self, id: &RequestId, action: FlowAction) {
        let entry = self.entry_of(id);
        match action {
            FlowAction::Progress(..) => {}
            FlowAction::Send(_, message) => {
                let owner = usize::from(self.roles[0] != ShardRole::Owner);
                self.send(true, entry, owner, message);
            }
            FlowAction::Claim(_, claim) => {
                let message = self.books[entry].insert(claim);
                self.send_holders(entry, &message);
            }
            FlowAction::Advance(_, attempt, phase) => {
                if let Some(message) = self.books[entry].advance(&attempt, phase) {
                    self.send_holders(entry, &message);
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
                assert_eq!(text, format!("{id}/{}", request.emitted), "in order, of this request");
                request.emitted += 1;
            }
            FlowAction::Finish => {
                let request = self.requests.get_mut(id).expect("the request");
                assert!(!std::mem::replace(&mut request.ended, true), "{id} ended twice");
                assert_eq!(request.emitted, ANSWER, "{id} got a whole answer");
            }
            FlowAction::Refuse(refusal) => {
                let request = self.requests.get_mut(id).expect("the request");
                assert!(!std::mem::replace(&mut request.ended, true), "{id} ended twice");
                let honest = refusal.verdict != Verdict::NotRun || !request.touched;
                assert!(honest, "{id} ran and is said not to have run");
            }
            FlowAction::OpenResponse
            | FlowAction::AttemptFailed { .. }
            | FlowAction::ReportCrash(_)
            | FlowAction::Dropped => {}
        }
    }

    fn release(&mut self, entry: usize, attempt: AttemptId, outcome: ReleaseOutcome) {
        self.books[entry].remove(&attempt);
        self.send_holders(entry, &ShardMessage::Release(attempt, outcome));
    }

    fn send(&mut self, to_owner: bool, entry: usize, owner: usize, message: ShardMessage) {
        self.links.entry((to_owner, entry, owner)).or_default().push_back(message);
    }

    fn send_holders(&mut self, entry: usize, message: &ShardMessage) {
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
            return self.feed_ledger(owner, ShardEvent::Message(from, message));
        }
        if self.alive[entry] {
            self.hear(entry, owner, message);
        }
    }

    fn hear(&mut self, entry: usize, owner: usize, message: ShardMessage) {
        let attempt = match &message {
            ShardMessage::Grant(grant) => grant.claim.attempt.clone(),
            ShardMessage::Queued(attempt) | ShardMessage::Refuse(attempt, _) => attempt.clone(),
            ShardMessage::Pull => {
                let list = self.books[entry].list();
                return self.send(true, entry, owner, list);
            }
            _ => return,
        };
        self.feed_flow(&attempt.request, FlowEvent::OwnerMessage(domain(), message));
    }

    fn feed_ledger(&mut self, owner: usize, event: ShardEvent) {
        let held: BTreeSet<_> =
            self.ledgers[owner].claims().map(|claim| claim.attempt.clone()).collect();
        for action in self.ledgers[owner].handle(self.now, event) {
            match action {
                ShardAction::Send(to, message) => {
                    self.check_grant(owner, &held, &message);
                    let entry = (0..ENTRIES).find(|entry| entry_id(*entry) == to);
                    self.send(false, entry.expect("an entry"), owner, message);
                }
                ShardAction::Cancel(spec, attempt) => {
                    let upstream = spec.name;
                    self.cancels.push_back(PendingCancel::Owner { owner, upstream, attempt });
                }
            }
        }
    }

    /// An owner grants no worker that it knows to be leaving; an earlier grant may be said again.
    fn check_grant(&self, owner: usize, held: &BTreeSet<AttemptId>, message: &ShardMessage) {
        let ShardMessage::Grant(grant) = message else { return };
        let runner = grant.claim.runner.as_str();
        let leaves = self.leaving[owner][usize::from(runner == "w3")];
        let fresh = !held.contains(&grant.claim.attempt);
        assert!(!fresh || !leaves, "{runner} is leaving and was granted");
    }

    fn tell_members(&mut self) {
        let live: BTreeSet<_> =
            (0..ENTRIES).filter(|entry| self.alive[*entry]).map(entry_id).collect();
        for owner in 0..OWNERS {
            let role = self.roles[owner];
            let event = ShardEvent::Members { live: live.clone(), local: live.clone(), role };
            self.feed_ledger(owner, event);
        }
    }

    fn pass(&mut self) {
        self.now += STEP;
        self.tick += 1;
        let ids: Vec<_> = self.requests.keys().cloned().collect();
        ids.iter().for_each(|id| self.feed_flow(id, FlowEvent::Tick));
        if self.tick.is_multiple_of(10) {
            for entry in (0..ENTRIES).filter(|entry| self.alive[*entry]).collect::<Vec<_>>() {
                let summary = self.books[entry].summary();
                self.send_holders(entry, &summary);
            }
        }
        (0..OWNERS).for_each(|owner| self.feed_ledger(owner, ShardEvent::Tick));
    }

    fn kill_entry(&mut self, entry: usize) {
        // One entry stays, so that the search goes on.
        if entry == 0 || !self.alive[entry] {
            return;
        }
        self.alive[entry] = false;
        self.books[entry] = ClaimSet::default();
        self.requests.retain(|id, _| id.entry != entry_id(entry));
        for to_owner in [true, false] {
            for owner in 0..OWNERS {
                self.links.remove(&(to_owner, entry, owner));
            }
        }
        self.tell_members();
    }

    fn entry_of(&self, id: &RequestId) -> usize {
        (0..ENTRIES).find(|entry| entry_id(*entry) == id.entry).expect("an entry")
    }

    /// Ends all failures, lets every caller go, and expects that nothing stays held.
    pub(crate) fn settle(&mut self) {
        self.roles = [ShardRole::Owner, ShardRole::Backup];
        self.leaving = Default::default();
        (0..OWNERS).for_each(|owner| self.configure(owner));
        self.tell_members();
        let ids: Vec<_> = self.requests.keys().cloned().collect();
        ids.iter().for_each(|id| self.feed_flow(id, FlowEvent::CallerDisconnected));
        for _ in 0..80 {
            self.pass();
            while self.pick_link(0).is_some() {
                self.deliver(0);
            }
            while !self.cancels.is_empty() {
                self.cancel(0);
            }
            self.check();
        }
        // What may not be repeated outlives its caller, until its end or deadline.
        for _ in 0..ANSWER + 1 {
            (0..64).for_each(|pick| self.prefilled(pick));
            (0..64).for_each(|pick| self.token(pick, false));
            (0..64).for_each(|pick| self.end(pick));
        }
        for _ in 0..250 {
            self.pass();
            while self.pick_link(0).is_some() {
                self.deliver(0);
            }
            while !self.cancels.is_empty() {
                self.cancel(0);
            }
        }
        assert!(self.runs.is_empty(), "engines still run {:?}", self.runs.keys());
        let held: Vec<_> = self.ledgers[0].claims().collect();
        assert!(held.is_empty(), "the owner still counts {held:?}");
    }
}
