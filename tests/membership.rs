//! Who is alive, as lists of events, and over a lossy network of many members in one process.

use apricotrun::coordination::membership::{
    MemberAction, MemberEvent, MemberTable, PROBE_PERIOD, SUSPICION_TIME,
};
use apricotrun::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use apricotrun::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const STEP: Duration = Duration::from_millis(20);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16))
}

fn record(index: usize, domains: usize, incarnation: u64) -> MemberRecord {
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
struct Network {
    cut: BTreeSet<(usize, usize)>,
    dead: BTreeSet<usize>,
    loss: f64,
    now: Instant,
    rng: ChaCha8Rng,
    tables: Vec<MemberTable>,
    travelling: Vec<(usize, usize, GossipMessage)>,
}

impl Network {
    fn new(members: usize, domains: usize, loss: f64) -> Self {
        let now = Instant::now();
        let table = |index| {
            MemberTable::new(now, record(index, domains, 1), vec![address(0)], index as u64)
        };
        Self {
            cut: BTreeSet::new(),
            dead: BTreeSet::new(),
            loss,
            now,
            rng: ChaCha8Rng::seed_from_u64(3),
            tables: (0..members).map(table).collect(),
            travelling: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let arrived = std::mem::take(&mut self.travelling);
        for (from, to, message) in arrived {
            let lost = self.rng.random_bool(self.loss) || self.cut.contains(&(from, to));
            if !lost && !self.dead.contains(&to) {
                let event = MemberEvent::Received(address(from), message);
                self.feed(to, event);
            }
        }
        for index in 0..self.tables.len() {
            if !self.dead.contains(&index) {
                self.feed(index, MemberEvent::Tick);
            }
        }
    }

    fn feed(&mut self, index: usize, event: MemberEvent) {
        for action in self.tables[index].handle(self.now, event) {
            if let MemberAction::Send(to, message) = action {
                let to = usize::from(to.port()) - 10_000;
                self.travelling.push((index, to, message));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn run_until(&mut self, within: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + within, "not in time");
            self.step();
        }
        self.now - start
    }

    fn knows(&self, index: usize) -> BTreeMap<String, MemberState> {
        let others = self.tables[index].others();
        others.map(|record| (record.daemon.host.to_string(), record.state)).collect()
    }

    fn sees(&self, index: usize, other: usize, state: MemberState) -> bool {
        self.knows(index).get(&format!("h{other}")) == Some(&state)
    }

    fn all_see(&self, other: usize, state: MemberState) -> bool {
        let live = (0..self.tables.len()).filter(|i| !self.dead.contains(i) && *i != other);
        live.into_iter().all(|index| self.sees(index, other, state))
    }
}

#[test]
fn all_members_find_each_other() {
    let mut network = Network::new(16, 4, 0.0);
    network.run_until(Duration::from_secs(10), |network| {
        (0..16).all(|index| network.knows(index).len() == 15)
    });
}

#[test]
fn dead_member_is_noticed_by_all_within_three_seconds() {
    let mut network = Network::new(16, 2, 0.0);
    network.run(Duration::from_secs(10));
    network.dead.insert(5);
    network.run_until(Duration::from_secs(3), |network| network.all_see(5, MemberState::Dead));
}

#[test]
fn nobody_is_declared_dead_under_five_percent_loss() {
    for seed in 0..5 {
        let mut network = Network::new(16, 2, 0.05);
        network.rng = ChaCha8Rng::seed_from_u64(seed);
        network.run(Duration::from_secs(10));
        for _ in 0..600 {
            network.run(Duration::from_millis(200));
            for index in 0..16 {
                let knows = network.knows(index);
                assert!(knows.values().all(|state| *state != MemberState::Dead), "{knows:?}");
            }
        }
    }
}

#[test]
fn paused_member_comes_back_with_a_higher_version() {
    let mut network = Network::new(4, 1, 0.0);
    network.run(Duration::from_secs(5));
    network.dead.insert(2);
    network.run_until(Duration::from_secs(5), |network| network.all_see(2, MemberState::Dead));
    network.dead.remove(&2);
    network.run_until(Duration::from_secs(10), |network| network.all_see(2, MemberState::Alive));
    assert!(network.tables[2].me().version > 0);
}

#[test]
fn healed_cut_joins_both_sides_again() {
    let mut network = Network::new(8, 2, 0.0);
    network.run(Duration::from_secs(10));
    for left in (0..8).filter(|index| index % 2 == 0) {
        for right in (0..8).filter(|index| index % 2 == 1) {
            network.cut.extend([(left, right), (right, left)]);
        }
    }
    network.run_until(Duration::from_secs(30), |network| {
        (0..8).all(|index| {
            let dead = network.knows(index).into_values().filter(|s| *s == MemberState::Dead);
            dead.count() == 4
        })
    });
    network.cut.clear();
    network.run_until(Duration::from_secs(30), |network| {
        (0..8).all(|index| network.knows(index).into_values().all(|s| s == MemberState::Alive))
    });
}

#[test]
fn leaving_member_keeps_running_but_gets_no_duty() {
    let mut network = Network::new(3, 1, 0.0);
    network.run(Duration::from_secs(5));
    network.feed(1, MemberEvent::Leave);
    network.run_until(Duration::from_secs(2), |network| network.all_see(1, MemberState::Leaving));
    let table = &network.tables[0];
    let domain = "d0".parse().expect("a name");
    assert_eq!(table.running().count(), 3);
    assert_eq!(table.eligible(&domain).count(), 2);
    network.run(Duration::from_secs(5));
    assert!(network.all_see(1, MemberState::Leaving), "it answers, so it is not dead");
}

#[test]
fn old_news_of_an_earlier_life_is_ignored() {
    let mut network = Network::new(2, 1, 0.0);
    network.run(Duration::from_secs(3));
    let newer = record(1, 1, 9);
    let older = MemberRecord { state: MemberState::Dead, version: 50, ..record(1, 1, 1) };
    for record in [newer.clone(), older] {
        let members = GossipMessage::Members(vec![record]);
        network.feed(0, MemberEvent::Received(address(1), members));
    }
    assert_eq!(network.tables[0].find(&newer.daemon), Some(&newer));
}

#[test]
fn suspicion_takes_as_long_as_stated() {
    assert!(PROBE_PERIOD * 2 + SUSPICION_TIME < Duration::from_secs(2));
}
