//! Simpler routers on the same arrivals: none of them admits, reserves or refuses.

use crate::policy::RouterKind;
use crate::policy::engines::DecodeFake;
use crate::policy::mix::{Arrival, DURATION, LOST, STALLED, Scenario, TrafficMix, arrivals};
use crate::policy::report::{PolicyReport, RequestRecord};
use crate::policy::timeline::Timeline;
use std::collections::VecDeque;

/// How far load reports lag, in seconds.
const REPORT_LAG: f64 = 1.0;
/// After what time a transfer that does not move is given up, in seconds.
const STALL_LIMIT: f64 = 2.0;
/// How long the run goes on after the last arrival, in seconds.
const TAIL: f64 = 200.0;

enum BaselineEvent {
    Arrive(Arrival),
    Prefilled(usize),
    Evict(usize, u32),
    Transferred(usize, usize, u32),
    FirstToken(usize, u32),
    RunEnd { worker: usize, version: u64 },
    Report,
    GiveUp(usize),
    Lose,
    Regain,
    Stall,
    Unstall,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Step {
    Prefill,
    /// The prompt is computed and waits for a slot.
    Ready,
    Transfer,
    Run,
    Over,
}

struct BaselineRequest {
    record: RequestRecord,
    step: Step,
    /// Changes with each new try, so that late events of an old one are recognised.
    tries: u32,
    worker: usize,
}

#[derive(Default)]
struct PrefillFake {
    busy: Option<usize>,
    queue: VecDeque<usize>,
}

struct Baseline<'a> {
    decode: Vec<DecodeFake>,
    kind: RouterKind,
    mix: &'a TrafficMix,
    prefill: Vec<PrefillFake>,
    prefilled: f64,
    reported: Vec<usize>,
    requests: Vec<BaselineRequest>,
    timeline: Timeline<BaselineEvent>,
    turn: usize,
    /// The requests that wait for a slot of each decode worker, and those that transfer into it.
    waiting: Vec<VecDeque<usize>>,
    transferring: Vec<usize>,
    wasted: f64,
}

/// Serves a scenario with one of the simpler routers.
pub fn run(kind: RouterKind, mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    let mut baseline = Baseline {
        decode: vec![DecodeFake::default(); mix.decode_workers],
        kind,
        mix,
        prefill: (0..mix.prefill_workers).map(|_| PrefillFake::default()).collect(),
        prefilled: 0.0,
        reported: vec![0; mix.decode_workers],
        requests: Vec::new(),
        timeline: Timeline::default(),
        transferring: vec![0; mix.decode_workers],
        turn: 0,
        waiting: vec![VecDeque::new(); mix.decode_workers],
        wasted: 0.0,
    };
    for arrival in arrivals(mix, scenario) {
        baseline.timeline.add(arrival.at, BaselineEvent::Arrive(arrival));
    }
    baseline.timeline.add(0.0, BaselineEvent::Report);
    if scenario.failures {
        baseline.timeline.add(LOST.start, BaselineEvent::Lose);
        baseline.timeline.add(LOST.end, BaselineEvent::Regain);
        baseline.timeline.add(STALLED.start, BaselineEvent::Stall);
        baseline.timeline.add(STALLED.end, BaselineEvent::Unstall);
    }
    while let Some((now, event)) = baseline.timeline.pop() {
        if now > DURATION + TAIL {
            break;
        }
        baseline.step(now, event);
    }
    let records: Vec<_> = baseline.requests.iter().map(|request| request.record).collect();
    PolicyReport::of(mix, &records, baseline.prefilled, baseline.wasted)
}

impl Baseline<'_> {
    fn step(&mut self, now: f64, event: BaselineEvent) {
        match event {
            BaselineEvent::Arrive(arrival) => self.arrive(now, arrival),
            BaselineEvent::Prefilled(worker) => self.prefilled(now, worker),
            BaselineEvent::Evict(id, tries) => self.evict(now, id, tries),
            BaselineEvent::Transferred(id, worker, tries) => {
                self.transferred(now, id, worker, tries);
            }
            BaselineEvent::FirstToken(id, tries) => {
                let request = &mut self.requests[id];
                if request.tries == tries && request.step == Step::Run {
                    request.record.first_token.get_or_insert(now);
                }
            }
            BaselineEvent::RunEnd { worker, version } => self.end_run(now, worker, version),
            BaselineEvent::Report => self.report(now),
            BaselineEvent::GiveUp(id) => self.give_up(now, id),
            BaselineEvent::Lose => self.lose(now),
            BaselineEvent::Regain => self.decode[0].down = false,
            BaselineEvent::Stall => self.decode[1].stalled = true,
            BaselineEvent::Unstall => self.decode[1].stalled = false,
        }
    }

    fn arrive(&mut self, now: f64, arrival: Arrival) {
        let record = RequestRecord::new(arrival);
        self.requests.push(BaselineRequest { record, step: Step::Prefill, tries: 0, worker: 0 });
        let id = self.requests.len() - 1;
        self.timeline.add(now + self.mix.deadline, BaselineEvent::GiveUp(id));
        self.queue_prefill(now, id);
    }

    fn queue_prefill(&mut self, now: f64, id: usize) {
        self.turn += 1;
        let worker = match self.kind {
            RouterKind::RoundRobin => self.turn % self.prefill.len(),
            _ => {
                let load = |w: &PrefillFake| w.queue.len() + usize::from(w.busy.is_some());
                let least = (0..self.prefill.len()).min_by_key(|w| load(&self.prefill[*w]));
                least.unwrap_or(0)
            }
        };
        self.requests[id].tries += 1;
        self.requests[id].step = Step::Prefill;
        self.prefill[worker].queue.push_back(id);
        self.start_prefill(now, worker);
    }

    fn start_prefill(&mut self, now: f64, worker: usize) {
        if self.prefill[worker].busy.is_some() {
            return;
        }
        let Some(id) = self.prefill[worker].queue.pop_front() else { return };
        let prompt = f64::from(self.requests[id].record.arrival.prompt);
        self.prefilled += prompt;
        self.prefill[worker].busy = Some(id);
        let done = now + prompt / self.mix.prefill_rate;
        self.timeline.add(done, BaselineEvent::Prefilled(worker));
    }

    fn prefilled(&mut self, now: f64, worker: usize) {
        if let Some(id) = self.prefill[worker].busy.take() {
            match self.requests[id].step {
                Step::Over => self.waste(id),
                _ => self.offer(now, id),
            }
        }
        self.start_prefill(now, worker);
    }

    /// Chooses a decode worker for a computed prompt.
    fn offer(&mut self, now: f64, id: usize) {
        self.turn += 1;
        let load = |w: usize| self.decode[w].len() + self.transferring[w] + self.waiting[w].len();
        let up = (0..self.decode.len()).filter(|w| !self.decode[*w].down);
        let worker = match self.kind {
            RouterKind::RoundRobin => Some(self.turn % self.decode.len()),
            RouterKind::LeastLoaded => up.min_by_key(|w| self.reported[*w]),
            _ => up.min_by_key(|w| load(*w)),
        };
        let worker = worker.unwrap_or(0);
        let request = &mut self.requests[id];
        request.step = Step::Ready;
        request.worker = worker;
        let tries = request.tries;
        self.waiting[worker].push_back(id);
        self.timeline.add(now + self.mix.eviction, BaselineEvent::Evict(id, tries));
        self.admit(now, worker);
    }

    fn admit(&mut self, now: f64, worker: usize) {
        while self.decode[worker].len() + self.transferring[worker] < self.mix.slots {
            if self.decode[worker].down {
                return;
            }
            let Some(id) = self.waiting[worker].pop_front() else { return };
            let request = &mut self.requests[id];
            if request.step != Step::Ready || request.worker != worker {
                continue;
            }
            request.step = Step::Transfer;
            let (tries, prompt) = (request.tries, f64::from(request.record.arrival.prompt));
            self.transferring[worker] += 1;
            let fake = &mut self.decode[worker];
            let end = match fake.stalled {
                true => now + STALL_LIMIT,
                false => {
                    fake.link_free = fake.link_free.max(now) + prompt / self.mix.link_rate;
                    fake.link_free
                }
            };
            self.timeline.add(end, BaselineEvent::Transferred(id, worker, tries));
        }
    }

    fn evict(&mut self, now: f64, id: usize, tries: u32) {
        let request = &self.requests[id];
        if request.step == Step::Ready && request.tries == tries {
            self.waste(id);
            self.queue_prefill(now, id);
        }
    }

    fn waste(&mut self, id: usize) {
        self.wasted += f64::from(self.requests[id].record.arrival.prompt);
    }

    fn transferred(&mut self, now: f64, id: usize, worker: usize, tries: u32) {
        self.transferring[worker] = self.transferring[worker].saturating_sub(1);
        let current = self.requests[id].tries == tries && self.requests[id].step == Step::Transfer;
        if !current || self.decode[worker].down || self.decode[worker].stalled {
            if current {
                self.waste(id);
                self.queue_prefill(now, id);
            }
            return self.admit(now, worker);
        }
        let answer = self.requests[id].record.arrival.answer;
        self.requests[id].step = Step::Run;
        self.decode[worker].start(self.mix, now, id as u64, answer);
        let first = self.mix.token_time(self.decode[worker].len());
        self.timeline.add(now + first, BaselineEvent::FirstToken(id, tries));
        self.predict(worker);
    }

    fn predict(&mut self, worker: usize) {
        let fake = &self.decode[worker];
        if let Some((_, end)) = fake.next_end(self.mix) {
            let version = fake.version;
            self.timeline.add(end, BaselineEvent::RunEnd { worker, version });
        }
    }

    fn end_run(&mut self, now: f64, worker: usize, version: u64) {
        let ended = self.decode[worker].end_predicted(self.mix, now, version);
        let Some(id) = ended else { return };
        let request = &mut self.requests[id as usize];
        request.step = Step::Over;
        request.record.finished = Some(now);
        self.predict(worker);
        self.admit(now, worker);
    }

    fn report(&mut self, now: f64) {
        for (worker, fake) in self.decode.iter().enumerate() {
            self.reported[worker] = fake.len() + self.waiting[worker].len();
        }
        if now < DURATION + TAIL {
            self.timeline.add(now + REPORT_LAG, BaselineEvent::Report);
        }
    }

    fn give_up(&mut self, now: f64, id: usize) {
        let step = std::mem::replace(&mut self.requests[id].step, Step::Over);
        let worker = self.requests[id].worker;
        match step {
            Step::Over => return,
            Step::Run => {
                self.decode[worker].stop(self.mix, now, id as u64);
                self.predict(worker);
                self.admit(now, worker);
            }
            Step::Ready | Step::Transfer => self.waste(id),
            Step::Prefill => {}
        }
        self.requests[id].record.refused = Some(now);
    }

    fn lose(&mut self, now: f64) {
        self.decode[0].down = true;
        for id in self.decode[0].clear() {
            self.requests[id as usize].record.first_token = None;
            self.queue_prefill(now, id as usize);
        }
    }
}
