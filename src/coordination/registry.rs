//! Which upstreams there are, as they register themselves in the platform's store.
//!
//! A record that disappears is an upstream that is gone, except after an outage of the store: then
//! records lapse although their upstreams live, and return within moments. See docs/PLATFORM.md,
//! "Upstreams".

use crate::coordination::roles::ObservedPlan;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long after the store's return a record that lapsed during the outage may take to return, as
/// the platform states it.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// For how long after the store's return a disappearance is still the outage's doing: about the
/// pace at which the store is followed.
const OUTAGE_ECHO: Duration = Duration::from_millis(1_200);

/// One upstream as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Distinguishes its lives under one name.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is about to stop.
    pub draining: bool,
    /// What it does.
    pub role: UpstreamRole,
    /// Its service.
    pub service: ServiceName,
    /// How many requests it runs at the same time.
    pub slots: Slots,
}

/// What the registry hears.
#[derive(Clone, Debug)]
pub enum RegistryEvent {
    /// A record was written.
    Written(UpstreamName, UpstreamRecord),
    /// A record is gone, or has become unreadable.
    Removed(UpstreamName),
    /// These are all records.
    Listed(BTreeMap<UpstreamName, UpstreamRecord>),
    /// Workers of a service change their role.
    Planned(ServiceName, ObservedPlan),
    /// The store did not answer.
    StoreLost,
    /// The store answers again.
    StoreRestored,
    /// Time has passed.
    Tick,
}

#[derive(Debug)]
struct RegistryEntry {
    /// When it counts as gone, if its record has lapsed.
    lapses: Option<Instant>,
    record: UpstreamRecord,
}

/// What happened to an upstream, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// It takes work.
    Ready(UpstreamName),
    /// It takes no new work.
    Draining(UpstreamName),
    /// Its record lapsed while the store was away; it is used until it would have returned.
    Expired(UpstreamName),
    /// It is gone.
    Gone(UpstreamName),
}

/// The upstreams as this daemon knows them.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    away: bool,
    entries: BTreeMap<UpstreamName, RegistryEntry>,
    plans: BTreeMap<ServiceName, ObservedPlan>,
    returned: Option<Instant>,
}

impl UpstreamRegistry {
    /// Takes one event and returns what changed for requests.
    pub fn handle(&mut self, now: Instant, event: RegistryEvent) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        match event {
            RegistryEvent::Written(name, record) => self.write(name, record, &mut changes),
            RegistryEvent::Removed(name) => self.remove(now, &name, &mut changes),
            RegistryEvent::Listed(records) => self.list(now, records, &mut changes),
            RegistryEvent::Planned(service, plan) => {
                self.plans.insert(service, plan);
            }
            RegistryEvent::StoreLost => self.away = true,
            RegistryEvent::StoreRestored => {
                if self.away {
                    self.returned = Some(now);
                }
                self.away = false;
            }
            RegistryEvent::Tick => {}
        }
        self.bury(now, &mut changes);
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

    /// Returns whether an upstream may be sent a request now.
    pub fn takes_work(&self, now: Instant, name: &UpstreamName) -> bool {
        self.entries.get(name).is_some_and(|entry| {
            let changes = self.is_changing(now, name, &entry.record);
            let leaves = entry.record.draining || changes;
            !leaves && entry.lapses.is_none_or(|until| now < until)
        })
    }

    /// Returns whether an upstream is left alone because it changes its role.
    pub fn is_changing(&self, now: Instant, name: &UpstreamName, record: &UpstreamRecord) -> bool {
        let plan = self.plans.get(&record.service);
        plan.is_some_and(|plan| plan.is_changing(now, name, record.incarnation, record.role))
    }

    /// Returns the plan of roles of a service.
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

    /// Returns how many upstreams are known.
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
        self.entries.insert(name, RegistryEntry { lapses: None, record });
    }

    fn remove(&mut self, now: Instant, name: &UpstreamName, changes: &mut Vec<RegistryChange>) {
        let returned = self.returned.filter(|at| now < *at + OUTAGE_ECHO);
        let Some(entry) = self.entries.get_mut(name) else { return };
        // Who was leaving before the outage does not return.
        if let (Some(returned), false) = (returned, entry.record.draining) {
            if entry.lapses.is_none() {
                entry.lapses = Some(returned + RETURN_TIME);
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

    fn bury(&mut self, now: Instant, changes: &mut Vec<RegistryChange>) {
        self.entries.retain(|name, entry| {
            let over = entry.lapses.is_some_and(|until| now >= until);
            if over {
                changes.push(RegistryChange::Gone(name.clone()));
            }
            !over
        });
    }
}
