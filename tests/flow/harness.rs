//! Harness that drives one request flow with events and a manual clock.

use apricotrun::coordination::crashing_parts::CrashVerdict;
use apricotrun::coordination::flow::{
    DisconnectPolicy, FlowAction, FlowEvent, KvHandle, RequestFlow, RequestSpec, UnlimitedRetries,
};
use apricotrun::coordination::messages::{ClaimPhase, GrantMessage, ShardMessage, SlotClaim};
use apricotrun::coordination::stops::WorkForecast;
use apricotrun::prelude::*;
use apricotrun::state::clock::ManualClock;
use std::sync::Arc;

pub const SECOND: Duration = Duration::from_secs(1);
pub const MILLI: Duration = Duration::from_millis(1);

pub struct FlowHarness {
    pub clock: ManualClock,
    pub flow: RequestFlow,
    pub local_domain: DomainName,
}

pub fn request() -> RequestId {
    RequestId { entry: "a.1".parse().expect("valid id"), sequence: 1 }
}

pub fn attempt(number: u32) -> AttemptId {
    AttemptId { request: request(), attempt: number }
}

impl FlowHarness {
    pub fn new(change: impl FnOnce(&mut RequestSpec)) -> Self {
        let clock = ManualClock::default();
        let now = clock.now();
        let domain = |name: &str| name.parse::<DomainName>().expect("valid name");
        let mut spec = RequestSpec {
            account: "desk".parse().expect("valid name"),
            avoid: Vec::new(),
            expected_output: Tokens(100),
            inter_token_target: MILLI * 30,
            crash_weight: 0,
            deadline: now + SECOND * 60,
            domains: vec![domain("tyrol-a"), domain("tyrol-b"), domain("tyrol-c")],
            first_index: 0,
            prefill_retention: MILLI * 800,
            fingerprint: Fingerprint::of(&[b"body"]),
            first_token_due: now + SECOND * 2,
            id: request(),
            transfer_time: MILLI * 10,
            prefill_time: MILLI * 100,
            crash_verdict: CrashVerdict::Sound,
            parts: Vec::new(),
            prefix: Vec::new(),
            prompt: Tokens(1_000),
            max_output: Tokens(100),
            origin_lifetime: None,
            after_disconnect: DisconnectPolicy::Cancel,
            retryable: true,
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
        change(&mut spec);
        Self { flow: RequestFlow::new(now, spec), clock, local_domain: domain("tyrol-a") }
    }

    pub fn plain(retryable: bool) -> Self {
        Self::new(|spec| {
            spec.inter_token_target = Duration::ZERO;
            let policy = if retryable { DisconnectPolicy::Cancel } else { DisconnectPolicy::GoOn };
            spec.after_disconnect = policy;
            spec.retryable = retryable;
        })
    }

    pub fn handle(&mut self, event: FlowEvent) -> Vec<FlowAction> {
        self.flow.handle(self.clock.now(), event)
    }

    pub fn advance_time(&mut self, time: Duration) -> Vec<FlowAction> {
        self.clock.advance(time);
        self.handle(FlowEvent::Tick)
    }

    pub fn owner_message(&mut self, message: ShardMessage) -> Vec<FlowAction> {
        self.handle(FlowEvent::OwnerMessage(self.local_domain.clone(), message))
    }

    pub fn grant(&mut self, number: u32, runner: &str, phase: ClaimPhase) -> Vec<FlowAction> {
        self.owner_message(ShardMessage::Grant(grant(number, runner, phase)))
    }

    /// Starts the request and advances its first attempt to the decode phase.
    pub fn start_decoding(&mut self) {
        self.handle(FlowEvent::Start);
        self.grant(1, "d0", ClaimPhase::Prefill);
        self.handle(FlowEvent::PrefillDone(attempt(1), KvHandle("kv".to_owned())));
    }

    pub fn token(&mut self, number: u32, request_id: &str, index: u32) -> Vec<FlowAction> {
        let attempt = attempt(number);
        let (request_id, text) = (request_id.to_owned(), format!("t{index}"));
        self.handle(FlowEvent::Token { attempt, index, request_id, text })
    }

    pub fn valid_token(&mut self, number: u32, index: u32) -> Vec<FlowAction> {
        self.token(number, &attempt(number).to_string(), index)
    }
}

pub fn grant(number: u32, runner: &str, phase: ClaimPhase) -> GrantMessage {
    let address = "127.0.0.1:1".parse().expect("valid address");
    let prefill = (phase == ClaimPhase::Prefill).then(|| "p0".parse().expect("valid name"));
    GrantMessage {
        prefill_address: prefill.is_some().then_some(address),
        claim: SlotClaim {
            account: "desk".parse().expect("valid name"),
            attempt: attempt(number),
            growth: KvBlocks(0),
            phase,
            kv_blocks: KvBlocks(1),
            prefill,
            runner: runner.parse().expect("valid name"),
            suspect: false,
        },
        runner_address: address,
        runner_software: SoftwareVersion::default(),
    }
}

pub fn refusal_of(actions: &[FlowAction]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        FlowAction::Refuse(refusal) => Some(*refusal),
        _ => None,
    })
}

pub fn emitted(actions: &[FlowAction]) -> Vec<String> {
    let text = |action: &FlowAction| match action {
        FlowAction::Emit(text) => Some(text.clone()),
        _ => None,
    };
    actions.iter().filter_map(text).collect()
}

pub fn admission_requests(actions: &[FlowAction]) -> Vec<(DomainName, AttemptId, bool)> {
    let request = |action: &FlowAction| match action {
        FlowAction::Send(domain, ShardMessage::RequestAdmission(request)) => {
            Some((domain.clone(), request.attempt.clone(), request.prefilled))
        }
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}
