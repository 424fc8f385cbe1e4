//! Serves arrivals with the real shard ledger and request flows.

mod runs;

use crate::fixtures::upstream;
use crate::policy::engines::DecodeFake;
use crate::policy::mix::{
    ACCOUNTS, Arrival, DURATION, LOST, STALLED, Scenario, TrafficMix, arrivals,
};
use crate::policy::report::{PolicyReport, RequestRecord};
use crate::policy::timeline::Timeline;
use apricotrun::coordination::flow::{
    FlowAction, FlowEvent, RequestFlow, RequestSpec, UnlimitedRetries,
};
use apricotrun::coordination::messages::{ReleaseOutcome, ShardMessage};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::prelude::*;
use apricotrun::state::fleet::AccountQuota;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The time of a message between two hosts, in seconds.
const HOP: f64 = 0.000_5;
/// How often a run's tokens are passed on, in seconds.
const PROGRESS: f64 = 0.25;
/// The first port of the prefill workers' made-up addresses.
const PREFILL_PORT: u16 = 1_000;
/// The first port of the decode workers' made-up addresses.
const DECODE_PORT: u16 = 2_000;
/// How long the run goes on after the last arrival, in seconds.
const TAIL: f64 = 200.0;

enum WorldEvent {
    Arrive(Arrival),
    Return(u64),
    ToOwner(ShardMessage),
    ToFlow(u64, FlowEvent),
    FlowTick(u64),
    LedgerTick,
    Transferred { worker: usize, attempt: AttemptId, tokens: u32, from: u32 },
    Progress { worker: usize, id: u64 },
    RunEnd { worker: usize, version: u64 },
    Confirm(AttemptId, UpstreamName),
    Lose,
    Regain,
    Stall,
    Unstall,
}

struct ActiveRequest {
    attempt: Option<AttemptId>,
    /// When the prompt's computation ended.
    computed: f64,
    flow: RequestFlow,
    from: u32,
    prefilled: bool,
    record: usize,
    returning: bool,
    run: Option<usize>,
}

/// What a refused caller keeps for its return.
struct Comeback {
    record: usize,
}

struct World<'a> {
    base: Instant,
    comebacks: BTreeMap<u64, Comeback>,
    decode: Vec<DecodeFake>,
    entry: DaemonId,
    flows: BTreeMap<u64, ActiveRequest>,
    ledger: ShardLedger,
    ledger_wake: Option<f64>,
    mix: &'a TrafficMix,
    next_id: u64,
    prefilled: f64,
    records: Vec<RequestRecord>,
    scenario: &'a Scenario,
    timeline: Timeline<WorldEvent>,
    wasted: f64,
}

/// Serves a scenario.
pub fn run(mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    let mut world = World::new(mix, scenario);
    for arrival in arrivals(mix, scenario) {
        world.timeline.add(arrival.at, WorldEvent::Arrive(arrival));
    }
    if scenario.failures {
        world.timeline.add(LOST.start, WorldEvent::Lose);
        world.timeline.add(LOST.end, WorldEvent::Regain);
        world.timeline.add(STALLED.start, WorldEvent::Stall);
        world.timeline.add(STALLED.end, WorldEvent::Unstall);
    }
    while let Some((now, event)) = world.timeline.pop() {
        if now > DURATION + TAIL {
            break;
        }
        world.step(now, event);
    }
    PolicyReport::of(mix, &world.records, world.prefilled, world.wasted)
}

fn account_name(account: usize) -> AccountName {
    format!("account-{account}").parse().expect("a valid name")
}

fn domain() -> DomainName {
    "tyrol-a".parse().expect("a valid name")
}

fn template(mix: &TrafficMix) -> ServiceTemplate {
    let spec = |role, index: usize, port: u16, slots: usize, kv_blocks| UpstreamSpec {
        address: SocketAddr::from(([127, 0, 0, 1], port + index as u16)),
        kv_blocks,
        ..upstream(&format!("{port}-{index}"), &domain(), role, slots as u32)
    };
    let prefill =
        (0..mix.prefill_workers).map(|i| spec(UpstreamRole::Prefill, i, PREFILL_PORT, 1, None));
    let decode = (0..mix.decode_workers)
        .map(|i| spec(UpstreamRole::Decode, i, DECODE_PORT, mix.slots, Some(KvBlocks(mix.pieces))));
    ServiceTemplate {
        inter_token_target: Duration::from_secs_f64(mix.between_target),
        deadline: Duration::from_secs_f64(mix.deadline),
        prefill_retention: Duration::from_secs_f64(mix.eviction),
        first_token_target: Duration::from_secs_f64(mix.first_target),
        link_tokens_per_second: TokenRate(mix.link_rate),
        prefill_tokens_per_second: TokenRate(mix.prefill_rate),
        ..crate::fixtures::template("llm", prefill.chain(decode).collect())
    }
}

impl<'a> World<'a> {
    fn new(mix: &'a TrafficMix, scenario: &'a Scenario) -> Self {
        let entry: DaemonId = "entry.1".parse().expect("a valid id");
        let base = Instant::now();
        let mut ledger = ShardLedger::new(domain());
        let grant =
            AccountQuota { ceiling: 1.0, max_waiting: 100_000, share: 1.0 / ACCOUNTS as f64 };
        let grants = (0..ACCOUNTS).map(|account| (account_name(account), grant)).collect();
        ledger.handle(base, ShardEvent::Configure(Arc::new(template(mix)), grants));
        let live = BTreeSet::from([entry.clone()]);
        let members =
            ShardEvent::Members { live: live.clone(), local: live, role: ShardRole::Owner };
        ledger.handle(base, members);
        let empty = ShardMessage::Summary { count: 0, digest: 0 };
        ledger.handle(base, ShardEvent::Message(entry.clone(), empty));
        Self {
            base,
            comebacks: BTreeMap::new(),
            decode: vec![DecodeFake::default(); mix.decode_workers],
            entry,
            flows: BTreeMap::new(),
            ledger,
            ledger_wake: None,
            mix,
            next_id: 0,
            prefilled: 0.0,
            records: Vec::new(),
            scenario,
            timeline: Timeline::default(),
            wasted: 0.0,
        }
    }

    fn instant(&self, now: f64) -> Instant {
        self.base + Duration::from_secs_f64(now)
    }

    fn step(&mut self, now: f64, event: WorldEvent) {
        match event {
            WorldEvent::Arrive(arrival) => {
                self.records.push(RequestRecord::new(arrival));
                self.begin(now, self.records.len() - 1, false);
            }
            WorldEvent::Return(id) => {
                if let Some(comeback) = self.comebacks.remove(&id) {
                    self.begin(now, comeback.record, true);
                }
            }
            WorldEvent::ToOwner(message) => {
                let event = ShardEvent::Message(self.entry.clone(), message);
                self.feed_ledger(now, event);
            }
            WorldEvent::ToFlow(id, event) => self.feed_flow(now, id, event),
            WorldEvent::FlowTick(id) => self.feed_flow(now, id, FlowEvent::Tick),
            WorldEvent::LedgerTick => {
                self.ledger_wake = None;
                self.feed_ledger(now, ShardEvent::Tick);
            }
            WorldEvent::Transferred { worker, attempt, tokens, from } => {
                self.start_decoding(now, worker, &attempt, tokens, from);
            }
            WorldEvent::Progress { worker, id } => self.progress(now, worker, id),
            WorldEvent::RunEnd { worker, version } => self.end_run(now, worker, version),
            WorldEvent::Confirm(attempt, upstream) => {
                self.feed_ledger(now, ShardEvent::CancelConfirmed(attempt, upstream));
            }
            WorldEvent::Lose => self.lose_worker(now),
            WorldEvent::Regain => self.decode[0].down = false,
            WorldEvent::Stall => self.decode[1].stalled = true,
            WorldEvent::Unstall => self.decode[1].stalled = false,
        }
    }

    fn begin(&mut self, now: f64, record: usize, returning: bool) {
        self.next_id += 1;
        let id = self.next_id;
        let spec = self.spec(now, id, record, returning);
        let flow = RequestFlow::new(self.instant(now), spec);
        let request = ActiveRequest {
            attempt: None,
            computed: 0.0,
            flow,
            from: 0,
            prefilled: false,
            record,
            returning,
            run: None,
        };
        self.flows.insert(id, request);
        self.feed_flow(now, id, FlowEvent::Start);
    }

    fn spec(&self, now: f64, id: u64, record: usize, returning: bool) -> RequestSpec {
        let arrival = self.records[record].arrival;
        let at = |after: f64| self.instant(now + after);
        let seconds = |tokens: u32, rate: f64| Duration::from_secs_f64(f64::from(tokens) / rate);
        RequestSpec {
            account: account_name(arrival.account),
            expected_output: Tokens(arrival.answer),
            inter_token_target: Duration::from_secs_f64(self.mix.between_target),
            crash_weight: 0,
            deadline: at(self.mix.deadline),
            domains: vec![domain()],
            first_index: 0,
            prefill_retention: Duration::from_secs_f64(self.mix.eviction),
            fingerprint: Fingerprint::of(&[&id.to_le_bytes()]),
            first_token_due: at(self.mix.first_target),
            id: RequestId { entry: self.entry.clone(), sequence: id },
            transfer_time: seconds(arrival.prompt, self.mix.link_rate),
            prefill_time: seconds(arrival.prompt, self.mix.prefill_rate),
            prefix: Vec::new(),
            prompt: Tokens(arrival.prompt),
            max_output: Tokens(arrival.answer),
            outlives_caller: false,
            retryable: true,
            progress_period: None,
            retries: Arc::new(UnlimitedRetries),
            returning,
            max_runs: u32::MAX,
            stall_limit: None,
            tokens_per_index: 1,
        }
    }

    fn feed_ledger(&mut self, now: f64, event: ShardEvent) {
        let actions = self.ledger.handle(self.instant(now), event);
        for action in actions {
            match action {
                ShardAction::Send(_, message) => self.deliver(now, message),
                ShardAction::Cancel(spec, attempt) => self.cancel(now, &spec, attempt),
            }
        }
        let wake = self.ledger.next_wake();
        let wake = wake.map(|wake| wake.saturating_duration_since(self.base).as_secs_f64());
        if let Some(wake) = wake.filter(|wake| self.ledger_wake.is_none_or(|old| *wake < old)) {
            self.ledger_wake = Some(wake);
            self.timeline.add(wake.max(now), WorldEvent::LedgerTick);
        }
    }

    fn deliver(&mut self, now: f64, message: ShardMessage) {
        let attempt = match &message {
            ShardMessage::Grant(grant) => &grant.claim.attempt,
            ShardMessage::Queued(attempt) | ShardMessage::Refuse(attempt, _) => attempt,
            _ => return,
        };
        let id = attempt.request.sequence;
        let event = FlowEvent::OwnerMessage(domain(), message);
        self.timeline.add(now + HOP, WorldEvent::ToFlow(id, event));
    }

    fn cancel(&mut self, now: f64, spec: &UpstreamSpec, attempt: AttemptId) {
        if let Some(worker) = decode_index(spec.address) {
            if self.decode[worker].down {
                return;
            }
            self.decode[worker].stop(self.mix, now, attempt.request.sequence);
            self.predict(worker);
        }
        let confirm = WorldEvent::Confirm(attempt, spec.name.clone());
        self.timeline.add(now + 2.0 * HOP, confirm);
    }

    fn feed_flow(&mut self, now: f64, id: u64, event: FlowEvent) {
        let at = self.instant(now);
        let Some(request) = self.flows.get_mut(&id) else {
            if let FlowEvent::OwnerMessage(_, ShardMessage::Grant(grant)) = event {
                let attempt = grant.claim.attempt;
                let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
                self.timeline.add(now + HOP, WorldEvent::ToOwner(release));
            }
            return;
        };
        let actions = request.flow.handle(at, event);
        for action in actions {
            self.carry_out(now, id, action);
        }
        if let Some(request) = self.flows.get(&id)
            && let Some(wake) = request.flow.next_wake()
        {
            let wake = wake.saturating_duration_since(self.base).as_secs_f64();
            self.timeline.add(wake.max(now), WorldEvent::FlowTick(id));
        }
    }

    fn carry_out(&mut self, now: f64, id: u64, action: FlowAction) {
        match action {
            FlowAction::Send(_, message) => self.tell(now, message),
            FlowAction::Claim(_, claim) => {
                if let Some(request) = self.flows.get_mut(&id) {
                    request.attempt = Some(claim.attempt.clone());
                }
                self.tell(now, ShardMessage::Claim(claim));
            }
            FlowAction::Advance(_, attempt, phase) => self.advance(now, &attempt, phase),
            FlowAction::Progress(_, attempt, tokens) => {
                self.tell(now, ShardMessage::Progress(attempt, tokens));
            }
            FlowAction::Release(_, attempt, outcome) => {
                self.tell(now, ShardMessage::Release(attempt, outcome));
            }
            FlowAction::Abort { attempt, reuses_prefill, outcome, .. } => {
                self.abort(now, id, attempt, reuses_prefill, outcome);
            }
            FlowAction::StartPrefill(attempt, _) => self.start_prefill(now, id, attempt),
            FlowAction::StartRun { attempt, address, from, .. } => {
                self.start_transfer(now, id, attempt, address, from);
            }
            FlowAction::Finish => self.finish(now, id),
            FlowAction::Refuse(refusal) => self.refuse(now, id, &refusal),
            FlowAction::Emit(_) | FlowAction::OpenResponse | FlowAction::Dropped => {}
            FlowAction::AttemptFailed { .. } | FlowAction::ReportCrash(_) => {}
        }
    }

    fn tell(&mut self, now: f64, message: ShardMessage) {
        self.timeline.add(now + HOP, WorldEvent::ToOwner(message));
    }

    fn advance(
        &mut self,
        now: f64,
        attempt: &AttemptId,
        phase: apricotrun::coordination::messages::ClaimPhase,
    ) {
        let claim = self.ledger.claims().find(|claim| claim.attempt == *attempt).cloned();
        if let Some(mut claim) = claim {
            claim.phase = phase;
            self.tell(now, ShardMessage::Claim(claim));
        }
    }

    fn abort(
        &mut self,
        now: f64,
        id: u64,
        attempt: AttemptId,
        reuses_prefill: bool,
        outcome: ReleaseOutcome,
    ) {
        let Some(request) = self.flows.get_mut(&id) else { return };
        if request.prefilled && !reuses_prefill {
            self.wasted += f64::from(self.records[request.record].arrival.prompt);
        }
        request.prefilled &= reuses_prefill;
        if let Some(worker) = request.run.take() {
            self.decode[worker].stop(self.mix, now, id);
            self.predict(worker);
        }
        self.tell(now, ShardMessage::Release(attempt, outcome));
    }

    fn finish(&mut self, now: f64, id: u64) {
        if let Some(request) = self.flows.remove(&id) {
            debug_assert!(!request.prefilled);
            self.records[request.record].finished = Some(now);
            self.note_return(&request, true);
        }
    }

    fn refuse(&mut self, now: f64, id: u64, refusal: &Refusal) {
        let Some(request) = self.flows.remove(&id) else { return };
        if request.prefilled {
            self.wasted += f64::from(self.records[request.record].arrival.prompt);
        }
        self.note_return(&request, false);
        let wait = refusal.retry_after.map(|wait| wait.as_secs_f64());
        let back = wait.map(|wait| now + wait).filter(|back| *back < DURATION);
        match back {
            Some(back) if self.scenario.follow && !request.returning => {
                // The caller starts anew, and its targets count from then.
                self.records[request.record].arrival.at = back;
                self.comebacks.insert(id, Comeback { record: request.record });
                self.timeline.add(back, WorldEvent::Return(id));
            }
            _ => self.records[request.record].refused = Some(now),
        }
    }

    fn note_return(&mut self, request: &ActiveRequest, admitted: bool) {
        if request.returning {
            self.records[request.record].returned = Some(admitted);
        }
    }
}

fn decode_index(address: SocketAddr) -> Option<usize> {
    address.port().checked_sub(DECODE_PORT).map(usize::from)
}
