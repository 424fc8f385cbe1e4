//! The simulation of the baseline routers, which have no admission control and no reservations, and
//! refuse no request: one fails only when its deadline passes.

use crate::policy::RouterKind;
use crate::policy::engines::DecodeSimulator;
use crate::policy::mix::{
    Arrival, DURATION, LINK_STALL, Scenario, TrafficMix, WORKER_OUTAGE, arrivals,
};
use crate::policy::report::{PolicyReport, RequestRecord};
use crate::policy::timeline::Timeline;
use std::collections::VecDeque;

/// The interval between load reports of the decode workers, in seconds.
const REPORT_PERIOD: f64 = 1.0;
/// The time after which a transfer over a stalled link fails, in seconds.
const STALL_LIMIT: f64 = 2.0;
/// The time for which the simulation goes on after the last arrival, in seconds.
const TAIL_DURATION: f64 = 200.0;

enum BaselineEvent {
    Arrive(Arrival),
    /// A prefill worker has completed a prefill.
    Prefilled(usize),
    /// The prefill result of a request's attempt has reached its storage limit.
    Evict(usize, u32),
    /// The transfer of a request to a decode worker has ended, for this attempt.
    Transferred(usize, usize, u32),
    /// A request's attempt generates its first token.
    FirstToken(usize, u32),
    /// The predicted end of a run, outdated if the worker's version has changed.
    RunEnd {
        worker: usize,
        version: u64,
    },
    Report,
    /// A request's deadline passes.
    TimeOut(usize),
    FailWorker,
    RecoverWorker,
    StallLink,
    UnstallLink,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum RequestStage {
    Prefill,
    /// The prompt is prefilled and the request waits for a slot of its decode worker.
    Ready,
    Transfer,
    Run,
    /// The request is complete or has timed out.
    Done,
}

struct BaselineRequest {
    record: RequestRecord,
    stage: RequestStage,
    /// Changes with each new attempt, to identify late events of earlier ones.
    attempt: u32,
    /// The index of the decode worker, from [`RequestStage::Ready`] on.
    worker: usize,
}

/// A simulated prefill worker.
#[derive(Default)]
struct PrefillSimulator {
    /// The request that is being prefilled.
    busy: Option<usize>,
    queue: VecDeque<usize>,
}

/// The state of a simulation. Requests and workers are identified by index.
struct Baseline<'a> {
    decode: Vec<DecodeSimulator>,
    kind: RouterKind,
    mix: &'a TrafficMix,
    prefill: Vec<PrefillSimulator>,
    prefilled_tokens: f64,
    /// The load that each decode worker has last reported.
    reported_load: Vec<usize>,
    requests: Vec<BaselineRequest>,
    timeline: Timeline<BaselineEvent>,
    /// The number of worker assignments so far, by which round robin takes its next worker.
    assignments: usize,
    /// The requests that wait for a slot of each decode worker.
    waiting: Vec<VecDeque<usize>>,
    /// The number of transfers into each decode worker.
    transferring: Vec<usize>,
    wasted_tokens: f64,
}

/// Runs a scenario with one of the baseline routers and returns the results.
pub fn run(kind: RouterKind, mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    let mut baseline = Baseline {
        decode: vec![DecodeSimulator::default(); mix.decode_workers],
        kind,
        mix,
        prefill: (0..mix.prefill_workers).map(|_| PrefillSimulator::default()).collect(),
        prefilled_tokens: 0.0,
        reported_load: vec![0; mix.decode_workers],
        requests: Vec::new(),
        timeline: Timeline::default(),
        transferring: vec![0; mix.decode_workers],
        assignments: 0,
        waiting: vec![VecDeque::new(); mix.decode_workers],
        wasted_tokens: 0.0,
    };
    for arrival in arrivals(mix, scenario) {
        baseline.timeline.add(arrival.at, BaselineEvent::Arrive(arrival));
    }
    baseline.timeline.add(0.0, BaselineEvent::Report);
    if scenario.failures {
        baseline.timeline.add(WORKER_OUTAGE.start, BaselineEvent::FailWorker);
        baseline.timeline.add(WORKER_OUTAGE.end, BaselineEvent::RecoverWorker);
        baseline.timeline.add(LINK_STALL.start, BaselineEvent::StallLink);
        baseline.timeline.add(LINK_STALL.end, BaselineEvent::UnstallLink);
    }
    while let Some((now, event)) = baseline.timeline.pop() {
        if now > DURATION + TAIL_DURATION {
            break;
        }
        baseline.step(now, event);
    }
    let records: Vec<_> = baseline.requests.iter().map(|request| request.record).collect();
    PolicyReport::from_records(mix, &records, baseline.prefilled_tokens, baseline.wasted_tokens)
}

impl Baseline<'_> {
    fn step(&mut self, now: f64, event: BaselineEvent) {
        match event {
            BaselineEvent::Arrive(arrival) => self.arrive(now, arrival),
            BaselineEvent::Prefilled(worker) => self.prefilled(now, worker),
            BaselineEvent::Evict(id, attempt) => self.evict(now, id, attempt),
            BaselineEvent::Transferred(id, worker, attempt) => {
                self.transferred(now, id, worker, attempt);
            }
            BaselineEvent::FirstToken(id, attempt) => {
                let request = &mut self.requests[id];
                if request.attempt == attempt && request.stage == RequestStage::Run {
                    request.record.first_token.get_or_insert(now);
                }
            }
            BaselineEvent::RunEnd { worker, version } => self.end_run(now, worker, version),
            BaselineEvent::Report => self.report(now),
            BaselineEvent::TimeOut(id) => self.time_out(now, id),
            BaselineEvent::FailWorker => self.fail_worker(now),
            BaselineEvent::RecoverWorker => self.decode[0].down = false,
            BaselineEvent::StallLink => self.decode[1].stalled = true,
            BaselineEvent::UnstallLink => self.decode[1].stalled = false,
        }
    }

    fn arrive(&mut self, now: f64, arrival: Arrival) {
        let record = RequestRecord::new(arrival);
        self.requests.push(BaselineRequest {
            record,
            stage: RequestStage::Prefill,
            attempt: 0,
            worker: 0,
        });
        let id = self.requests.len() - 1;
        self.timeline.add(now + self.mix.deadline, BaselineEvent::TimeOut(id));
        self.queue_prefill(now, id);
    }

    /// Starts a new attempt: queues the request at a prefill worker.
    fn queue_prefill(&mut self, now: f64, id: usize) {
        self.assignments += 1;
        let worker = match self.kind {
            RouterKind::RoundRobin => self.assignments % self.prefill.len(),
            _ => {
                let load = |w: &PrefillSimulator| w.queue.len() + usize::from(w.busy.is_some());
                let least = (0..self.prefill.len()).min_by_key(|w| load(&self.prefill[*w]));
                least.unwrap_or(0)
            }
        };
        self.requests[id].attempt += 1;
        self.requests[id].stage = RequestStage::Prefill;
        self.prefill[worker].queue.push_back(id);
        self.start_prefill(now, worker);
    }

    fn start_prefill(&mut self, now: f64, worker: usize) {
        if self.prefill[worker].busy.is_some() {
            return;
        }
        let Some(id) = self.prefill[worker].queue.pop_front() else { return };
        let prompt = f64::from(self.requests[id].record.arrival.prompt);
        self.prefilled_tokens += prompt;
        self.prefill[worker].busy = Some(id);
        let done = now + prompt / self.mix.prefill_rate;
        self.timeline.add(done, BaselineEvent::Prefilled(worker));
    }

    fn prefilled(&mut self, now: f64, worker: usize) {
        if let Some(id) = self.prefill[worker].busy.take() {
            match self.requests[id].stage {
                RequestStage::Done => self.record_waste(id),
                _ => self.assign_decode(now, id),
            }
        }
        self.start_prefill(now, worker);
    }

    /// Assigns a prefilled request to a decode worker, where it waits for a slot.
    fn assign_decode(&mut self, now: f64, id: usize) {
        self.assignments += 1;
        let load = |w: usize| self.decode[w].len() + self.transferring[w] + self.waiting[w].len();
        let up = (0..self.decode.len()).filter(|w| !self.decode[*w].down);
        let worker = match self.kind {
            RouterKind::RoundRobin => Some(self.assignments % self.decode.len()),
            RouterKind::LeastLoaded => up.min_by_key(|w| self.reported_load[*w]),
            _ => up.min_by_key(|w| load(*w)),
        };
        let worker = worker.unwrap_or(0);
        let request = &mut self.requests[id];
        request.stage = RequestStage::Ready;
        request.worker = worker;
        let attempt = request.attempt;
        self.waiting[worker].push_back(id);
        self.timeline.add(now + self.mix.eviction, BaselineEvent::Evict(id, attempt));
        self.admit(now, worker);
    }

    /// Starts transfers into a decode worker while it has free slots and waiting requests.
    fn admit(&mut self, now: f64, worker: usize) {
        while self.decode[worker].len() + self.transferring[worker] < self.mix.slots {
            if self.decode[worker].down {
                return;
            }
            let Some(id) = self.waiting[worker].pop_front() else { return };
            let request = &mut self.requests[id];
            if request.stage != RequestStage::Ready || request.worker != worker {
                continue;
            }
            request.stage = RequestStage::Transfer;
            let (attempt, prompt) = (request.attempt, f64::from(request.record.arrival.prompt));
            self.transferring[worker] += 1;
            let simulator = &mut self.decode[worker];
            let end = match simulator.stalled {
                true => now + STALL_LIMIT,
                false => {
                    simulator.link_free_at =
                        simulator.link_free_at.max(now) + prompt / self.mix.link_rate;
                    simulator.link_free_at
                }
            };
            self.timeline.add(end, BaselineEvent::Transferred(id, worker, attempt));
        }
    }

    /// Prefills a request again if it still waits for a slot when its prefill result is evicted.
    fn evict(&mut self, now: f64, id: usize, attempt: u32) {
        let request = &self.requests[id];
        if request.stage == RequestStage::Ready && request.attempt == attempt {
            self.record_waste(id);
            self.queue_prefill(now, id);
        }
    }

    fn record_waste(&mut self, id: usize) {
        self.wasted_tokens += f64::from(self.requests[id].record.arrival.prompt);
    }

    /// Starts the run of a transferred request. If the worker has failed or its link is stalled,
    /// the prefill result is wasted and the request starts again.
    fn transferred(&mut self, now: f64, id: usize, worker: usize, attempt: u32) {
        self.transferring[worker] = self.transferring[worker].saturating_sub(1);
        let current = self.requests[id].attempt == attempt
            && self.requests[id].stage == RequestStage::Transfer;
        if !current || self.decode[worker].down || self.decode[worker].stalled {
            if current {
                self.record_waste(id);
                self.queue_prefill(now, id);
            }
            return self.admit(now, worker);
        }
        let output = self.requests[id].record.arrival.output;
        self.requests[id].stage = RequestStage::Run;
        self.decode[worker].start(self.mix, now, id as u64, output);
        let first = self.mix.token_time(self.decode[worker].len());
        self.timeline.add(now + first, BaselineEvent::FirstToken(id, attempt));
        self.schedule_run_end(worker);
    }

    /// Schedules the end of the worker's next run to complete, as of the current runs.
    fn schedule_run_end(&mut self, worker: usize) {
        let simulator = &self.decode[worker];
        if let Some((_, end)) = simulator.next_end(self.mix) {
            let version = simulator.version;
            self.timeline.add(end, BaselineEvent::RunEnd { worker, version });
        }
    }

    /// Completes the run that was predicted to end now, if the prediction still holds.
    fn end_run(&mut self, now: f64, worker: usize, version: u64) {
        let ended = self.decode[worker].end_predicted(self.mix, now, version);
        let Some(id) = ended else { return };
        let request = &mut self.requests[id as usize];
        request.stage = RequestStage::Done;
        request.record.finished = Some(now);
        self.schedule_run_end(worker);
        self.admit(now, worker);
    }

    /// Updates the reported loads and schedules the next report.
    fn report(&mut self, now: f64) {
        for (worker, simulator) in self.decode.iter().enumerate() {
            self.reported_load[worker] = simulator.len() + self.waiting[worker].len();
        }
        if now < DURATION + TAIL_DURATION {
            self.timeline.add(now + REPORT_PERIOD, BaselineEvent::Report);
        }
    }

    /// Ends a request whose deadline has passed.
    fn time_out(&mut self, now: f64, id: usize) {
        let stage = std::mem::replace(&mut self.requests[id].stage, RequestStage::Done);
        let worker = self.requests[id].worker;
        match stage {
            RequestStage::Done => return,
            RequestStage::Run => {
                self.decode[worker].stop(self.mix, now, id as u64);
                self.schedule_run_end(worker);
                self.admit(now, worker);
            }
            RequestStage::Ready | RequestStage::Transfer => self.record_waste(id),
            RequestStage::Prefill => {}
        }
        self.requests[id].record.refused = Some(now);
    }

    /// Takes the first decode worker out of service; its runs start again with a prefill.
    fn fail_worker(&mut self, now: f64) {
        self.decode[0].down = true;
        for id in self.decode[0].clear() {
            self.requests[id as usize].record.first_token = None;
            self.queue_prefill(now, id as usize);
        }
    }
}
