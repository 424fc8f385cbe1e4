//! Whom a member probes, when it suspects, and whom it declares dead.

use super::{
    EXCHANGE_PERIOD, MemberAction, MemberEntry, MemberTable, OpenProbe, PROBE_PERIOD,
    SUSPICION_TIMEOUT,
};
use crate::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use crate::prelude::*;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

/// How long a direct probe may take before helpers are asked.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(80);
/// How many times longer others wait than the member that raised the suspicion, which hears the
/// objection first.
const HEARSAY_FACTOR: u32 = 5;
/// How many suspected members are probed besides the regular one.
const MAX_SUSPECT_PROBES: usize = 4;
/// How many helpers are asked.
const HELPERS: usize = 2;
/// Every how many probes one goes to another failure domain.
const FOREIGN_PROBE_EVERY: u32 = 4;
/// How often a daemon that knows nobody asks its seeds, and every daemon a dead one.
const SEED_PERIOD: Duration = Duration::from_secs(1);
/// How many seeds are asked for all members: the others would only say the same, 20 KB each at the
/// two-year size.
const JOINED_SEEDS: usize = 6;
/// How long the dead are remembered.
const DEAD_MEMORY: Duration = Duration::from_secs(3600);

impl MemberTable {
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        self.follow_probe(now, out);
        self.bury(now, out);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.fail_probe(now);
            self.probe_suspects(out);
            self.start_probe(now, out);
        }
        if now >= self.next_seed {
            self.next_seed = now + SEED_PERIOD;
            self.contact_lost(out);
        }
        if now >= self.next_exchange {
            self.exchange_pause = (self.exchange_pause * 2).min(EXCHANGE_PERIOD);
            self.next_exchange = now + self.exchange_pause;
            self.exchange(out);
        }
        self.relays.retain(|_, relay| now < relay.sent + PROBE_PERIOD * 4);
    }

    /// Asks helpers when the direct probe has had no answer.
    pub(super) fn follow_probe(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.helpers_asked || now < probe.sent + DIRECT_TIMEOUT {
            return;
        }
        probe.helpers_asked = true;
        let (nonce, target) = (probe.nonce, probe.target.clone());
        let Some(entry) = self.members.get(&target) else { return };
        let message = GossipMessage::PingReq { nonce, target: entry.record.peer };
        let domain = entry.record.domain.clone();
        let helpers: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.record.state == MemberState::Alive)
            .filter(|entry| entry.record.daemon.host != target && entry.record.domain == domain)
            .map(|entry| entry.record.peer)
            .collect();
        for helper in helpers.choose_multiple(&mut self.rng, HELPERS) {
            out.push(MemberAction::Send(*helper, message.clone()));
        }
    }

    pub(super) fn fail_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else { return };
        let Some(entry) = self.members.get(&probe.target) else { return };
        let mut record = entry.record.clone();
        // A leaving daemon cannot be suspected: its record would win. It is dead when it is silent.
        record.state = match record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let host = record.daemon.host.clone();
        self.store(now, record);
        if let Some(entry) = self.members.get_mut(&host) {
            entry.own_suspicion = true;
        }
    }

    /// Probes the suspected again, so that they hear of it and can object in time.
    pub(super) fn probe_suspects(&mut self, out: &mut Vec<MemberAction>) {
        let suspects = self
            .members
            .values()
            .filter(|entry| entry.record.state == MemberState::Suspect && entry.own_suspicion);
        let suspects: Vec<_> =
            suspects.take(MAX_SUSPECT_PROBES).map(|entry| entry.record.clone()).collect();
        for record in suspects {
            let nonce = self.rng.random();
            let ping = self.ping(nonce);
            let ping = self.with_record(ping, &record.daemon.host);
            out.push(MemberAction::Send(record.peer, ping));
        }
    }

    /// Declares dead who has been suspected too long, and forgets who is dead too long.
    pub(super) fn bury(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let is_over = |entry: &&MemberEntry| {
            let factor = if entry.own_suspicion { 1 } else { HEARSAY_FACTOR };
            let over = now >= entry.since + SUSPICION_TIMEOUT * factor;
            entry.record.state == MemberState::Suspect && over
        };
        let over: Vec<_> =
            self.members.values().filter(is_over).map(|e| e.record.clone()).collect();
        for record in over {
            let record = MemberRecord { state: MemberState::Dead, ..record };
            self.store(now, record.clone());
            self.announce(record, out);
            out.push(MemberAction::Changed);
        }
        self.members.retain(|_, entry| {
            entry.record.state != MemberState::Dead || now < entry.since + DEAD_MEMORY
        });
    }

    pub(super) fn start_probe(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let Some(target) = self.next_target() else { return };
        let nonce = self.rng.random();
        let peer = self.members[&target].record.peer;
        let ping = self.ping(nonce);
        // The suspected must hear of it to be able to object.
        let ping = self.with_record(ping, &target);
        out.push(MemberAction::Send(peer, ping));
        self.probe = Some(OpenProbe { helpers_asked: false, nonce, sent: now, target });
    }

    pub(super) fn with_record(&self, ping: GossipMessage, target: &HostName) -> GossipMessage {
        let record = &self.members[target].record;
        match ping {
            GossipMessage::Ping { nonce, revision, mut updates }
                if record.state != MemberState::Alive && !updates.contains(record) =>
            {
                updates.push(record.clone());
                GossipMessage::Ping { nonce, revision, updates }
            }
            other => other,
        }
    }

    /// Returns whom to probe: each member of the own failure domain in a shuffled round, and now
    /// and then one of another.
    pub(super) fn next_target(&mut self) -> Option<HostName> {
        self.probes = self.probes.wrapping_add(1);
        if self.probes.is_multiple_of(FOREIGN_PROBE_EVERY)
            && let Some(host) = self.random_foreign()
        {
            return Some(host);
        }
        while let Some(host) = self.order.pop() {
            if self.members.get(&host).is_some_and(|e| e.record.state != MemberState::Dead) {
                return Some(host);
            }
        }
        let local = self.members.values().filter(|entry| {
            entry.record.domain == self.me.domain && entry.record.state != MemberState::Dead
        });
        self.order = local.map(|entry| entry.record.daemon.host.clone()).collect();
        self.order.shuffle(&mut self.rng);
        match self.order.pop() {
            Some(host) => Some(host),
            None => self.random_foreign(),
        }
    }

    pub(super) fn random_foreign(&mut self) -> Option<HostName> {
        let foreign: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.record.domain != self.me.domain)
            .filter(|entry| entry.record.state != MemberState::Dead)
            .map(|entry| entry.record.daemon.host.clone())
            .collect();
        foreign.choose(&mut self.rng).cloned()
    }

    /// Greets the seeds while alone, and one of the dead, so that a healed cut is noticed.
    pub(super) fn contact_lost(&mut self, out: &mut Vec<MemberAction>) {
        let alone = !self.others().any(|record| record.state != MemberState::Dead);
        // Another daemon that starts too may have been heard first, and may know as little.
        if alone || !self.greeted {
            self.greeted = true;
            self.greet_seeds(out);
        }
        let dead = self.others().filter(|record| record.state == MemberState::Dead);
        let dead: Vec<_> = dead.cloned().collect();
        let Some(record) = dead.choose(&mut self.rng) else { return };
        let (nonce, revision) = (self.rng.random(), self.revision);
        let updates = vec![self.me.clone(), record.clone()];
        let ping = GossipMessage::Ping { nonce, revision, updates };
        out.push(MemberAction::Send(record.peer, ping));
    }

    /// Tells all seeds of this daemon, and asks some of them for all members.
    fn greet_seeds(&mut self, out: &mut Vec<MemberAction>) {
        let own = self.me.peer;
        let mut seeds: Vec<_> = self.seeds.iter().copied().filter(|seed| *seed != own).collect();
        seeds.shuffle(&mut self.rng);
        for (index, seed) in seeds.into_iter().enumerate() {
            let message = match index < JOINED_SEEDS {
                true => GossipMessage::Join(self.me.clone()),
                false => GossipMessage::Members(vec![self.me.clone()]),
            };
            out.push(MemberAction::Send(seed, message));
        }
    }

    pub(super) fn exchange(&mut self, out: &mut Vec<MemberAction>) {
        let running: Vec<_> = self
            .others()
            .filter(|record| record.state != MemberState::Dead)
            .map(|record| record.peer)
            .collect();
        if let Some(peer) = running.choose(&mut self.rng) {
            out.push(MemberAction::Send(*peer, GossipMessage::Join(self.me.clone())));
        }
    }
}
