//! The simulated engines: prefills, transfers and decode runs of requests over time.

use super::{MESSAGE_LATENCY, PROGRESS_PERIOD, PolicySimulation, SimulationEvent, decode_index};
use apricotrun::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use apricotrun::prelude::*;
use std::net::SocketAddr;

impl PolicySimulation<'_> {
    pub(super) fn start_prefill(&mut self, now: f64, id: u64, attempt: AttemptId) {
        let Some(request) = self.flows.get_mut(&id) else { return };
        let prompt = f64::from(self.records[request.record].arrival.prompt);
        self.prefilled_tokens += prompt;
        // A prefill result that was stored for reuse is wasted if the prompt is prefilled again.
        if std::mem::take(&mut request.prefilled) {
            self.wasted_tokens += prompt;
        }
        let event = FlowEvent::PrefillDone(attempt, KvHandle(String::new()));
        let done = now + prompt / self.mix.prefill_rate;
        request.prefilled_at = done;
        self.timeline.add(done, SimulationEvent::EventToFlow(id, event));
    }

    /// Queues the transfer of a prefill result on the link into a decode worker. The run fails if
    /// the worker is down or the result is evicted before its turn; a stalled link never completes
    /// it.
    pub(super) fn start_transfer(
        &mut self,
        now: f64,
        id: u64,
        attempt: AttemptId,
        address: SocketAddr,
        from: u32,
    ) {
        let Some(request) = self.flows.get_mut(&id) else { return };
        let Some(worker) = decode_index(address) else { return };
        request.prefilled = true;
        request.run = Some(worker);
        request.from = from;
        let arrival = self.records[request.record].arrival;
        let simulator = &mut self.decode[worker];
        if simulator.down {
            let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::NothingSent);
            return self
                .timeline
                .add(now + MESSAGE_LATENCY, SimulationEvent::EventToFlow(id, failed));
        }
        if simulator.stalled {
            return;
        }
        let begin = simulator.link_free_at.max(now);
        if begin > request.prefilled_at + self.mix.eviction {
            let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::Broken);
            return self.timeline.add(begin, SimulationEvent::EventToFlow(id, failed));
        }
        simulator.link_free_at = begin + f64::from(arrival.prompt) / self.mix.link_rate;
        let tokens = arrival.output - from;
        let event = SimulationEvent::Transferred { worker, attempt, tokens, from };
        self.timeline.add(simulator.link_free_at, event);
    }

    /// Starts a run whose transfer is complete, unless its attempt is outdated or the worker is
    /// down.
    pub(super) fn start_decoding(
        &mut self,
        now: f64,
        worker: usize,
        attempt: &AttemptId,
        tokens: u32,
        from: u32,
    ) {
        let id = attempt.request.sequence;
        let Some(request) = self.flows.get_mut(&id) else { return };
        let current = request.attempt.as_ref() == Some(attempt) && request.run == Some(worker);
        if !current || self.decode[worker].down || request.from != from {
            return;
        }
        self.decode[worker].start(self.mix, now, id, tokens);
        let first = self.mix.token_time(self.decode[worker].len());
        self.timeline.add(now + first, SimulationEvent::Progress { worker, id });
        self.schedule_run_end(worker);
    }

    /// Schedules the end of the worker's next run to complete, as of the current runs.
    pub(super) fn schedule_run_end(&mut self, worker: usize) {
        let simulator = &self.decode[worker];
        if let Some((_, end)) = simulator.next_end(self.mix) {
            let version = simulator.version;
            self.timeline.add(end, SimulationEvent::RunEnd { worker, version });
        }
    }

    /// Passes the tokens that a run has generated since the last call to its flow, and schedules
    /// the next call.
    pub(super) fn progress(&mut self, now: f64, worker: usize, id: u64) {
        let Some(generated) = self.decode[worker].progress(self.mix, now, id) else { return };
        self.emit_tokens(now, id, generated);
        if self.flows.contains_key(&id) {
            self.timeline.add(now + PROGRESS_PERIOD, SimulationEvent::Progress { worker, id });
        }
    }

    /// Passes to a flow those of the first `generated` tokens of its current run that it has not
    /// received yet.
    pub(super) fn emit_tokens(&mut self, now: f64, id: u64, generated: u32) {
        let Some(request) = self.flows.get(&id) else { return };
        let (Some(attempt), record) = (request.attempt.clone(), request.record) else { return };
        let (next, end) = (request.flow.tokens(), request.from + generated);
        for index in next..end {
            self.records[record].first_token.get_or_insert(now);
            let (attempt, request_id) = (attempt.clone(), attempt.to_string());
            let token = FlowEvent::Token { attempt, index, request_id, text: String::new() };
            self.handle_flow_event_without_wake(now, id, token);
        }
        if next < end
            && let Some(request) = self.flows.get_mut(&id)
        {
            request.prefilled = false;
        }
    }

    /// Lets a flow handle an event without scheduling its next tick, which a later event does.
    pub(super) fn handle_flow_event_without_wake(&mut self, now: f64, id: u64, event: FlowEvent) {
        let at = self.instant(now);
        let Some(request) = self.flows.get_mut(&id) else { return };
        for action in request.flow.handle(at, event) {
            self.execute(now, id, action);
        }
    }

    /// Completes the run that was predicted to end now, if the prediction still holds.
    pub(super) fn end_run(&mut self, now: f64, worker: usize, version: u64) {
        let ended = self.decode[worker].end_predicted(self.mix, now, version);
        let Some(id) = ended else { return };
        self.schedule_run_end(worker);
        let Some(request) = self.flows.get_mut(&id) else { return };
        request.run = None;
        let total = self.records[request.record].arrival.output;
        let generated = total - request.from;
        let attempt = request.attempt.clone();
        self.emit_tokens(now, id, generated);
        if let Some(attempt) = attempt {
            self.handle_flow_event(now, id, FlowEvent::RunEnded(attempt, total));
        }
    }

    /// Takes the first decode worker out of service and fails its runs.
    pub(super) fn fail_worker(&mut self, now: f64) {
        self.decode[0].down = true;
        for id in self.decode[0].clear() {
            let Some(request) = self.flows.get_mut(&id) else { continue };
            request.run = None;
            if let Some(attempt) = request.attempt.clone() {
                let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::Died);
                self.timeline.add(now + MESSAGE_LATENCY, SimulationEvent::EventToFlow(id, failed));
            }
        }
    }
}
