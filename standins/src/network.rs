//! A simulated network of members that exchange gossip datagrams in one process, with delay, packet
//! loss and blocked links. It serves to test and measure the membership at sizes for which one
//! machine could not run a process per daemon.

use apricotrun::coordination::membership::{MemberAction, MemberEvent, MemberTable};
use apricotrun::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use apricotrun::prelude::*;
use apricotrun::protocol::codec::{PeerKey, encode_datagram};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The simulated time of one step, which is also the latency of every datagram.
const STEP: Duration = Duration::from_millis(20);

/// Returns the simulated address of the member with an index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

/// Returns the record of a member in one of its incarnations; members are spread over failure
/// domains in turn.
pub fn record(index: usize, domains: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        daemon: format!("h{index}.{incarnation:x}").parse().expect("a valid id"),
        domain: format!("d{}", index % domains).parse().expect("a valid name"),
        http: address(index),
        peer: address(index),
        state: MemberState::Alive,
        version: 0,
    }
}

/// Members that exchange datagrams in simulated time.
pub struct MemberNetwork {
    /// The bytes of all datagrams sent so far, including lost ones.
    pub bytes: u64,
    /// The links that drop every datagram, as the indexes of sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// The indexes of members that neither receive datagrams nor handle timers.
    pub stopped: BTreeSet<usize>,
    key: PeerKey,
    /// The probability that a datagram is lost.
    loss: f64,
    /// The simulated time.
    pub now: Instant,
    /// The random number generator that selects the lost datagrams.
    pub rng: ChaCha8Rng,
    /// The members' tables by index.
    pub tables: Vec<MemberTable>,
    /// Sender, receiver and content of the datagrams that arrive in the next step.
    in_transit: Vec<(usize, usize, GossipMessage)>,
}

impl MemberNetwork {
    /// Creates a network whose members have the first member as their seed.
    pub fn new(members: usize, domains: usize, loss: f64) -> Self {
        Self::with_seeds(members, domains, loss, &[address(0)])
    }

    /// Creates a network whose members have these seeds.
    pub fn with_seeds(members: usize, domains: usize, loss: f64, seeds: &[SocketAddr]) -> Self {
        let now = Instant::now();
        let table =
            |index| MemberTable::new(now, record(index, domains, 1), seeds.to_vec(), index as u64);
        Self {
            bytes: 0,
            blocked_links: BTreeSet::new(),
            stopped: BTreeSet::new(),
            key: "a".repeat(64).parse().expect("a valid key"),
            loss,
            now,
            rng: ChaCha8Rng::seed_from_u64(3),
            tables: (0..members).map(table).collect(),
            in_transit: Vec::new(),
        }
    }

    /// Advances time by one step, delivers the datagrams in transit and fires the members' timers.
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

    /// Lets a member handle an event, and sends the datagrams that it asks for.
    pub fn handle_event(&mut self, index: usize, event: MemberEvent) {
        for action in self.tables[index].handle(self.now, event) {
            if let MemberAction::Send(to, message) = action {
                let to = usize::from(to.port()) - 10_000;
                let size = encode_datagram(&self.key, &message).expect("a valid datagram").len();
                self.bytes += size as u64;
                self.in_transit.push((index, to, message));
            }
        }
    }

    /// Advances time by at least this duration.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds and returns the simulated time that this took.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within the duration.
    pub fn run_until(&mut self, within: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + within, "the condition did not hold within {within:?}");
            self.step();
        }
        self.now - start
    }

    /// Returns the states of the other members in one member's table, by host name.
    pub fn member_states(&self, index: usize) -> BTreeMap<String, MemberState> {
        let others = self.tables[index].others();
        others.map(|record| (record.daemon.host.to_string(), record.state)).collect()
    }

    /// Returns the number of entries in the tables of running members that list a running member as
    /// dead.
    pub fn count_false_deaths(&self) -> usize {
        let live = |index: &usize| !self.stopped.contains(index);
        let wrong = |index: usize| {
            let others = (0..self.tables.len()).filter(live);
            others.filter(|other| self.observes(index, *other, MemberState::Dead)).count()
        };
        (0..self.tables.len()).filter(live).map(wrong).sum()
    }

    /// Returns whether a member has another in its table with this state.
    pub fn observes(&self, index: usize, other: usize, state: MemberState) -> bool {
        let name = format!("h{other}");
        let mut others = self.tables[index].others();
        others.any(|record| record.daemon.host.as_str() == name && record.state == state)
    }

    /// Returns whether all other running members have a member in their tables with this state.
    pub fn all_observe(&self, other: usize, state: MemberState) -> bool {
        let live = (0..self.tables.len()).filter(|i| !self.stopped.contains(i) && *i != other);
        live.into_iter().all(|index| self.observes(index, other, state))
    }
}
