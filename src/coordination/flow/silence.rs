//! What becomes of a run whose upstream is silent.
//!
//! A silent upstream may go on at any time. A caller that has a part of a stream is therefore not cut
//! off for its silence: the run is kept until another upstream is granted, and to its end if none may be.
//! See docs/design/answers.md, "Silent upstreams".

use super::attempts::MAX_ATTEMPTS;
use super::{
    ADMISSION_RETRY, AdmissionMode, FlowAction, FlowStage, PROBE_TIMEOUT, RequestFlow,
    UpstreamFailure,
};
use crate::coordination::messages::{GrantMessage, ReleaseOutcome, ShardMessage};
use crate::prelude::*;

/// A search for an upstream that takes over from a silent one.
#[derive(Debug)]
pub(super) struct ReplacementSearch {
    /// The number of the attempt that upstreams are requested for.
    attempt: u32,
    /// The index of the failure domain that is asked.
    domain_index: usize,
    /// When the next failure domain is asked.
    pub(super) next_send: Instant,
}

impl RequestFlow {
    /// Handles a tick of an active attempt.
    pub(super) fn handle_silence(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Active(active) = &self.stage else { return };
        let (running, attempt) = (active.running, active.grant.claim.attempt.clone());
        match &active.replacement {
            Some(search) if search.next_send <= now => self.ask_next_for_replacement(now, out),
            None if active.stall_deadline <= now => {
                let stalled = UpstreamFailure::Stalled;
                match running {
                    false => {
                        let lost = ReleaseOutcome::PrefillLost;
                        self.fail_attempt(now, &attempt, stalled, lost, out);
                    }
                    true if self.tokens() > 0 => self.seek_replacement(now, out),
                    true => {
                        let lost = ReleaseOutcome::RunnerLost;
                        self.fail_attempt(now, &attempt, stalled, lost, out);
                    }
                }
            }
            _ => {}
        }
    }

    fn seek_replacement(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let may_run_again =
            self.runs + 1 < self.spec.max_runs && self.attempts_started < MAX_ATTEMPTS;
        let (may_move, deadline) = (may_run_again && self.take_retry(now), self.spec.deadline);
        let attempt = self.last_attempt + 1;
        let FlowStage::Active(active) = &mut self.stage else { return };
        if may_move {
            let next_send = now + PROBE_TIMEOUT;
            active.replacement = Some(ReplacementSearch { attempt, domain_index: 0, next_send });
            self.last_attempt = attempt;
            self.ask_for_replacement(now, out);
        } else {
            let ask_again = now + ADMISSION_RETRY;
            active.stall_deadline = if may_run_again { ask_again } else { deadline };
        }
        if !std::mem::replace(&mut self.silence_reported, true) {
            out.push(FlowAction::UpstreamSilent { may_move });
        }
    }

    /// Asks the owner of a failure domain for an upstream other than the silent one.
    fn ask_for_replacement(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Active(active) = &self.stage else { return };
        let Some(search) = &active.replacement else { return };
        let attempt = AttemptId { request: self.spec.id.clone(), attempt: search.attempt };
        let mut avoid = self.avoid.clone();
        avoid.push(active.grant.claim.runner.clone());
        let domain = self.spec.domains[search.domain_index].clone();
        let request = self.build_admission_request(now, true, attempt, avoid);
        out.push(FlowAction::Send(domain, ShardMessage::RequestAdmission(request)));
    }

    /// Asks the next failure domain, or ends the search after the last one; it begins again soon.
    fn ask_next_for_replacement(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Active(active) = &mut self.stage else { return };
        let Some(search) = &mut active.replacement else { return };
        if search.domain_index + 1 >= self.spec.domains.len() {
            active.replacement = None;
            active.stall_deadline = now + ADMISSION_RETRY;
            return;
        }
        search.domain_index += 1;
        search.next_send = now + PROBE_TIMEOUT;
        self.ask_for_replacement(now, out);
    }

    /// Handles a message of an owner if it concerns the search for another upstream, and returns it
    /// otherwise.
    pub(super) fn handle_search_message(
        &mut self,
        now: Instant,
        domain: &DomainName,
        message: ShardMessage,
        out: &mut Vec<FlowAction>,
    ) -> Option<ShardMessage> {
        let FlowStage::Active(active) = &self.stage else { return Some(message) };
        let Some(search) = &active.replacement else { return Some(message) };
        let sought = AttemptId { request: self.spec.id.clone(), attempt: search.attempt };
        let is_asked = self.spec.domains.get(search.domain_index) == Some(domain);
        match message {
            ShardMessage::Grant(grant) if grant.claim.attempt == sought => {
                self.replace_run(now, domain.clone(), grant, out);
            }
            ShardMessage::Refuse(attempt, _) | ShardMessage::RefuseHere(attempt, ..)
                if attempt == sought =>
            {
                if is_asked {
                    self.ask_next_for_replacement(now, out);
                }
            }
            ShardMessage::Queued(attempt) | ShardMessage::Waiting(attempt) if attempt == sought => {
                // The silent run is kept in place of a place in a queue.
                let withdrawal = ShardMessage::Withdraw(attempt);
                out.push(FlowAction::Send(domain.clone(), withdrawal));
                if is_asked {
                    self.ask_next_for_replacement(now, out);
                }
            }
            message => return Some(message),
        }
        None
    }

    /// Gives up the silent run for another upstream.
    fn replace_run(
        &mut self,
        now: Instant,
        domain: DomainName,
        grant: GrantMessage,
        out: &mut Vec<FlowAction>,
    ) {
        let is_other_version =
            self.software.as_ref().is_some_and(|software| *software != grant.runner_software);
        if is_other_version {
            self.release_grant(domain, grant, out);
            return self.ask_next_for_replacement(now, out);
        }
        let silent = self.current_attempt();
        let lost = ReleaseOutcome::RunnerLost;
        if !self.end_attempt(now, &silent, UpstreamFailure::Stalled, lost, out) {
            return self.release_grant(domain, grant, out);
        }
        self.silence_reported = false;
        self.attempt = grant.claim.attempt.attempt;
        let position = self.spec.domains.iter().position(|known| *known == domain);
        self.domain_index = position.unwrap_or_default();
        self.stage = FlowStage::Admission {
            since: now,
            acknowledged: true,
            next_send: now,
            mode: AdmissionMode::Probing,
        };
        self.handle_grant(now, domain, grant, out);
    }
}
