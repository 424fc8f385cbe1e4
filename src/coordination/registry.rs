//! The registry of upstreams, which register themselves in the platform's store.
//!
//! An upstream whose record disappears is gone, except right after an outage of the store: during
//! an outage, records expire although their upstreams are alive, and the upstreams register again
//! shortly after it. See docs/PLATFORM.md, "Upstreams".

use crate::coordination::roles::ObservedPlan;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The time after the store is restored within which an upstream registers again if its record
/// expired during the outage. The platform specifies this limit.
const REREGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after the store is restored in which a removed record counts as expired during the
/// outage: about the interval at which the store is read.
const OUTAGE_GRACE: Duration = Duration::from_millis(1_200);

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
    /// A plan of role changes for the workers of a service.
    Planned(ServiceName, ObservedPlan),
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
    /// The upstream's record expired during an outage of the store. It is used on until the time by
    /// which it should have registered again.
    Expired(UpstreamName),
    /// The upstream has been removed from the registry.
    Gone(UpstreamName),
}

/// This daemon's view of the registered upstreams.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    store_lost: bool,
    entries: BTreeMap<UpstreamName, RegistryEntry>,
    plans: BTreeMap<ServiceName, ObservedPlan>,
    /// When the store last came back from an outage.
    restored_at: Option<Instant>,
}

impl UpstreamRegistry {
    /// Processes one event and returns the changes of upstreams.
    pub fn handle(&mut self, now: Instant, event: RegistryEvent) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        match event {
            RegistryEvent::Written(name, record) => self.write(name, record, &mut changes),
            RegistryEvent::Removed(name) => self.remove(now, &name, &mut changes),
            RegistryEvent::Listed(records) => self.list(now, records, &mut changes),
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
            let unavailable = entry.record.draining || changes;
            !unavailable && entry.expires_at.is_none_or(|until| now < until)
        })
    }

    /// Returns whether an upstream gets no requests because it is changing its role.
    pub fn is_changing(&self, now: Instant, name: &UpstreamName, record: &UpstreamRecord) -> bool {
        let plan = self.plans.get(&record.service);
        plan.is_some_and(|plan| plan.is_changing(now, name, record.incarnation, record.role))
    }

    /// Returns the current plan of role changes of a service.
    pub fn plan_of(&self, service: &ServiceName) -> Option<&ObservedPlan> {
        self.plans.get(service)
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
        if before != Some(&record) {
            changes.push(match record.draining {
                true => RegistryChange::Draining(name.clone()),
                false => RegistryChange::Ready(name.clone()),
            });
        }
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
        self.entries.remove(name);
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
        self.entries.retain(|name, entry| {
            let expired = entry.expires_at.is_some_and(|until| now >= until);
            if expired {
                changes.push(RegistryChange::Gone(name.clone()));
            }
            !expired
        });
    }
}
