//! The registry of upstreams, which register themselves in the platform's store.
//!
//! An upstream whose record disappears is gone, except right after an outage of the store: during
//! an outage, records expire although their upstreams are alive, and the upstreams register again
//! shortly after it. A store that returns from an older copy shows upstreams as they were then;
//! what this daemon knows of them prevails until they have had time to register again. See
//! docs/PLATFORM.md, "Upstreams", and docs/DESIGN.md, "Store eras".

mod returns;

use crate::coordination::notices::{NoticeBoard, UpstreamNotice};
use crate::coordination::roles::{ObservedPlan, PlanDecision, PlanRecord};
use crate::coordination::upstream_lifetimes::RecordedLifetime;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time after the store is restored within which an upstream registers again if its record
/// expired during the outage. The platform specifies this limit.
const REREGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after the store is restored in which a removed record counts as expired during the
/// outage: about the interval at which the store is read.
const OUTAGE_GRACE: Duration = Duration::from_millis(1_200);
/// How long the incarnations of upstreams that are gone are remembered; a copy from which the store
/// returns is some seconds old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);

/// The registration of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// The address at which the upstream serves HTTP.
    pub address: SocketAddr,
    /// Distinguishes successive processes that register under the same name.
    pub incarnation: Incarnation,
    /// The failure domain that the upstream is in.
    pub domain: DomainName,
    /// Whether the upstream is about to stop and takes no new requests.
    pub draining: bool,
    /// Whether the upstream does prefill, decoding, or whole requests.
    pub role: UpstreamRole,
    /// The service whose requests the upstream runs.
    pub service: ServiceName,
    /// The number of requests that the upstream runs concurrently.
    pub slots: Slots,
    /// The version of the upstream's software.
    pub software: SoftwareVersion,
}

/// An input of [`UpstreamRegistry::handle`].
#[derive(Clone, Debug)]
pub enum RegistryEvent {
    /// An upstream's record was written.
    Written(UpstreamName, UpstreamRecord),
    /// An upstream's record was removed or cannot be parsed any more.
    Removed(UpstreamName),
    /// The complete set of records. Upstreams that are not in it count as removed.
    Listed(BTreeMap<UpstreamName, UpstreamRecord>),
    /// The store has returned from an older copy.
    Returned {
        /// The services that have a role plan in the copy.
        stored_plans: BTreeSet<ServiceName>,
        /// The complete set of records in the copy.
        upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
    },
    /// An upstream of this incarnation said something about itself in a response.
    Noticed(UpstreamName, Incarnation, UpstreamNotice),
    /// A plan of role changes for the workers of a service.
    Planned(ServiceName, ObservedPlan),
    /// Role plans may not be made or begun for a while, as orders of a plan that the store has lost
    /// may be under way.
    HoldPlans,
    /// A call to the store failed.
    StoreLost,
    /// The store responds again.
    StoreRestored,
    /// A timer fired; expired records are removed.
    Tick,
}

#[derive(Debug)]
struct RegistryEntry {
    /// When the upstream counts as gone, if its record expired during an outage of the store.
    expires_at: Option<Instant>,
    record: UpstreamRecord,
}

/// A change of an upstream, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// The upstream registered, or changed its record, and takes requests.
    Ready(UpstreamName),
    /// The upstream is draining and takes no new requests.
    Draining(UpstreamName),
    /// Another process has registered under the name of the upstream.
    Restarted(UpstreamName),
    /// The upstream's record expired during an outage of the store. It is used on until the time by
    /// which it should have registered again.
    Expired(UpstreamName),
    /// The upstream has been removed from the registry.
    Gone(UpstreamName),
    /// The upstream has said in a response that it is about to stop.
    Leaving(UpstreamName),
    /// The upstream has said in a response that it takes no requests from this daemon for a while.
    Quiet(UpstreamName, Duration),
}

/// This daemon's view of the registered upstreams.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    /// Records of an older copy of the store that are not used yet.
    deferred: BTreeMap<UpstreamName, UpstreamRecord>,
    /// When the records in `deferred` are used, unless the upstreams have written newer ones.
    deferred_until: Option<Instant>,
    /// The incarnations of upstreams that are gone, and when each was removed.
    departures: BTreeMap<UpstreamName, (Incarnation, Instant)>,
    store_lost: bool,
    entries: BTreeMap<UpstreamName, RegistryEntry>,
    notices: NoticeBoard,
    plans: BTreeMap<ServiceName, ObservedPlan>,
    /// Until when no role plan may be made or begun.
    plans_held_until: Option<Instant>,
    /// When the store last came back from an outage.
    restored_at: Option<Instant>,
}

impl UpstreamRegistry {
    /// Processes one event and returns the changes of upstreams.
    pub fn handle(&mut self, now: Instant, event: RegistryEvent) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        // A record that has expired must not be renewed by what an older copy of the store holds.
        self.expire_records(now, &mut changes);
        match event {
            RegistryEvent::Written(name, record) => {
                self.deferred.remove(&name);
                self.write(name, record, &mut changes);
            }
            RegistryEvent::Removed(name) => {
                self.deferred.remove(&name);
                self.remove(now, &name, &mut changes);
            }
            RegistryEvent::Listed(records) => match self.deferred_until {
                Some(_) => self.merge_copy(now, records, &mut changes),
                None => self.list(now, records, &mut changes),
            },
            RegistryEvent::Returned { stored_plans, upstreams } => {
                self.begin_return(now, &stored_plans);
                self.merge_copy(now, upstreams, &mut changes);
            }
            RegistryEvent::Noticed(name, incarnation, notice) => {
                if self.notices.record(now, &name, incarnation, notice) {
                    changes.push(match notice {
                        UpstreamNotice::Leaving => RegistryChange::Leaving(name),
                        UpstreamNotice::Quiet(time) => RegistryChange::Quiet(name, time),
                    });
                }
            }
            RegistryEvent::HoldPlans => self.hold_plans(now),
            RegistryEvent::Planned(service, plan) => {
                self.plans.insert(service, plan);
            }
            RegistryEvent::StoreLost => self.store_lost = true,
            RegistryEvent::StoreRestored => {
                if self.store_lost {
                    self.restored_at = Some(now);
                }
                self.store_lost = false;
            }
            RegistryEvent::Tick => {}
        }
        self.expire_records(now, &mut changes);
        changes
    }

    /// Returns the upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a UpstreamRecord)> {
        let records = self.entries.iter().map(|(name, entry)| (name, &entry.record));
        records.filter(move |(_, record)| record.service == *service)
    }

    /// Returns whether an upstream may be sent new requests at `now`.
    pub fn accepts_requests(&self, now: Instant, name: &UpstreamName) -> bool {
        self.entries.get(name).is_some_and(|entry| {
            let changes = self.is_changing(now, name, &entry.record);
            let forbidden = self.notices.forbids(now, name, entry.record.incarnation);
            let unavailable = entry.record.draining || changes || forbidden;
            !unavailable && entry.expires_at.is_none_or(|until| now < until)
        })
    }

    /// Returns whether an upstream has said in a response that it takes no requests from this
    /// daemon now.
    pub fn is_forbidden(&self, now: Instant, name: &UpstreamName) -> bool {
        let incarnation = self.incarnation_of(name);
        incarnation.is_some_and(|incarnation| self.notices.forbids(now, name, incarnation))
    }

    /// Returns whether an upstream has asked this daemon for a pause that is not over.
    pub fn is_quiet(&self, now: Instant, name: &UpstreamName) -> bool {
        let incarnation = self.incarnation_of(name);
        incarnation.and_then(|known| self.notices.quiet_until(now, name, known)).is_some()
    }

    /// Returns whether an upstream has said in a response that it is about to stop.
    pub fn is_leaving(&self, name: &UpstreamName) -> bool {
        let incarnation = self.incarnation_of(name);
        incarnation.is_some_and(|incarnation| self.notices.is_leaving(name, incarnation))
    }

    /// Returns the upstreams of a service that may not be sent requests because of what they said
    /// in responses. `limited_until` returns until when an upstream's limit forbids it.
    pub fn forbidden_upstreams(
        &self,
        now: Instant,
        service: &ServiceName,
        limited_until: impl Fn(&UpstreamName, Incarnation) -> Option<Instant>,
    ) -> Vec<UpstreamName> {
        let forbidden = self.of_service(service).filter(|(name, record)| {
            let incarnation = record.incarnation;
            self.notices.forbids(now, name, incarnation)
                || limited_until(name, incarnation).is_some()
        });
        forbidden.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the earliest time at which an upstream that could run requests of the service takes
    /// them from this daemon again; `None` if one does now, or if none will. `limited_until` returns
    /// until when an upstream's limit forbids it.
    pub fn quiet_until(
        &self,
        now: Instant,
        service: &ServiceName,
        limited_until: impl Fn(&UpstreamName, Incarnation) -> Option<Instant>,
    ) -> Option<Instant> {
        let runners = self.of_service(service).filter(|(name, record)| {
            let changes = self.is_changing(now, name, record);
            let leaves = record.draining || self.is_leaving(name);
            record.role != UpstreamRole::Prefill && !leaves && !changes
        });
        let quiet = runners
            .map(|(name, record)| {
                let quiet = self.notices.quiet_until(now, name, record.incarnation);
                quiet.max(limited_until(name, record.incarnation))
            })
            .collect::<Option<Vec<_>>>()?;
        quiet.into_iter().min()
    }

    /// Returns whether an upstream gets no requests because it is changing its role.
    pub fn is_changing(&self, now: Instant, name: &UpstreamName, record: &UpstreamRecord) -> bool {
        let plan = self.plans.get(&record.service);
        plan.is_some_and(|plan| plan.is_changing(now, name, record.incarnation, record.role))
    }

    /// Returns the current plan of role changes of a service, unless the store has lost it.
    pub fn plan_of(&self, service: &ServiceName) -> Option<&ObservedPlan> {
        self.plans.get(service).filter(|plan| !plan.is_lost())
    }

    /// Returns what may be done about a service's plan, with the plan that the store holds. A
    /// planner begins its plan `wait` after making it.
    pub fn decide_plan(
        &self,
        now: Instant,
        service: &ServiceName,
        wait: Duration,
    ) -> (PlanDecision, Option<PlanRecord>) {
        let plan = self.plan_of(service);
        let decision = match self.holds_plans(now) {
            true => PlanDecision::Leave,
            false => plan.map_or(PlanDecision::Replace, |plan| plan.decide(now, wait)),
        };
        (decision, plan.map(|plan| plan.record().clone()))
    }

    /// Returns whether no role plan may be made or begun now.
    pub fn holds_plans(&self, now: Instant) -> bool {
        self.plans_held_until.is_some_and(|until| now < until)
    }

    /// Returns the incarnation of an upstream.
    pub fn incarnation_of(&self, name: &UpstreamName) -> Option<Incarnation> {
        self.entries.get(name).map(|entry| entry.record.incarnation)
    }

    /// Returns the incarnation of an upstream and its software version.
    pub fn lifetime_of(&self, name: &UpstreamName) -> Option<RecordedLifetime> {
        let record = &self.entries.get(name)?.record;
        let software = record.software.clone();
        Some(RecordedLifetime { incarnation: record.incarnation, software })
    }

    /// Returns the failure domain and the role of an upstream.
    pub fn location_of(&self, name: &UpstreamName) -> Option<(DomainName, UpstreamRole)> {
        self.entries.get(name).map(|entry| (entry.record.domain.clone(), entry.record.role))
    }

    /// Returns the addresses of all upstreams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|entry| entry.record.address).collect()
    }

    /// Returns the address of an upstream.
    pub fn address_of(&self, name: &UpstreamName) -> Option<SocketAddr> {
        self.entries.get(name).map(|entry| entry.record.address)
    }

    /// Returns the service of an upstream.
    pub fn service_of(&self, name: &UpstreamName) -> Option<ServiceName> {
        self.entries.get(name).map(|entry| entry.record.service.clone())
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn write(
        &mut self,
        name: UpstreamName,
        record: UpstreamRecord,
        changes: &mut Vec<RegistryChange>,
    ) {
        let before = self.entries.get(&name).map(|entry| &entry.record);
        if before.is_some_and(|before| before.incarnation != record.incarnation) {
            changes.push(RegistryChange::Restarted(name.clone()));
        }
        if before != Some(&record) {
            changes.push(match record.draining {
                true => RegistryChange::Draining(name.clone()),
                false => RegistryChange::Ready(name.clone()),
            });
        }
        self.departures.remove(&name);
        self.entries.insert(name, RegistryEntry { expires_at: None, record });
    }

    fn remove(&mut self, now: Instant, name: &UpstreamName, changes: &mut Vec<RegistryChange>) {
        let restored_at = self.restored_at.filter(|at| now < *at + OUTAGE_GRACE);
        let Some(entry) = self.entries.get_mut(name) else { return };
        // An upstream that was draining before the outage does not register again.
        if let (Some(restored_at), false) = (restored_at, entry.record.draining) {
            if entry.expires_at.is_none() {
                entry.expires_at = Some(restored_at + REREGISTER_TIMEOUT);
                changes.push(RegistryChange::Expired(name.clone()));
            }
            return;
        }
        let incarnation = entry.record.incarnation;
        self.entries.remove(name);
        self.departures.insert(name.clone(), (incarnation, now));
        changes.push(RegistryChange::Gone(name.clone()));
    }

    fn list(
        &mut self,
        now: Instant,
        records: BTreeMap<UpstreamName, UpstreamRecord>,
        changes: &mut Vec<RegistryChange>,
    ) {
        let missing = self.entries.keys().filter(|name| !records.contains_key(*name));
        let missing: Vec<_> = missing.cloned().collect();
        missing.iter().for_each(|name| self.remove(now, name, changes));
        records.into_iter().for_each(|(name, record)| self.write(name, record, changes));
    }

    fn expire_records(&mut self, now: Instant, changes: &mut Vec<RegistryChange>) {
        self.use_deferred(now, changes);
        self.departures.retain(|_, (_, at)| now < *at + DEPARTURE_RETENTION);
        let departures = &mut self.departures;
        self.entries.retain(|name, entry| {
            let expired = entry.expires_at.is_some_and(|until| now >= until);
            if expired {
                departures.insert(name.clone(), (entry.record.incarnation, now));
                changes.push(RegistryChange::Gone(name.clone()));
            }
            !expired
        });
    }
}
