//! Members that exchange datagrams in one process, with delay, loss and cuts, so that the
//! membership can be tested and measured at sizes that no machine here holds as processes.

use apricotrun::coordination::membership::{MemberAction, MemberEvent, MemberTable};
use apricotrun::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{PeerKey, encode_datagram};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time of one step, which a datagram travels.
const STEP: Duration = Duration::from_millis(20);

/// Returns a member's made-up address.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

/// Returns the record of a member in one of its lives.
pub fn record(index: usize, domains: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        daemon: format!("h{index}.{incarnation:x}").parse().expect("an id"),
        domain: format!("d{}", index % domains).parse().expect("a name"),
        http: address(index),
        peer: address(index),
        state: MemberState::Alive,
        version: 0,
    }
}

/// Members that exchange datagrams with a delay of one step, some of which are lost.
pub struct MemberNetwork {
    /// The bytes of all datagrams so far.
    pub bytes: u64,
    /// Pairs of members between which nothing passes, in this direction.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Members that do nothing.
    pub stopped: BTreeSet<usize>,
    key: PeerKey,
    loss: f64,
    now: Instant,
    /// Decides what is lost.
    pub rng: ChaCha8Rng,
    /// The members.
    pub tables: Vec<MemberTable>,
    in_transit: Vec<(usize, usize, GossipMessage)>,
}

impl MemberNetwork {
    /// Returns members that know only the first one.
    pub fn new(members: usize, domains: usize, loss: f64) -> Self {
        Self::with_seeds(members, domains, loss, &[address(0)])
    }

    /// Returns members that know these addresses.
    pub fn with_seeds(members: usize, domains: usize, loss: f64, seeds: &[SocketAddr]) -> Self {
        let now = Instant::now();
        let table =
            |index| MemberTable::new(now, record(index, domains, 1), seeds.to_vec(), index as u64);
        Self {
            bytes: 0,
            blocked_links: BTreeSet::new(),
            stopped: BTreeSet::new(),
            key: "a".repeat(64).parse().expect("a key"),
            loss,
            now,
            rng: ChaCha8Rng::seed_from_u64(3),
            tables: (0..members).map(table).collect(),
            in_transit: Vec::new(),
        }
    }

    /// Moves time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        let arrived = std::mem::take(&mut self.in_transit);
        for (from, to, message) in arrived {
            let lost = self.rng.random_bool(self.loss) || self.blocked_links.contains(&(from, to));
            if !lost && !self.stopped.contains(&to) {
                let event = MemberEvent::Received(address(from), message);
                self.handle_event(to, event);
            }
        }
        for index in 0..self.tables.len() {
            if !self.stopped.contains(&index) {
                self.handle_event(index, MemberEvent::Tick);
            }
        }
    }

    /// Passes an event to a member.
    pub fn handle_event(&mut self, index: usize, event: MemberEvent) {
        for action in self.tables[index].handle(self.now, event) {
            if let MemberAction::Send(to, message) = action {
                let to = usize::from(to.port()) - 10_000;
                let size = encode_datagram(&self.key, &message).expect("a datagram").len();
                self.bytes += size as u64;
                self.in_transit.push((index, to, message));
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until something holds, and returns how long that took.
    pub fn run_until(&mut self, within: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + within, "not in time");
            self.step();
        }
        self.now - start
    }

    /// Returns what a member knows of the others.
    pub fn member_states(&self, index: usize) -> BTreeMap<String, MemberState> {
        let others = self.tables[index].others();
        others.map(|record| (record.daemon.host.to_string(), record.state)).collect()
    }

    /// Returns how many times a member takes another, which lives, for dead.
    pub fn count_false_deaths(&self) -> usize {
        let live = |index: &usize| !self.stopped.contains(index);
        let wrong = |index: usize| {
            let others = (0..self.tables.len()).filter(live);
            others.filter(|other| self.observes(index, *other, MemberState::Dead)).count()
        };
        (0..self.tables.len()).filter(live).map(wrong).sum()
    }

    /// Returns whether a member takes another for being in a state.
    pub fn observes(&self, index: usize, other: usize, state: MemberState) -> bool {
        let name = format!("h{other}");
        let mut others = self.tables[index].others();
        others.any(|record| record.daemon.host.as_str() == name && record.state == state)
    }

    /// Returns whether all live members take one for being in a state.
    pub fn all_observe(&self, other: usize, state: MemberState) -> bool {
        let live = (0..self.tables.len()).filter(|i| !self.stopped.contains(i) && *i != other);
        live.into_iter().all(|index| self.observes(index, other, state))
    }
}
