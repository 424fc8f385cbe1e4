//! Requests that leave the failure domain, as its owner decides.

use super::{ShardAction, ShardLedger};
use crate::coordination::messages::ShardMessage;
use crate::coordination::shard::leaving::RoomReport;
use crate::coordination::shard::queue::WaitingRequest;
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::BTreeSet;

/// The maximum number of waiting requests that are considered at a time.
const MAX_ADVISED: usize = 16;

impl ShardLedger {
    /// Returns the cost of leaving if this owner decides when requests of an entry daemon leave; `None`
    /// if the entry daemon asks other failure domains by itself.
    pub(super) fn leaving_cost(&self, now: Instant, from: &DaemonId) -> Option<Duration> {
        let cost = self.template.as_ref()?.leaving_cost?;
        (self.local.contains(from) && self.leaving.is_informed(now)).then_some(cost)
    }

    /// Queues a request of this failure domain that finds no room, or refuses it if it could not start
    /// in time. [`ShardLedger::advise_waiting`] says later whether it leaves.
    pub(super) fn keep_or_refuse(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        quota: &AccountQuota,
        waiting: WaitingRequest,
        cost: Duration,
    ) -> ShardMessage {
        if let Some(refusal) = self.refuse_if_too_late(now, template, &waiting) {
            let waiting = WaitingRequest { leaves_at: Some(now), ..waiting };
            return self.refuse_here(now, &waiting, refusal);
        }
        let expected = self.expected_wait(now, template, &waiting);
        let leaves_at = if expected > cost { now } else { now + cost };
        let attempt = waiting.request.attempt.clone();
        let waiting = WaitingRequest { leaves_at: Some(leaves_at), ..waiting };
        self.queue.push(waiting, quota);
        ShardMessage::Waiting(attempt)
    }

    /// Returns the refusal of a request, which may ask other failure domains first if it could leave.
    pub(super) fn refuse_here(
        &mut self,
        now: Instant,
        waiting: &WaitingRequest,
        refusal: Refusal,
    ) -> ShardMessage {
        let attempt = waiting.request.attempt.clone();
        if waiting.leaves_at.is_none() {
            return ShardMessage::Refuse(attempt, refusal);
        }
        let domain = self.leaving.choose(now, &attempt, waiting.request.is_late());
        ShardMessage::RefuseHere(attempt, refusal, domain)
    }

    /// Names another failure domain to the waiting requests for which leaving pays now, as long as
    /// there is room.
    pub(super) fn advise_waiting(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        let pays = |waiting: &&WaitingRequest| waiting.leaves_at.is_some_and(|at| at <= now);
        let leaving = self.queue.by_expiry().filter(pays).take(MAX_ADVISED);
        let leaving: Vec<_> = leaving
            .map(|waiting| {
                let request = &waiting.request;
                (waiting.from.clone(), request.attempt.clone(), request.is_late())
            })
            .collect();
        for (from, attempt, is_late) in leaving {
            if let Some(domain) = self.leaving.choose(now, &attempt, is_late) {
                let advice = ShardMessage::TryDomain(attempt, domain);
                actions.push(ShardAction::Send(from, advice));
            }
        }
    }

    /// Tells the owners in other failure domains how much room there is here.
    pub(super) fn report_room(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        let Some(template) = self.template.clone().filter(|t| t.leaving_cost.is_some()) else {
            return;
        };
        let need = self.typical_need(&template);
        let room = |is_free: bool, late| match is_free && self.may_grant(now) {
            true => self.pool.starts(now, need, late),
            false => 0,
        };
        let report = RoomReport {
            starts: room(self.queue.on_time_len() == 0, false),
            spare: room(self.queue.len() == 0, true),
        };
        if !self.leaving.is_report_due(now, report) {
            return;
        }
        let upstreams = template.upstreams.iter();
        let others = upstreams.map(|upstream| &upstream.domain).filter(|d| **d != self.domain);
        for domain in others.collect::<BTreeSet<_>>() {
            let message = ShardMessage::Room(self.domain.clone(), report);
            actions.push(ShardAction::SendToOwner(domain.clone(), message));
        }
    }
}
