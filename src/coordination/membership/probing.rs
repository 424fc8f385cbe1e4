//! Probe scheduling, suspicion and death, and contact with seeds and dead members.

use super::{
    FULL_SYNC_PERIOD, LOST_TIME, MemberAction, MemberEntry, MemberTable, PROBE_PERIOD,
    PendingProbe, SUSPICION_TIMEOUT,
};
use crate::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use crate::prelude::*;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;

/// The time without an ack after which a direct probe is followed by indirect ones.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(80);
/// The multiple of [`SUSPICION_TIMEOUT`] that a member waits if it did not raise the suspicion
/// itself. The member that raised it is the first to receive the refutation.
const REMOTE_SUSPICION_FACTOR: u32 = 5;
/// The maximum number of suspect members that are probed in one period besides the regular target.
const MAX_SUSPECT_PROBES: usize = 4;
/// The number of members that are asked to probe a target indirectly.
const INDIRECT_PROBES: usize = 2;
/// One in this many probes goes to another failure domain.
const CROSS_DOMAIN_PROBE_EVERY: u32 = 4;
/// The interval at which a daemon without peers contacts its seeds, and every daemon contacts one
/// dead member.
const RECONNECT_PERIOD: Duration = Duration::from_secs(1);
/// The interval at which every daemon contacts one dead member while dead members return: a network
/// partition has ended, and most of them run.
const HEALING_PERIOD: Duration = Duration::from_millis(100);
/// The shortest interval between two requests for the member lists of members that have returned.
const HEALING_SYNC_PERIOD: Duration = Duration::from_millis(500);
/// For how long after the last return [`HEALING_PERIOD`] applies.
const HEALING_TIME: Duration = Duration::from_secs(2);
/// The maximum number of seeds that are asked for their member lists. More would only repeat the
/// same list, which takes 20 KB at the fleet size planned for in two years.
const MAX_JOIN_SEEDS: usize = 6;
/// The time for which the record of a dead member is kept.
const TOMBSTONE_TTL: Duration = Duration::from_secs(3600);

impl MemberTable {
    /// Handles timeouts and starts whatever is due at `now`.
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        self.send_indirect_probes(now, out);
        self.expire_members(now, out);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            self.expire_probe(now);
            self.probe_suspects(now, out);
            self.start_probe(now, out);
        }
        if now >= self.next_reconnect {
            let heals = self.is_healing(now);
            self.next_reconnect = now + if heals { HEALING_PERIOD } else { RECONNECT_PERIOD };
            self.reconnect(out);
        }
        if now >= self.next_sync {
            self.sync_delay = (self.sync_delay * 2).min(FULL_SYNC_PERIOD);
            self.next_sync = now + self.sync_delay;
            self.request_sync(out);
        }
        self.relays.retain(|_, relay| now < relay.sent_at + PROBE_PERIOD * 4);
    }

    /// Asks other members of the target's failure domain to probe it when the direct probe has not
    /// been acknowledged in time.
    pub(super) fn send_indirect_probes(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.indirect_sent || now < probe.sent_at + DIRECT_TIMEOUT {
            return;
        }
        probe.indirect_sent = true;
        let (nonce, target) = (probe.nonce, probe.target.clone());
        let Some(entry) = self.members.get(&target) else { return };
        let message = GossipMessage::PingReq { nonce, target: entry.record.peer };
        let domain = entry.record.domain.clone();
        let relays: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.record.state == MemberState::Alive)
            .filter(|entry| entry.record.daemon.host != target && entry.record.domain == domain)
            .map(|entry| entry.record.peer)
            .collect();
        for relay in relays.choose_multiple(&mut self.rng, INDIRECT_PROBES) {
            out.push(MemberAction::Send(*relay, message.clone()));
        }
    }

    /// Treats the pending probe, if there is one, as failed: its target becomes suspect, or dead if
    /// it was leaving.
    pub(super) fn expire_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else { return };
        let Some(entry) = self.members.get(&probe.target) else { return };
        let mut record = entry.record.clone();
        // `Leaving` takes precedence over `Suspect` at the same version, so a leaving member that
        // does not answer is declared dead without a suspicion.
        record.state = match record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let host = record.daemon.host.clone();
        self.put_record(now, record);
        if let Some(entry) = self.members.get_mut(&host) {
            entry.suspected_locally = true;
        }
    }

    /// Probes the members that this daemon suspects again, so that they learn of the suspicion in
    /// time to refute it. While a partition heals, it does so for suspicions of others too: those who
    /// raised them may not have heard the refutation.
    pub(super) fn probe_suspects(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let heals = self.is_healing(now);
        let suspects = self.members.values().filter(|entry| {
            entry.record.state == MemberState::Suspect && (entry.suspected_locally || heals)
        });
        let suspects: Vec<_> =
            suspects.take(MAX_SUSPECT_PROBES).map(|entry| entry.record.clone()).collect();
        for record in suspects {
            let nonce = self.rng.random();
            let ping = self.ping(nonce);
            let ping = self.attach_record(ping, &record.daemon.host);
            out.push(MemberAction::Send(record.peer, ping));
        }
    }

    /// Declares members dead whose suspicion timeout has passed, and removes the records of members
    /// that have been dead for [`TOMBSTONE_TTL`], and of hosts that were not met in [`LOST_TIME`].
    pub(super) fn expire_members(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let is_expired = |entry: &&MemberEntry| {
            let factor = if entry.suspected_locally { 1 } else { REMOTE_SUSPICION_FACTOR };
            let expired = now >= entry.changed_at + SUSPICION_TIMEOUT * factor;
            entry.record.state == MemberState::Suspect && expired
        };
        let expired: Vec<_> =
            self.members.values().filter(is_expired).map(|e| e.record.clone()).collect();
        for record in expired {
            let record = MemberRecord { state: MemberState::Dead, ..record };
            self.put_record(now, record.clone());
            self.announce(record, out);
            out.push(MemberAction::Changed);
        }
        self.members.retain(|_, entry| {
            entry.record.state != MemberState::Dead || now < entry.changed_at + TOMBSTONE_TTL
        });
        self.registered.retain(|_, at| now < *at + LOST_TIME);
    }

    /// Sends the regular probe of this period.
    pub(super) fn start_probe(&mut self, now: Instant, out: &mut Vec<MemberAction>) {
        let Some(target) = self.next_target() else { return };
        let nonce = self.rng.random();
        let peer = self.members[&target].record.peer;
        let ping = self.ping(nonce);
        // A suspect target can refute the suspicion only if it learns of it.
        let ping = self.attach_record(ping, &target);
        out.push(MemberAction::Send(peer, ping));
        self.probe = Some(PendingProbe { indirect_sent: false, nonce, sent_at: now, target });
    }

    /// Adds the target's own record to a ping if the target is not alive in this daemon's view.
    pub(super) fn attach_record(&self, ping: GossipMessage, target: &HostName) -> GossipMessage {
        let record = &self.members[target].record;
        match ping {
            GossipMessage::Ping { nonce, news, crashes, era, revision, mut updates }
                if record.state != MemberState::Alive && !updates.contains(record) =>
            {
                updates.push(record.clone());
                GossipMessage::Ping { nonce, news, crashes, era, revision, updates }
            }
            other => other,
        }
    }

    /// Returns the next member to probe. The members of the own failure domain take turns in a
    /// shuffled round; every [`CROSS_DOMAIN_PROBE_EVERY`]th probe goes to a member of another
    /// domain.
    pub(super) fn next_target(&mut self) -> Option<HostName> {
        self.probe_count = self.probe_count.wrapping_add(1);
        if self.probe_count.is_multiple_of(CROSS_DOMAIN_PROBE_EVERY)
            && let Some(host) = self.random_remote()
        {
            return Some(host);
        }
        while let Some(host) = self.probe_order.pop() {
            if self.members.get(&host).is_some_and(|e| e.record.state != MemberState::Dead) {
                return Some(host);
            }
        }
        let local = self.members.values().filter(|entry| {
            entry.record.domain == self.me.domain && entry.record.state != MemberState::Dead
        });
        self.probe_order = local.map(|entry| entry.record.daemon.host.clone()).collect();
        self.probe_order.shuffle(&mut self.rng);
        match self.probe_order.pop() {
            Some(host) => Some(host),
            None => self.random_remote(),
        }
    }

    /// Returns a random member of another failure domain that is not dead.
    pub(super) fn random_remote(&mut self) -> Option<HostName> {
        let foreign: Vec<_> = self
            .members
            .values()
            .filter(|entry| entry.record.domain != self.me.domain)
            .filter(|entry| entry.record.state != MemberState::Dead)
            .map(|entry| entry.record.daemon.host.clone())
            .collect();
        foreign.choose(&mut self.rng).cloned()
    }

    /// Returns whether a network partition has probably just ended.
    pub(super) fn is_healing(&self, now: Instant) -> bool {
        self.returned_at.is_some_and(|at| now < at + HEALING_TIME)
    }

    /// Records that a member has returned that had been declared dead.
    pub(super) fn record_return(&mut self, now: Instant) {
        self.returned_at = Some(now);
        self.next_reconnect = self.next_reconnect.min(now + HEALING_PERIOD);
    }

    /// Asks a member that has returned which others run, unless another one was asked a moment ago.
    pub(super) fn ask_returned(
        &mut self,
        now: Instant,
        peer: SocketAddr,
        out: &mut Vec<MemberAction>,
    ) {
        if self.asked_returned_at.is_none_or(|at| now >= at + HEALING_SYNC_PERIOD) {
            self.asked_returned_at = Some(now);
            out.push(MemberAction::Send(peer, GossipMessage::Join(self.me.clone())));
        }
    }

    /// If this daemon has declared all others dead, another one that contacts it shows that this daemon
    /// itself was isolated.
    pub(super) fn end_isolation(
        &mut self,
        now: Instant,
        from: SocketAddr,
        out: &mut Vec<MemberAction>,
    ) {
        if !self.members.is_empty() && !self.has_peers() {
            self.record_return(now);
            self.ask_returned(now, from, out);
        }
    }

    /// Contacts the seeds while this daemon knows no running member, and pings one random dead
    /// member, so that both sides of a healed network partition find each other.
    pub(super) fn reconnect(&mut self, out: &mut Vec<MemberAction>) {
        let alone = !self.others().any(|record| record.state != MemberState::Dead);
        // The seeds are contacted once in any case: the member known so far may itself have just
        // started and know no others.
        if alone || !self.seeds_contacted {
            self.seeds_contacted = true;
            self.contact_seeds(out);
        }
        let dead = self.others().filter(|record| record.state == MemberState::Dead);
        let dead: Vec<_> = dead.cloned().collect();
        let Some(record) = dead.choose(&mut self.rng) else { return };
        let nonce = self.rng.random();
        let (crashes, era, revision) = (self.crashes, self.era, self.revision);
        let updates = vec![self.me.clone(), record.clone()];
        let ping = GossipMessage::Ping { nonce, news: Vec::new(), crashes, era, revision, updates };
        out.push(MemberAction::Send(record.peer, ping));
    }

    /// Announces this daemon to all seeds, and asks some of them for their member lists.
    fn contact_seeds(&mut self, out: &mut Vec<MemberAction>) {
        let own = self.me.peer;
        let mut seeds: Vec<_> = self.seeds.iter().copied().filter(|seed| *seed != own).collect();
        seeds.shuffle(&mut self.rng);
        for (index, seed) in seeds.into_iter().enumerate() {
            let message = match index < MAX_JOIN_SEEDS {
                true => GossipMessage::Join(self.me.clone()),
                false => GossipMessage::Members(vec![self.me.clone()]),
            };
            out.push(MemberAction::Send(seed, message));
        }
    }

    /// Asks a random member for its full member list.
    pub(super) fn request_sync(&mut self, out: &mut Vec<MemberAction>) {
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
