//! What the registry does when the store returns from an older copy of its content: what this daemon
//! knows prevails until the upstreams have had time to write their records again.

use super::{RegistryChange, UpstreamRecord, UpstreamRegistry};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long after the store's return from an older copy a record of that copy that contradicts what
/// is known is not used. By then a living upstream has written its record again, and the record of
/// one that is gone has expired.
const COPY_QUARANTINE: Duration = Duration::from_secs(6);
/// How long after the store's return from an older copy no role plan is made or begun: the orders
/// of a plan that the store has lost may still be under way. It covers the time in which a plan's
/// orders are sent, the timeout of an order, and the time between the orders of two holders.
const RETURN_HOLDOFF: Duration = Duration::from_secs(20);

impl UpstreamRegistry {
    /// Begins the time in which the copy's records do not prevail. `stored_plans` are the services
    /// that have a role plan in the copy.
    pub(super) fn begin_return(&mut self, now: Instant, stored_plans: &BTreeSet<ServiceName>) {
        self.restored_at = Some(now);
        self.store_lost = false;
        self.deferred_until = Some(now + COPY_QUARANTINE);
        self.hold_plans(now);
        let lost = self.plans.iter_mut().filter(|(name, _)| !stored_plans.contains(*name));
        lost.for_each(|(_, plan)| plan.mark_lost());
    }

    /// Lets no role plan be made or begun for a while.
    pub(super) fn hold_plans(&mut self, now: Instant) {
        self.plans_held_until = Some(now + RETURN_HOLDOFF);
    }

    /// Merges the records of an older copy of the store. Those that contradict what is known are
    /// deferred; an upstream that the copy lacks is used until it should have registered again.
    pub(super) fn merge_copy(
        &mut self,
        now: Instant,
        records: BTreeMap<UpstreamName, UpstreamRecord>,
        changes: &mut Vec<RegistryChange>,
    ) {
        self.deferred.clear();
        let missing = self.entries.keys().filter(|name| !records.contains_key(*name));
        let missing: Vec<_> = missing.cloned().collect();
        missing.iter().for_each(|name| self.remove(now, name, changes));
        for (name, record) in records {
            let entry = self.entries.get(&name);
            let expires = entry.is_some_and(|entry| entry.expires_at.is_some());
            match entry.map(|entry| &entry.record) {
                Some(known) if *known == record && !expires => {}
                // An upstream that is draining does not take requests again in this incarnation.
                Some(known) if known.draining && record.incarnation <= known.incarnation => {}
                // It is never wrong to stop using an upstream that says that it is draining.
                Some(known) if record.draining && record.incarnation == known.incarnation => {
                    self.write(name, record, changes);
                }
                Some(known) if record.incarnation <= known.incarnation => {
                    self.deferred.insert(name, record);
                }
                None if self.has_departed(&name, record.incarnation) => {
                    self.deferred.insert(name, record);
                }
                _ => self.write(name, record, changes),
            }
        }
    }

    fn has_departed(&self, name: &UpstreamName, incarnation: Incarnation) -> bool {
        self.departures.get(name).is_some_and(|(departed, _)| incarnation <= *departed)
    }

    /// Uses the deferred records that have not been replaced by newer ones in time.
    pub(super) fn use_deferred(&mut self, now: Instant, changes: &mut Vec<RegistryChange>) {
        if self.deferred_until.is_some_and(|until| now >= until) {
            self.deferred_until = None;
            for (name, record) in std::mem::take(&mut self.deferred) {
                self.write(name, record, changes);
            }
        }
    }
}
