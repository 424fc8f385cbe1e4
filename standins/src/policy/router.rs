//! The simulation of this project's router: the real shard ledger and request flows exchange
//! messages with a latency and use simulated engines.

mod runs;

use crate::fixtures::upstream;
use crate::policy::engines::DecodeSimulator;
use crate::policy::mix::{
    ACCOUNTS, Arrival, DURATION, LINK_STALL, Scenario, TrafficMix, WORKER_OUTAGE, arrivals,
};
use crate::policy::report::{PolicyReport, RequestRecord};
use crate::policy::timeline::Timeline;
use apricotrun::coordination::crashing_parts::CrashVerdict;
use apricotrun::coordination::flow::{
    DisconnectPolicy, FlowAction, FlowEvent, RequestFlow, RequestSpec, UnlimitedRetries,
};
use apricotrun::coordination::messages::{ReleaseOutcome, ShardMessage};
use apricotrun::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole};
use apricotrun::coordination::stops::WorkForecast;
use apricotrun::prelude::*;
use apricotrun::state::fleet::AccountQuota;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The latency of a message between two hosts, in seconds.
const MESSAGE_LATENCY: f64 = 0.000_5;
/// The period at which a run's new tokens are passed to its flow, in seconds.
const PROGRESS_PERIOD: f64 = 0.25;
/// The port in the placeholder address of the first prefill worker; the others follow.
const PREFILL_PORT: u16 = 1_000;
/// The port in the placeholder address of the first decode worker; the others follow.
const DECODE_PORT: u16 = 2_000;
/// The time for which the simulation goes on after the last arrival, in seconds.
const TAIL_DURATION: f64 = 200.0;

enum SimulationEvent {
    Arrive(Arrival),
    /// The caller of the refused request with this id retries it.
    Retry(u64),
    /// A message reaches the shard's owner.
    MessageToOwner(ShardMessage),
    /// An event reaches the flow of the request with this id.
    EventToFlow(u64, FlowEvent),
    FlowTick(u64),
    LedgerTick,
    /// A decode worker has received a prefill result and starts the run that follows it.
    Transferred {
        worker: usize,
        attempt: AttemptId,
        tokens: u32,
        from: u32,
    },
    /// New tokens of a run are due to be passed to its flow.
    Progress {
        worker: usize,
        id: u64,
    },
    /// The predicted end of a run, outdated if the worker's version has changed.
    RunEnd {
        worker: usize,
        version: u64,
    },
    /// An upstream's confirmation of a cancellation reaches the shard's owner.
    ConfirmCancel(AttemptId, UpstreamName),
    FailWorker,
    RecoverWorker,
    StallLink,
    UnstallLink,
}

/// A request from its arrival or retry until it is complete or refused.
struct ActiveRequest {
    /// The latest attempt that has claimed a slot.
    attempt: Option<AttemptId>,
    /// When the prefill completed, in seconds.
    prefilled_at: f64,
    flow: RequestFlow,
    /// The index of the first token of the current run.
    from: u32,
    /// Whether there is a prefill result that no run has generated a token from.
    prefilled: bool,
    /// The index of the request's record.
    record: usize,
    /// Whether this is the retry of a refused request.
    returning: bool,
    /// The index of the decode worker that the request transfers to or runs on.
    run: Option<usize>,
}

/// A refused request whose caller will retry it.
struct ScheduledRetry {
    /// The index of the request's record.
    record: usize,
}

/// The state of a simulation. Its times are in seconds from the start.
struct PolicySimulation<'a> {
    /// The instant that stands for the start of the simulation.
    base: Instant,
    scheduled_retries: BTreeMap<u64, ScheduledRetry>,
    decode: Vec<DecodeSimulator>,
    /// The daemon that accepts all requests.
    entry: DaemonId,
    flows: BTreeMap<u64, ActiveRequest>,
    ledger: ShardLedger,
    /// The time of the next scheduled tick of the ledger.
    ledger_wake: Option<f64>,
    mix: &'a TrafficMix,
    next_id: u64,
    prefilled_tokens: f64,
    records: Vec<RequestRecord>,
    scenario: &'a Scenario,
    timeline: Timeline<SimulationEvent>,
    wasted_tokens: f64,
}

/// Runs a scenario and returns the results.
pub fn run(mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    let mut simulation = PolicySimulation::new(mix, scenario);
    for arrival in arrivals(mix, scenario) {
        simulation.timeline.add(arrival.at, SimulationEvent::Arrive(arrival));
    }
    if scenario.failures {
        simulation.timeline.add(WORKER_OUTAGE.start, SimulationEvent::FailWorker);
        simulation.timeline.add(WORKER_OUTAGE.end, SimulationEvent::RecoverWorker);
        simulation.timeline.add(LINK_STALL.start, SimulationEvent::StallLink);
        simulation.timeline.add(LINK_STALL.end, SimulationEvent::UnstallLink);
    }
    while let Some((now, event)) = simulation.timeline.pop() {
        if now > DURATION + TAIL_DURATION {
            break;
        }
        simulation.step(now, event);
    }
    PolicyReport::from_records(
        mix,
        &simulation.records,
        simulation.prefilled_tokens,
        simulation.wasted_tokens,
    )
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
    let decode = (0..mix.decode_workers).map(|i| {
        spec(UpstreamRole::Decode, i, DECODE_PORT, mix.slots, Some(KvBlocks(mix.kv_blocks)))
    });
    ServiceTemplate {
        inter_token_target: Duration::from_secs_f64(mix.inter_token_target),
        deadline: Duration::from_secs_f64(mix.deadline),
        prefill_retention: Duration::from_secs_f64(mix.eviction),
        first_token_target: Duration::from_secs_f64(mix.first_token_target),
        link_tokens_per_second: TokenRate(mix.link_rate),
        prefill_tokens_per_second: TokenRate(mix.prefill_rate),
        ..crate::fixtures::template("llm", prefill.chain(decode).collect())
    }
}

impl<'a> PolicySimulation<'a> {
    fn new(mix: &'a TrafficMix, scenario: &'a Scenario) -> Self {
        let entry: DaemonId = "entry.1".parse().expect("a valid id");
        let base = Instant::now();
        let mut ledger = ShardLedger::new(domain());
        let quota =
            AccountQuota { ceiling: 1.0, max_waiting: 100_000, share: 1.0 / ACCOUNTS as f64 };
        let quotas = (0..ACCOUNTS).map(|account| (account_name(account), quota)).collect();
        ledger.handle(base, ShardEvent::Configure(Arc::new(template(mix)), quotas));
        let live = BTreeSet::from([entry.clone()]);
        let members =
            ShardEvent::Members { live: live.clone(), local: live, role: ShardRole::Owner };
        ledger.handle(base, members);
        let empty = ShardMessage::Summary { count: 0, digest: 0 };
        ledger.handle(base, ShardEvent::Message(entry.clone(), empty));
        Self {
            base,
            scheduled_retries: BTreeMap::new(),
            decode: vec![DecodeSimulator::default(); mix.decode_workers],
            entry,
            flows: BTreeMap::new(),
            ledger,
            ledger_wake: None,
            mix,
            next_id: 0,
            prefilled_tokens: 0.0,
            records: Vec::new(),
            scenario,
            timeline: Timeline::default(),
            wasted_tokens: 0.0,
        }
    }

    /// Converts a simulated time to the time that ledger and flows are given.
    fn instant(&self, now: f64) -> Instant {
        self.base + Duration::from_secs_f64(now)
    }

    fn step(&mut self, now: f64, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(arrival) => {
                self.records.push(RequestRecord::new(arrival));
                self.begin(now, self.records.len() - 1, false);
            }
            SimulationEvent::Retry(id) => {
                if let Some(retry) = self.scheduled_retries.remove(&id) {
                    self.begin(now, retry.record, true);
                }
            }
            SimulationEvent::MessageToOwner(message) => {
                let event = ShardEvent::Message(self.entry.clone(), message);
                self.handle_ledger_event(now, event);
            }
            SimulationEvent::EventToFlow(id, event) => self.handle_flow_event(now, id, event),
            SimulationEvent::FlowTick(id) => self.handle_flow_event(now, id, FlowEvent::Tick),
            SimulationEvent::LedgerTick => {
                self.ledger_wake = None;
                self.handle_ledger_event(now, ShardEvent::Tick);
            }
            SimulationEvent::Transferred { worker, attempt, tokens, from } => {
                self.start_decoding(now, worker, &attempt, tokens, from);
            }
            SimulationEvent::Progress { worker, id } => self.progress(now, worker, id),
            SimulationEvent::RunEnd { worker, version } => self.end_run(now, worker, version),
            SimulationEvent::ConfirmCancel(attempt, upstream) => {
                self.handle_ledger_event(now, ShardEvent::CancelConfirmed(attempt, upstream));
            }
            SimulationEvent::FailWorker => self.fail_worker(now),
            SimulationEvent::RecoverWorker => self.decode[0].down = false,
            SimulationEvent::StallLink => self.decode[1].stalled = true,
            SimulationEvent::UnstallLink => self.decode[1].stalled = false,
        }
    }

    /// Starts the flow of a new request, or of the retry of a refused one.
    fn begin(&mut self, now: f64, record: usize, returning: bool) {
        self.next_id += 1;
        let id = self.next_id;
        let spec = self.spec(now, id, record, returning);
        let flow = RequestFlow::new(self.instant(now), spec);
        let request = ActiveRequest {
            attempt: None,
            prefilled_at: 0.0,
            flow,
            from: 0,
            prefilled: false,
            record,
            returning,
            run: None,
        };
        self.flows.insert(id, request);
        self.handle_flow_event(now, id, FlowEvent::Start);
    }

    fn spec(&self, now: f64, id: u64, record: usize, returning: bool) -> RequestSpec {
        let arrival = self.records[record].arrival;
        let at = |after: f64| self.instant(now + after);
        let seconds = |tokens: u32, rate: f64| Duration::from_secs_f64(f64::from(tokens) / rate);
        RequestSpec {
            account: account_name(arrival.account),
            avoid: Vec::new(),
            expected_output: Tokens(arrival.output),
            inter_token_target: Duration::from_secs_f64(self.mix.inter_token_target),
            crash_weight: 0,
            deadline: at(self.mix.deadline),
            domains: vec![domain()],
            first_index: 0,
            prefill_retention: Duration::from_secs_f64(self.mix.eviction),
            fingerprint: Fingerprint::of(&[&id.to_le_bytes()]),
            first_token_due: at(self.mix.first_token_target),
            id: RequestId { entry: self.entry.clone(), sequence: id },
            transfer_time: seconds(arrival.prompt, self.mix.link_rate),
            prefill_time: seconds(arrival.prompt, self.mix.prefill_rate),
            crash_verdict: CrashVerdict::Sound,
            parts: Vec::new(),
            prefix: Vec::new(),
            prompt: Tokens(arrival.prompt),
            max_output: Tokens(arrival.output),
            origin_lifetime: None,
            after_disconnect: DisconnectPolicy::Cancel,
            retryable: true,
            progress_period: None,
            retries: Arc::new(UnlimitedRetries),
            returning,
            max_runs: u32::MAX,
            software: None,
            stall_limit: None,
            urgency: UrgencyRank::default(),
            tokens_per_index: 1,
            work: WorkForecast::default(),
        }
    }

    fn handle_ledger_event(&mut self, now: f64, event: ShardEvent) {
        let actions = self.ledger.handle(self.instant(now), event);
        for action in actions {
            match action {
                ShardAction::Send(_, message) => self.deliver(now, message),
                // There is one failure domain.
                ShardAction::SendToOwner(..) => {}
                ShardAction::Cancel(spec, attempt) => self.cancel(now, &spec, attempt),
            }
        }
        let wake = self.ledger.next_wake();
        let wake = wake.map(|wake| wake.saturating_duration_since(self.base).as_secs_f64());
        if let Some(wake) = wake.filter(|wake| self.ledger_wake.is_none_or(|old| *wake < old)) {
            self.ledger_wake = Some(wake);
            self.timeline.add(wake.max(now), SimulationEvent::LedgerTick);
        }
    }

    /// Sends a message of the ledger to the flow that it concerns.
    fn deliver(&mut self, now: f64, message: ShardMessage) {
        let attempt = match &message {
            ShardMessage::Grant(grant) => &grant.claim.attempt,
            ShardMessage::Queued(attempt) | ShardMessage::Refuse(attempt, _) => attempt,
            _ => return,
        };
        let id = attempt.request.sequence;
        let event = FlowEvent::OwnerMessage(domain(), message);
        self.timeline.add(now + MESSAGE_LATENCY, SimulationEvent::EventToFlow(id, event));
    }

    /// Ends an attempt at its upstream, which then confirms the cancellation. A failed worker does
    /// not respond.
    fn cancel(&mut self, now: f64, spec: &UpstreamSpec, attempt: AttemptId) {
        if let Some(worker) = decode_index(spec.address) {
            if self.decode[worker].down {
                return;
            }
            self.decode[worker].stop(self.mix, now, attempt.request.sequence);
            self.schedule_run_end(worker);
        }
        let confirm = SimulationEvent::ConfirmCancel(attempt, spec.name.clone());
        self.timeline.add(now + 2.0 * MESSAGE_LATENCY, confirm);
    }

    fn handle_flow_event(&mut self, now: f64, id: u64, event: FlowEvent) {
        let at = self.instant(now);
        let Some(request) = self.flows.get_mut(&id) else {
            if let FlowEvent::OwnerMessage(_, ShardMessage::Grant(grant)) = event {
                let attempt = grant.claim.attempt;
                let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
                self.timeline.add(now + MESSAGE_LATENCY, SimulationEvent::MessageToOwner(release));
            }
            return;
        };
        let actions = request.flow.handle(at, event);
        for action in actions {
            self.execute(now, id, action);
        }
        if let Some(request) = self.flows.get(&id)
            && let Some(wake) = request.flow.next_wake()
        {
            let wake = wake.saturating_duration_since(self.base).as_secs_f64();
            self.timeline.add(wake.max(now), SimulationEvent::FlowTick(id));
        }
    }

    fn execute(&mut self, now: f64, id: u64, action: FlowAction) {
        match action {
            FlowAction::Send(_, message) => self.send_to_owner(now, message),
            FlowAction::Claim(_, claim) => {
                if let Some(request) = self.flows.get_mut(&id) {
                    request.attempt = Some(claim.attempt.clone());
                }
                self.send_to_owner(now, ShardMessage::Claim(claim));
            }
            FlowAction::Advance(_, attempt, phase) => self.advance(now, &attempt, phase),
            FlowAction::Progress(_, attempt, tokens) => {
                self.send_to_owner(now, ShardMessage::Progress(attempt, tokens));
            }
            FlowAction::Release(_, attempt, outcome) => {
                self.send_to_owner(now, ShardMessage::Release(attempt, outcome));
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
            FlowAction::AttemptFailed { .. }
            | FlowAction::ReportCrash(_)
            | FlowAction::ReportOutput { .. }
            | FlowAction::UpstreamSilent { .. } => {}
        }
    }

    fn send_to_owner(&mut self, now: f64, message: ShardMessage) {
        self.timeline.add(now + MESSAGE_LATENCY, SimulationEvent::MessageToOwner(message));
    }

    /// Reports the new phase of an attempt's claim to the owner.
    fn advance(
        &mut self,
        now: f64,
        attempt: &AttemptId,
        phase: apricotrun::coordination::messages::ClaimPhase,
    ) {
        let claim = self.ledger.claims().find(|claim| claim.attempt == *attempt).cloned();
        if let Some(mut claim) = claim {
            claim.phase = phase;
            self.send_to_owner(now, ShardMessage::Claim(claim));
        }
    }

    /// Ends an attempt and releases its claim; its prefill result is wasted unless it is reused.
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
            self.wasted_tokens += f64::from(self.records[request.record].arrival.prompt);
        }
        request.prefilled &= reuses_prefill;
        if let Some(worker) = request.run.take() {
            self.decode[worker].stop(self.mix, now, id);
            self.schedule_run_end(worker);
        }
        self.send_to_owner(now, ShardMessage::Release(attempt, outcome));
    }

    fn finish(&mut self, now: f64, id: u64) {
        if let Some(request) = self.flows.remove(&id) {
            debug_assert!(!request.prefilled);
            self.records[request.record].finished = Some(now);
            self.record_return(&request, true);
        }
    }

    /// Records a refusal, or schedules the caller's retry if the scenario has it and its time lies
    /// within the simulated arrivals. A retry that is refused again is final.
    fn refuse(&mut self, now: f64, id: u64, refusal: &Refusal) {
        let Some(request) = self.flows.remove(&id) else { return };
        if request.prefilled {
            self.wasted_tokens += f64::from(self.records[request.record].arrival.prompt);
        }
        self.record_return(&request, false);
        let wait = refusal.retry_after.map(|wait| wait.as_secs_f64());
        let back = wait.map(|wait| now + wait).filter(|back| *back < DURATION);
        match back {
            Some(back) if self.scenario.honor_retry_after && !request.returning => {
                // The retry is a new request, so its latency targets count from the retry's time.
                self.records[request.record].arrival.at = back;
                self.scheduled_retries.insert(id, ScheduledRetry { record: request.record });
                self.timeline.add(back, SimulationEvent::Retry(id));
            }
            _ => self.records[request.record].refused = Some(now),
        }
    }

    /// Records whether a retry completed; does nothing for other requests.
    fn record_return(&mut self, request: &ActiveRequest, completed: bool) {
        if request.returning {
            self.records[request.record].returned = Some(completed);
        }
    }
}

/// Returns the index of the decode worker with an address, or `None` for a prefill worker.
fn decode_index(address: SocketAddr) -> Option<usize> {
    address.port().checked_sub(DECODE_PORT).map(usize::from)
}
