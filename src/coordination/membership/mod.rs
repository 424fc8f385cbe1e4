//! Which daemons are alive, learned by probing at a constant cost a daemon.
//!
//! Each daemon probes one other a period, first directly, then through helpers. Who does not
//! answer is suspected and has a short time to object with a higher version. News travels on the
//! probes. See docs/DESIGN.md, "Membership".

mod probing;

use crate::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use crate::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How often a daemon probes another.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// How long a suspected member has to object.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the whole membership is exchanged with one other member.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(30);
/// When it is first exchanged; each pause after that is twice as long as the one before, up to the
/// period, so that a fleet that starts at once knows itself within a second.
const FIRST_EXCHANGE: Duration = Duration::from_millis(250);
/// How long a daemon waits for its seeds before it counts as the only one.
const JOIN_LIMIT: Duration = Duration::from_secs(3);
/// How many news one message carries.
const MAX_UPDATES: usize = 6;
/// How many records one list message carries.
const MAX_LISTED: usize = 10;
/// How often a piece of news is passed on, times the logarithm of the members.
const SPREAD_FACTOR: u32 = 3;

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A message from an address.
    Received(SocketAddr, GossipMessage),
    /// This daemon has this configuration now.
    Revision(Revision),
    /// This daemon is about to stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send(SocketAddr, GossipMessage),
    /// The members that are alive have changed.
    Changed,
    /// The daemon at this address has a configuration of this revision.
    NewerRevision(SocketAddr, Revision),
}

#[derive(Debug)]
struct MemberEntry {
    /// Whether this daemon raised the suspicion itself.
    own_suspicion: bool,
    passes_left: u32,
    record: MemberRecord,
    since: Instant,
}

#[derive(Debug)]
struct OpenProbe {
    helpers_asked: bool,
    nonce: u64,
    sent: Instant,
    target: HostName,
}

#[derive(Debug)]
struct RelayedProbe {
    asker: SocketAddr,
    nonce: u64,
    sent: Instant,
}

/// The members as this daemon knows them.
#[derive(Debug)]
pub struct MemberTable {
    exchange_pause: Duration,
    /// Whether the seeds have heard of this daemon.
    greeted: bool,
    join_until: Instant,
    me: MemberRecord,
    members: BTreeMap<HostName, MemberEntry>,
    next_exchange: Instant,
    next_probe: Instant,
    next_seed: Instant,
    order: Vec<HostName>,
    probe: Option<OpenProbe>,
    probes: u32,
    relays: BTreeMap<u64, RelayedProbe>,
    revision: Revision,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
}

impl MemberTable {
    /// Returns a table that knows only this daemon and its seeds.
    pub fn new(now: Instant, me: MemberRecord, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            exchange_pause: FIRST_EXCHANGE,
            greeted: false,
            join_until: now + JOIN_LIMIT,
            me,
            members: BTreeMap::new(),
            next_exchange: now + FIRST_EXCHANGE,
            next_probe: now,
            next_seed: now,
            order: Vec::new(),
            probe: None,
            probes: 0,
            relays: BTreeMap::new(),
            revision: Revision(0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            seeds,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: MemberEvent) -> Vec<MemberAction> {
        let mut out = Vec::new();
        match event {
            MemberEvent::Received(from, message) => self.receive(now, from, message, &mut out),
            MemberEvent::Revision(revision) => self.revision = revision,
            MemberEvent::Leave => {
                self.me.state = MemberState::Leaving;
                self.announce(self.me.clone(), &mut out);
            }
            MemberEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Returns whether the daemon knows others, or has waited for them long enough.
    pub fn is_joined(&self, now: Instant) -> bool {
        let alone = self.seeds.iter().all(|seed| *seed == self.me.peer);
        alone || self.has_peers() || now >= self.join_until
    }

    /// Returns whether any other daemon is known to run.
    pub fn has_peers(&self) -> bool {
        self.others().any(|record| record.state != MemberState::Dead)
    }

    /// Returns this daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns the records of all other members, the dead among them.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record)
    }

    /// Returns the daemons that still run, this one among them; the leaving ones too, since they
    /// finish their requests.
    pub fn running(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.others().filter(|record| record.state != MemberState::Dead);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the daemons of a failure domain that may take duties: those that stay, or while nobody
    /// does, those that finish their requests. Callers still reach a daemon that has begun to stop.
    pub fn eligible(&self, domain: &DomainName) -> impl Iterator<Item = &MemberRecord> {
        let domain = domain.clone();
        let local = move |record: &&MemberRecord| record.domain == domain;
        let stays = |record: &MemberRecord| record.state != MemberState::Leaving;
        let anybody_stays = self.running().filter(local.clone()).any(stays);
        self.running().filter(local).filter(move |record| !anybody_stays || stays(record))
    }

    /// Returns the failure domains of which a daemon runs, this daemon's own first.
    pub fn domains(&self) -> Vec<DomainName> {
        let all: BTreeSet<_> = self.running().map(|record| record.domain.clone()).collect();
        let others = all.into_iter().filter(|domain| *domain != self.me.domain);
        std::iter::once(self.me.domain.clone()).chain(others).collect()
    }

    /// Returns the record of a running daemon.
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
            GossipMessage::Ping { nonce, revision, updates } => {
                self.learn_all(now, updates, out);
                self.note_revision(from, revision, out);
                let updates = self.news();
                let ack = GossipMessage::Ack { nonce, revision: self.revision, updates };
                out.push(MemberAction::Send(from, ack));
            }
            GossipMessage::Ack { nonce, revision, updates } => {
                self.learn_all(now, updates, out);
                self.note_revision(from, revision, out);
                self.acknowledged(nonce, out);
            }
            GossipMessage::PingReq { nonce, target } => {
                let own = self.rng.random();
                let relay = RelayedProbe { asker: from, nonce, sent: now };
                self.relays.insert(own, relay);
                let ping = self.ping(own);
                out.push(MemberAction::Send(target, ping));
            }
            GossipMessage::Join(record) => {
                self.learn(now, record, out);
                self.send_members(from, out);
            }
            GossipMessage::Members(records) => self.learn_all(now, records, out),
        }
    }

    fn note_revision(&mut self, from: SocketAddr, revision: Revision, out: &mut Vec<MemberAction>) {
        if revision > self.revision {
            out.push(MemberAction::NewerRevision(from, revision));
        }
    }

    fn acknowledged(&mut self, nonce: u64, out: &mut Vec<MemberAction>) {
        if self.probe.as_ref().is_some_and(|probe| probe.nonce == nonce) {
            self.probe = None;
        }
        if let Some(relay) = self.relays.remove(&nonce) {
            let (nonce, revision) = (relay.nonce, Revision(0));
            let ack = GossipMessage::Ack { nonce, revision, updates: Vec::new() };
            out.push(MemberAction::Send(relay.asker, ack));
        }
    }

    fn learn_all(&mut self, now: Instant, records: Vec<MemberRecord>, out: &mut Vec<MemberAction>) {
        records.into_iter().for_each(|record| self.learn(now, record, out));
    }

    fn learn(&mut self, now: Instant, record: MemberRecord, out: &mut Vec<MemberAction>) {
        if record.daemon.host == self.me.daemon.host {
            return self.hear_of_myself(&record);
        }
        let known = self.members.get(&record.daemon.host);
        if known.is_some_and(|entry| rank(&entry.record) >= rank(&record)) {
            return;
        }
        if known.is_none() && record.state == MemberState::Dead {
            return;
        }
        let before = known.map(|entry| (entry.record.daemon.clone(), entry.record.state));
        let after = (record.daemon.clone(), record.state);
        self.store(now, record);
        // A suspected member keeps its duties until it is declared dead.
        let same = before
            .is_some_and(|before| before.0 == after.0 && duties_of(before.1) == duties_of(after.1));
        if !same {
            out.push(MemberAction::Changed);
        }
    }

    fn store(&mut self, now: Instant, record: MemberRecord) {
        let passes_left = self.passes();
        let host = record.daemon.host.clone();
        let entry = MemberEntry { own_suspicion: false, passes_left, record, since: now };
        self.members.insert(host, entry);
    }

    /// Objects to news that this daemon is suspected or dead.
    fn hear_of_myself(&mut self, record: &MemberRecord) {
        let worse = record.daemon == self.me.daemon
            && matches!(record.state, MemberState::Suspect | MemberState::Dead);
        if worse && record.version >= self.me.version {
            self.me.version = record.version + 1;
        }
    }

    fn passes(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        SPREAD_FACTOR * members.ilog2().max(1)
    }

    /// Returns this daemon's record and the news that were passed on least often.
    fn news(&mut self) -> Vec<MemberRecord> {
        let mut fresh: Vec<_> =
            self.members.values_mut().filter(|entry| entry.passes_left > 0).collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.passes_left));
        let mut updates = vec![self.me.clone()];
        for entry in fresh.into_iter().take(MAX_UPDATES) {
            entry.passes_left -= 1;
            updates.push(entry.record.clone());
        }
        updates
    }

    fn ping(&mut self, nonce: u64) -> GossipMessage {
        GossipMessage::Ping { nonce, revision: self.revision, updates: self.news() }
    }

    /// Tells the members of the record's failure domain at once; the others hear it with probes.
    fn announce(&self, record: MemberRecord, out: &mut Vec<MemberAction>) {
        let local = self
            .others()
            .filter(|other| other.state != MemberState::Dead && other.domain == record.domain);
        let message = GossipMessage::Members(vec![record.clone()]);
        out.extend(local.map(|other| MemberAction::Send(other.peer, message.clone())));
    }

    fn send_members(&self, to: SocketAddr, out: &mut Vec<MemberAction>) {
        let all: Vec<_> = self.running().cloned().collect();
        for part in all.chunks(MAX_LISTED) {
            out.push(MemberAction::Send(to, GossipMessage::Members(part.to_vec())));
        }
    }
}

/// Orders records of one host: a later life, a later version, then the later state wins.
fn rank(record: &MemberRecord) -> (Incarnation, u32, MemberState) {
    (record.daemon.incarnation, record.version, record.state)
}

/// Reduces a state to what it means for duties: full, finishing, or none.
fn duties_of(state: MemberState) -> u8 {
    match state {
        MemberState::Alive | MemberState::Suspect => 2,
        MemberState::Leaving => 1,
        MemberState::Dead => 0,
    }
}
