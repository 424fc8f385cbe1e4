//! SWIM-style membership and failure detection, at a constant cost per daemon.
//!
//! In each probe period, a daemon probes one other member: first directly, then indirectly through
//! other members. A member that does not answer becomes suspect and is declared dead unless it
//! refutes the suspicion with a higher version before a timeout. Changes are piggybacked on the
//! probes. See docs/DESIGN.md, "Membership".

mod probing;

use crate::coordination::messages::{CrashDigest, GossipMessage, MemberRecord, MemberState};
use crate::coordination::store::StoreEra;
use crate::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The interval between a daemon's regular probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// The time that a suspect member has to refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// For how long a daemon that may have been cut off has its share of what all daemons divide.
pub const LOST_TIME: Duration = Duration::from_secs(120);
/// The maximum interval between requests to a random member for its full member list.
const FULL_SYNC_PERIOD: Duration = Duration::from_secs(30);
/// The delay before the first full sync. It doubles with every sync up to [`FULL_SYNC_PERIOD`], so
/// that daemons that all start at once know each other within a second.
const FIRST_SYNC_DELAY: Duration = Duration::from_millis(250);
/// The time after which a daemon that has found no other member counts as joined.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of records of other members that are piggybacked on one message.
const MAX_PIGGYBACKED: usize = 6;
/// The maximum number of records in one [`GossipMessage::Members`].
const MAX_RECORDS_PER_MESSAGE: usize = 10;
/// A changed record is sent this many times the binary logarithm of the member count.
const RETRANSMIT_FACTOR: u32 = 3;

/// An input of [`MemberTable::handle`].
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A gossip message was received from this address.
    Received(SocketAddr, GossipMessage),
    /// This daemon refuses this from now on, because it crashes upstreams.
    Crashes(CrashDigest),
    /// The platform's store responded to this daemon in this era.
    Era(StoreEra),
    /// This daemon applied the configuration of this revision.
    Revision(Revision),
    /// This daemon begins to shut down.
    Leave,
    /// A daemon on this host has registered at this address. It is contacted if no other is known.
    Registered(HostName, SocketAddr),
    /// A timer fired; due probes, timeouts and syncs are handled.
    Tick,
}

/// An effect that [`MemberTable::handle`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a gossip message to this address.
    Send(SocketAddr, GossipMessage),
    /// The running members, or the roles that they may be assigned, have changed.
    Changed,
    /// Another daemon knows of a later era of the platform's store than this one did.
    NewerEra(StoreEra),
    /// The daemon at this address refuses something else than this one because of crashes.
    OtherCrashes(SocketAddr),
    /// The daemon at this address has a configuration newer than this daemon's, of this revision.
    NewerRevision(SocketAddr, Revision),
}

#[derive(Debug)]
struct MemberEntry {
    /// Whether this daemon raised the suspicion itself.
    suspected_locally: bool,
    /// The number of messages that the record is still to be piggybacked on.
    transmits_left: u32,
    record: MemberRecord,
    /// When this daemon stored the record.
    changed_at: Instant,
    /// Whether this incarnation has announced that it stops.
    has_left: bool,
}

/// The regular probe that awaits its ack.
#[derive(Debug)]
struct PendingProbe {
    /// Whether other members have been asked to probe the target too.
    indirect_sent: bool,
    nonce: u64,
    sent_at: Instant,
    target: HostName,
}

/// A probe that this daemon sent on behalf of another.
#[derive(Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    /// The requester's nonce, which its ack has to carry.
    nonce: u64,
    sent_at: Instant,
}

/// This daemon's view of the membership.
#[derive(Debug)]
pub struct MemberTable {
    /// What this daemon refuses because it crashes upstreams.
    crashes: CrashDigest,
    /// The latest era of the platform's store that this daemon knows of.
    era: StoreEra,
    sync_delay: Duration,
    /// Whether this daemon has announced itself to its seeds.
    seeds_contacted: bool,
    join_deadline: Instant,
    me: MemberRecord,
    members: BTreeMap<HostName, MemberEntry>,
    next_sync: Instant,
    next_probe: Instant,
    next_reconnect: Instant,
    /// When a member that had been declared dead has last returned.
    returned_at: Option<Instant>,
    /// When a member that had returned was last asked for its member list.
    asked_returned_at: Option<Instant>,
    /// The members of the own failure domain that this round has yet to probe, the next one last.
    probe_order: Vec<HostName>,
    probe: Option<PendingProbe>,
    probe_count: u32,
    /// Relayed probes by the nonce that they were sent with.
    relays: BTreeMap<u64, RelayedProbe>,
    /// The hosts that have registered in the platform's store, and when this daemon heard of it.
    registered: BTreeMap<HostName, Instant>,
    revision: Revision,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
}

impl MemberTable {
    /// Creates a table that knows only this daemon and its seeds. `seed` initializes the random
    /// number generator.
    pub fn new(now: Instant, me: MemberRecord, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            era: StoreEra::default(),
            sync_delay: FIRST_SYNC_DELAY,
            seeds_contacted: false,
            join_deadline: now + JOIN_TIMEOUT,
            me,
            members: BTreeMap::new(),
            next_sync: now + FIRST_SYNC_DELAY,
            next_probe: now,
            next_reconnect: now,
            returned_at: None,
            asked_returned_at: None,
            probe_order: Vec::new(),
            probe: None,
            probe_count: 0,
            relays: BTreeMap::new(),
            registered: BTreeMap::new(),
            crashes: CrashDigest::default(),
            revision: Revision(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seeds,
        }
    }

    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<MemberAction> {
        let mut out = Vec::new();
        match event {
            MemberEvent::Received(from, message) => {
                self.end_isolation(now, from, &mut out);
                self.receive(now, from, message, &mut out);
            }
            MemberEvent::Crashes(crashes) => self.crashes = crashes,
            MemberEvent::Era(era) => self.era = self.era.max(era),
            MemberEvent::Revision(revision) => self.revision = revision,
            MemberEvent::Leave => {
                self.me.state = MemberState::Leaving;
                self.announce(self.me.clone(), &mut out);
            }
            MemberEvent::Registered(host, address) => self.register(now, host, address),
            MemberEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Returns whether the daemon has found another member, has no seed but itself, or has waited
    /// `JOIN_TIMEOUT`.
    pub fn is_joined(&self, now: Instant) -> bool {
        let alone = self.seeds.iter().all(|seed| *seed == self.me.peer);
        alone || self.has_peers() || self.has_waited_to_join(now)
    }

    /// Returns whether the daemon has waited `JOIN_TIMEOUT` for another member.
    pub fn has_waited_to_join(&self, now: Instant) -> bool {
        now >= self.join_deadline
    }

    /// Returns whether any other member is not dead.
    pub fn has_peers(&self) -> bool {
        self.others().any(|record| record.state != MemberState::Dead)
    }

    /// Returns the known daemons that may serve, this one included: those that run, and those that were
    /// declared dead within [`LOST_TIME`] and had not announced that they stop. These may run, cut off
    /// from this one. What all daemons share is divided among them, so that parts of the fleet that are
    /// cut off from each other do not each take the whole. See docs/design/shared-limits.md.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = &MemberRecord> {
        let is_lost = move |entry: &&MemberEntry| {
            entry.record.state == MemberState::Dead
                && !entry.has_left
                && now < entry.changed_at + LOST_TIME
        };
        let lost = self.members.values().filter(is_lost).map(|entry| &entry.record);
        self.running().chain(lost)
    }

    /// Returns how many daemons may serve: the known ones, and those that have registered within
    /// [`LOST_TIME`] and have not been met.
    pub fn serving_count(&self, now: Instant) -> usize {
        let is_unmet = |(host, at): &(&HostName, &Instant)| {
            **host != self.me.daemon.host
                && !self.members.contains_key(*host)
                && now < **at + LOST_TIME
        };
        self.serving(now).count() + self.registered.iter().filter(is_unmet).count()
    }

    /// Returns this daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns the records of all other members, including the dead.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record)
    }

    /// Returns the daemons that still run, including this one. Leaving daemons are included, since
    /// they still finish their requests.
    pub fn running(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.others().filter(|record| record.state != MemberState::Dead);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the daemons of a failure domain that may be assigned a role. These are the running
    /// daemons that are not leaving. If all are leaving, all are returned, since callers still
    /// reach a daemon that has begun to shut down.
    pub fn eligible(&self, domain: &DomainName) -> impl Iterator<Item = &MemberRecord> {
        let domain = domain.clone();
        let local = move |record: &&MemberRecord| record.domain == domain;
        let stays = |record: &MemberRecord| record.state != MemberState::Leaving;
        let anybody_stays = self.running().filter(local.clone()).any(stays);
        self.running().filter(local).filter(move |record| !anybody_stays || stays(record))
    }

    /// Returns the failure domains that have a running daemon, this daemon's own first.
    pub fn domains(&self) -> Vec<DomainName> {
        let all: BTreeSet<_> = self.running().map(|record| record.domain.clone()).collect();
        let others = all.into_iter().filter(|domain| *domain != self.me.domain);
        std::iter::once(self.me.domain.clone()).chain(others).collect()
    }

    /// Returns the record of a daemon if that incarnation of it is running.
    pub fn find(&self, daemon: &DaemonId) -> Option<&MemberRecord> {
        self.running().find(|record| record.daemon == *daemon)
    }

    fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: GossipMessage,
        out: &mut Vec<MemberAction>,
    ) {
        match message {
            GossipMessage::Ping { nonce, crashes, era, revision, updates, .. } => {
                self.merge_all(now, from, updates, out);
                self.check_crashes(from, crashes, out);
                self.check_era(era, out);
                self.check_revision(from, revision, out);
                let updates = self.collect_updates();
                let (crashes, era, revision) = (self.crashes, self.era, self.revision);
                let ack = GossipMessage::Ack {
                    nonce,
                    freshness: None,
                    news: Vec::new(),
                    crashes,
                    era,
                    revision,
                    updates,
                };
                out.push(MemberAction::Send(from, ack));
            }
            GossipMessage::Ack { nonce, crashes, era, revision, updates, .. } => {
                self.merge_all(now, from, updates, out);
                self.check_crashes(from, crashes, out);
                self.check_era(era, out);
                self.check_revision(from, revision, out);
                self.handle_ack(nonce, out);
            }
            GossipMessage::PingReq { nonce, target } => {
                let own = self.rng.random();
                let relay = RelayedProbe { requester: from, nonce, sent_at: now };
                self.relays.insert(own, relay);
                let ping = self.ping(own);
                out.push(MemberAction::Send(target, ping));
            }
            GossipMessage::Join(record) => {
                self.merge(now, from, record, out);
                self.send_members(from, out);
            }
            GossipMessage::Members(records) => self.merge_all(now, from, records, out),
        }
    }

    fn register(&mut self, now: Instant, host: HostName, address: SocketAddr) {
        self.registered.insert(host, now);
        if !self.has_peers() && !self.seeds.contains(&address) {
            self.seeds.push(address);
            self.seeds_contacted = false;
            self.next_reconnect = now;
        }
    }

    fn check_crashes(&self, from: SocketAddr, crashes: CrashDigest, out: &mut Vec<MemberAction>) {
        if crashes != self.crashes {
            out.push(MemberAction::OtherCrashes(from));
        }
    }

    fn check_era(&mut self, era: StoreEra, out: &mut Vec<MemberAction>) {
        if era > self.era {
            self.era = era;
            out.push(MemberAction::NewerEra(era));
        }
    }

    fn check_revision(
        &mut self,
        from: SocketAddr,
        revision: Revision,
        out: &mut Vec<MemberAction>,
    ) {
        if revision > self.revision {
            out.push(MemberAction::NewerRevision(from, revision));
        }
    }

    fn handle_ack(&mut self, nonce: u64, out: &mut Vec<MemberAction>) {
        if self.probe.as_ref().is_some_and(|probe| probe.nonce == nonce) {
            self.probe = None;
        }
        if let Some(relay) = self.relays.remove(&nonce) {
            let (nonce, revision) = (relay.nonce, Revision(0));
            let (crashes, era) = (self.crashes, self.era);
            let updates = Vec::new();
            let ack = GossipMessage::Ack {
                nonce,
                freshness: None,
                news: Vec::new(),
                crashes,
                era,
                revision,
                updates,
            };
            out.push(MemberAction::Send(relay.requester, ack));
        }
    }

    fn merge_all(
        &mut self,
        now: Instant,
        from: SocketAddr,
        records: Vec<MemberRecord>,
        out: &mut Vec<MemberAction>,
    ) {
        records.into_iter().for_each(|record| self.merge(now, from, record, out));
    }

    fn merge(
        &mut self,
        now: Instant,
        from: SocketAddr,
        record: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) {
        if record.daemon.host == self.me.daemon.host {
            return self.refute(&record);
        }
        let known = self.members.get(&record.daemon.host);
        let heals = self.is_healing(now);
        if known.is_some_and(|entry| entry.prevails_over(&record, heals)) {
            return;
        }
        if known.is_none() && record.state == MemberState::Dead {
            return;
        }
        let before = known.map(|entry| (entry.record.daemon.clone(), entry.record.state));
        let is_return = before
            .as_ref()
            .is_some_and(|(daemon, state)| *state == MemberState::Dead && *daemon == record.daemon);
        if is_return {
            self.record_return(now);
            // All hear of a return, so only those that the member itself contacts ask it for its list.
            if record.peer == from {
                self.ask_returned(now, from, out);
            }
        }
        let after = (record.daemon.clone(), record.state);
        self.put_record(now, record);
        // A suspect member keeps its roles until it is declared dead.
        let unchanged = before.is_some_and(|before| {
            before.0 == after.0 && availability(before.1) == availability(after.1)
        });
        if !unchanged {
            out.push(MemberAction::Changed);
        }
    }

    fn put_record(&mut self, now: Instant, record: MemberRecord) {
        let transmits_left = self.transmit_limit();
        let host = record.daemon.host.clone();
        let known = self.members.get(&host).filter(|known| known.record.daemon == record.daemon);
        let has_left =
            record.state == MemberState::Leaving || known.is_some_and(|known| known.has_left);
        let entry = MemberEntry {
            suspected_locally: false,
            transmits_left,
            record,
            changed_at: now,
            has_left,
        };
        self.members.insert(host, entry);
    }

    /// Refutes a record that says that this daemon is suspect or dead, with a higher version.
    fn refute(&mut self, record: &MemberRecord) {
        let is_suspected = record.daemon == self.me.daemon
            && matches!(record.state, MemberState::Suspect | MemberState::Dead);
        if is_suspected && record.version >= self.me.version {
            self.me.version = record.version + 1;
        }
    }

    fn transmit_limit(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        RETRANSMIT_FACTOR * members.ilog2().max(1)
    }

    /// Returns this daemon's record and up to [`MAX_PIGGYBACKED`] others, those with the most
    /// transmissions left first.
    fn collect_updates(&mut self) -> Vec<MemberRecord> {
        let mut fresh: Vec<_> =
            self.members.values_mut().filter(|entry| entry.transmits_left > 0).collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.transmits_left));
        let mut updates = vec![self.me.clone()];
        for entry in fresh.into_iter().take(MAX_PIGGYBACKED) {
            entry.transmits_left -= 1;
            updates.push(entry.record.clone());
        }
        updates
    }

    fn ping(&mut self, nonce: u64) -> GossipMessage {
        let (crashes, era, revision) = (self.crashes, self.era, self.revision);
        let updates = self.collect_updates();
        GossipMessage::Ping { nonce, news: Vec::new(), crashes, era, revision, updates }
    }

    /// Sends a record directly to the members of its failure domain. Other members learn it from
    /// piggybacked updates.
    fn announce(&self, record: MemberRecord, out: &mut Vec<MemberAction>) {
        let local = self
            .others()
            .filter(|other| other.state != MemberState::Dead && other.domain == record.domain);
        let message = GossipMessage::Members(vec![record.clone()]);
        out.extend(local.map(|other| MemberAction::Send(other.peer, message.clone())));
    }

    fn send_members(&self, to: SocketAddr, out: &mut Vec<MemberAction>) {
        let all: Vec<_> = self.running().cloned().collect();
        for part in all.chunks(MAX_RECORDS_PER_MESSAGE) {
            out.push(MemberAction::Send(to, GossipMessage::Members(part.to_vec())));
        }
    }
}

impl MemberEntry {
    /// Returns whether another record of the same host says nothing new. While a partition heals, a death
    /// is given up for a record of the same version: the host cannot have refuted what it has not heard.
    fn prevails_over(&self, record: &MemberRecord, heals: bool) -> bool {
        let is_denied = heals
            && !self.has_left
            && (self.record.state, record.state) == (MemberState::Dead, MemberState::Alive)
            && (record.daemon.incarnation, record.version)
                == (self.record.daemon.incarnation, self.record.version);
        !is_denied && precedence(&self.record) >= precedence(record)
    }
}

/// Returns the sort key by which the newer of two records of one host wins: the incarnation, then
/// the version, then the state.
fn precedence(record: &MemberRecord) -> (Incarnation, u32, MemberState) {
    (record.daemon.incarnation, record.version, record.state)
}

/// Maps a state to the roles that it allows: 2 for any, 1 if all members are leaving, 0 for none.
fn availability(state: MemberState) -> u8 {
    match state {
        MemberState::Alive | MemberState::Suspect => 2,
        MemberState::Leaving => 1,
        MemberState::Dead => 0,
    }
}
