//! What requests do at the model's engines: prompts, transfers and tokens over time.

use super::{HOP, PROGRESS, World, WorldEvent, decode_index};
use apricotrun::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use apricotrun::prelude::*;
use std::net::SocketAddr;

impl World<'_> {
    pub(super) fn start_prefill(&mut self, now: f64, id: u64, attempt: AttemptId) {
        let Some(request) = self.flows.get_mut(&id) else { return };
        let prompt = f64::from(self.records[request.record].arrival.prompt);
        self.prefilled += prompt;
        // A result that was kept for another try and is computed anew was wasted after all.
        if std::mem::take(&mut request.prefilled) {
            self.wasted += prompt;
        }
        let event = FlowEvent::PrefillDone(attempt, KvHandle(String::new()));
        let done = now + prompt / self.mix.prefill_rate;
        request.computed = done;
        self.timeline.add(done, WorldEvent::ToFlow(id, event));
    }

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
        let fake = &mut self.decode[worker];
        if fake.down {
            let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::NothingSent);
            return self.timeline.add(now + HOP, WorldEvent::ToFlow(id, failed));
        }
        if fake.stalled {
            return;
        }
        let begin = fake.link_free.max(now);
        if begin > request.computed + self.mix.eviction {
            let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::Broken);
            return self.timeline.add(begin, WorldEvent::ToFlow(id, failed));
        }
        fake.link_free = begin + f64::from(arrival.prompt) / self.mix.link_rate;
        let tokens = arrival.answer - from;
        let event = WorldEvent::Transferred { worker, attempt, tokens, from };
        self.timeline.add(fake.link_free, event);
    }

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
        self.timeline.add(now + first, WorldEvent::Progress { worker, id });
        self.predict(worker);
    }

    pub(super) fn predict(&mut self, worker: usize) {
        let fake = &self.decode[worker];
        if let Some((_, end)) = fake.next_end(self.mix) {
            let version = fake.version;
            self.timeline.add(end, WorldEvent::RunEnd { worker, version });
        }
    }

    /// Passes on the tokens that a run has made since the last time.
    pub(super) fn progress(&mut self, now: f64, worker: usize, id: u64) {
        let Some(made) = self.decode[worker].progress(self.mix, now, id) else { return };
        self.pass_tokens(now, id, made);
        if self.flows.contains_key(&id) {
            self.timeline.add(now + PROGRESS, WorldEvent::Progress { worker, id });
        }
    }

    pub(super) fn pass_tokens(&mut self, now: f64, id: u64, made: u32) {
        let Some(request) = self.flows.get(&id) else { return };
        let (Some(attempt), record) = (request.attempt.clone(), request.record) else { return };
        let (next, end) = (request.flow.tokens(), request.from + made);
        for index in next..end {
            self.records[record].first_token.get_or_insert(now);
            let (attempt, request_id) = (attempt.clone(), attempt.to_string());
            let token = FlowEvent::Token { attempt, index, request_id, text: String::new() };
            self.feed_flow_quietly(now, id, token);
        }
        if next < end
            && let Some(request) = self.flows.get_mut(&id)
        {
            request.prefilled = false;
        }
    }

    /// Feeds an event without asking for another tick, which a later event asks for.
    pub(super) fn feed_flow_quietly(&mut self, now: f64, id: u64, event: FlowEvent) {
        let at = self.instant(now);
        let Some(request) = self.flows.get_mut(&id) else { return };
        for action in request.flow.handle(at, event) {
            self.carry_out(now, id, action);
        }
    }

    pub(super) fn end_run(&mut self, now: f64, worker: usize, version: u64) {
        let ended = self.decode[worker].end_predicted(self.mix, now, version);
        let Some(id) = ended else { return };
        self.predict(worker);
        let Some(request) = self.flows.get_mut(&id) else { return };
        request.run = None;
        let total = self.records[request.record].arrival.answer;
        let made = total - request.from;
        let attempt = request.attempt.clone();
        self.pass_tokens(now, id, made);
        if let Some(attempt) = attempt {
            self.feed_flow(now, id, FlowEvent::RunEnded(attempt, total));
        }
    }

    pub(super) fn lose_worker(&mut self, now: f64) {
        self.decode[0].down = true;
        for id in self.decode[0].clear() {
            let Some(request) = self.flows.get_mut(&id) else { continue };
            request.run = None;
            if let Some(attempt) = request.attempt.clone() {
                let failed = FlowEvent::RunFailed(attempt, UpstreamFailure::Died);
                self.timeline.add(now + HOP, WorldEvent::ToFlow(id, failed));
            }
        }
    }
}
