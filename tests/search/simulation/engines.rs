//! The engines of the simulation: runs that start, produce tokens, fail and are cancelled.

use super::{EngineRun, OUTPUT_TOKENS, PendingCancel, Simulation};
use apricotrun::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use apricotrun::coordination::messages::ReleaseOutcome;
use apricotrun::coordination::shard::ShardEvent;
use apricotrun::prelude::*;

impl Simulation {
    pub(super) fn start_run(&mut self, attempt: AttemptId, from: u32, prefill: bool) {
        if self.cancelled.contains(&attempt) {
            let failure = UpstreamFailure::Broken;
            let event = match prefill {
                true => FlowEvent::PrefillFailed(attempt.clone(), failure),
                false => FlowEvent::RunFailed(attempt.clone(), failure),
            };
            return self.handle_flow_event(&attempt.request, event);
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.started_runs += u32::from(!prefill);
            request.may_have_run |= !prefill;
        }
        self.runs.insert(attempt, EngineRun { from, prefill, sent: from });
    }

    pub(super) fn pick_run(&self, pick: usize, prefill: bool) -> Option<AttemptId> {
        let runs = self.runs.iter().filter(|(_, run)| run.prefill == prefill);
        let runs: Vec<_> = runs.map(|(attempt, _)| attempt).collect();
        runs.get(pick % runs.len().max(1)).map(|attempt| (*attempt).clone())
    }

    pub(super) fn finish_prefill(&mut self, pick: usize) {
        if let Some(attempt) = self.pick_run(pick, true) {
            self.runs.remove(&attempt);
            let handle = KvHandle(attempt.to_string());
            self.handle_flow_event(
                &attempt.request.clone(),
                FlowEvent::PrefillDone(attempt, handle),
            );
        }
    }

    pub(super) fn send_token(&mut self, pick: usize, again: bool) {
        let Some(attempt) = self.pick_run(pick, false) else { return };
        let Some(run) = self.runs.get_mut(&attempt) else { return };
        let index = match again {
            true if run.sent > run.from => run.sent - 1,
            false if run.sent < OUTPUT_TOKENS => {
                run.sent += 1;
                run.sent - 1
            }
            _ => return,
        };
        let text = format!("{}/{index}", attempt.request);
        let request_id = attempt.to_string();
        let token = FlowEvent::Token { attempt: attempt.clone(), index, request_id, text };
        self.handle_flow_event(&attempt.request, token);
    }

    pub(super) fn end_run(&mut self, pick: usize) {
        let Some(attempt) = self.pick_run(pick, false) else { return };
        if self.runs[&attempt].sent == OUTPUT_TOKENS {
            self.runs.remove(&attempt);
            self.handle_flow_event(
                &attempt.request.clone(),
                FlowEvent::RunEnded(attempt, OUTPUT_TOKENS),
            );
        }
    }

    pub(super) fn fail_run(&mut self, pick: usize, failure: u8) {
        let prefill = failure >= 4;
        let Some(attempt) = self.pick_run(pick, prefill) else { return };
        let run = self.runs.remove(&attempt).expect("the run");
        let failure = match failure % 4 {
            0 => UpstreamFailure::Broken,
            1 => UpstreamFailure::Died,
            // Only a run without a token can be rejected for lack of capacity.
            2 if run.sent == run.from => UpstreamFailure::Full,
            _ => UpstreamFailure::Failed,
        };
        if let (UpstreamFailure::Full, false) = (failure, prefill)
            && let Some(request) = self.requests.get_mut(&attempt.request)
        {
            request.started_runs -= 1;
            request.may_have_run = request.started_runs > 0;
        }
        let event = match prefill {
            true => FlowEvent::PrefillFailed(attempt.clone(), failure),
            false => FlowEvent::RunFailed(attempt.clone(), failure),
        };
        self.handle_flow_event(&attempt.request, event);
    }

    pub(super) fn cancel(&mut self, pick: usize) {
        if self.cancels.is_empty() {
            return;
        }
        let pending = self.cancels.remove(pick % self.cancels.len()).expect("a cancel");
        match pending {
            PendingCancel::Entry(attempt) => {
                let entry = self.entry_of(&attempt.request);
                if self.alive[entry] {
                    self.cancel_at_engines(&attempt);
                    self.release(entry, attempt, ReleaseOutcome::Cancelled);
                }
            }
            PendingCancel::Owner { owner, upstream, attempt } => {
                self.cancel_at_engines(&attempt);
                self.handle_shard_event(owner, ShardEvent::CancelConfirmed(attempt, upstream));
            }
        }
    }

    pub(super) fn cancel_at_engines(&mut self, attempt: &AttemptId) {
        self.cancelled.insert(attempt.clone());
        if let Some(run) = self.runs.remove(attempt) {
            // The connection of a cancelled run ends; its entry daemon may still be alive.
            let failure = UpstreamFailure::Broken;
            let event = match run.prefill {
                true => FlowEvent::PrefillFailed(attempt.clone(), failure),
                false => FlowEvent::RunFailed(attempt.clone(), failure),
            };
            self.handle_flow_event(&attempt.request, event);
        }
    }
}
