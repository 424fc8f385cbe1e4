//! What would become of a request now, without admitting it.

use super::{ShardLedger, ShardRole};
use crate::coordination::messages::AdmissionRequest;
use crate::coordination::shard::queue::WaitingRequest;
use crate::prelude::*;
use serde::Serialize;

/// What the owner of a shard would do with a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "decision")]
pub enum PreviewDecision {
    /// Grant it these upstreams at once.
    Grant {
        /// The prefill worker that would compute the prompt, if one would.
        prefill: Option<UpstreamName>,
        /// The decode worker or plain upstream.
        runner: UpstreamName,
    },
    /// Queue it.
    Wait {
        /// How long it is expected to wait, in milliseconds.
        expected_ms: u64,
        /// After how long it would be refused, in milliseconds.
        longest_ms: u64,
    },
    /// Refuse it at once.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// How long it would have to wait for room, in milliseconds, if that is the reason.
        expected_ms: Option<u64>,
    },
}

/// An upstream that was compared.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PreviewCandidate {
    /// Whether the request may run there once there is room.
    pub accepts: bool,
    /// Whether there is a slot and memory for the request now.
    pub has_room: bool,
    /// The upstream.
    pub name: UpstreamName,
    /// What it does.
    pub role: UpstreamRole,
    /// The number of slots in use.
    pub slots: u32,
    /// The number of slots.
    pub slots_of: Slots,
    /// Whether it takes requests now: it is neither draining nor backing off.
    pub usable: bool,
}

/// What would become of a request at the owner of a shard, and what that was decided on. The figures are
/// the owner's own and of this moment, except for the room in other failure domains.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacementPreview {
    /// The upstreams that were compared.
    pub candidates: Vec<PreviewCandidate>,
    /// What would happen.
    #[serde(flatten)]
    pub decision: PreviewDecision,
    /// The requests that wait for upstreams of the shard.
    pub waiting: usize,
}

impl ShardLedger {
    /// Returns what this owner would do with a request; `None` if this daemon does not own the shard, or
    /// does not know yet what runs there. The decision is made by the code that admits requests.
    pub fn preview(&self, now: Instant, request: &AdmissionRequest) -> Option<PlacementPreview> {
        let template = self.template.clone()?;
        if self.role != ShardRole::Owner || !self.may_grant(now) {
            return None;
        }
        Some(PlacementPreview {
            candidates: self.pool.compare(now, request, self.memory_need(&template, request)),
            decision: self.preview_decision(now, &template, request),
            waiting: self.queue.len(),
        })
    }

    fn preview_decision(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        request: &AdmissionRequest,
    ) -> PreviewDecision {
        if let Err(refusal) = self.check_request(now, template, request) {
            return PreviewDecision::Refuse { reason: refusal.reason, expected_ms: None };
        }
        let longest = self.queue_timeout(template, request);
        let waiting = WaitingRequest {
            request: request.clone(),
            from: request.attempt.request.entry.clone(),
            latest_start: now + longest,
            leaves_at: None,
        };
        let quota = self.quotas[&request.account];
        if self.goes_first(now, &quota, &waiting) {
            let need = self.memory_need(template, request);
            if let Some(grant) = self.pool.place(now, request, need, template, &self.prefixes) {
                let claim = grant.claim;
                return PreviewDecision::Grant { prefill: claim.prefill, runner: claim.runner };
            }
        }
        let expected = self.expected_wait(now, template, &waiting);
        let expected_ms = expected.as_millis() as u64;
        match expected <= longest || request.resuming {
            true => PreviewDecision::Wait { expected_ms, longest_ms: longest.as_millis() as u64 },
            false => PreviewDecision::Refuse {
                reason: RefusalReason::Overloaded,
                expected_ms: Some(expected_ms),
            },
        }
    }
}
