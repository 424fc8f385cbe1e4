//! Remembers which software version began each stream, so that it goes on at that version only,
//! whichever daemon its caller takes it up at.
//!
//! A stream may outlive its entry daemon, and its caller names no version. A few daemons therefore
//! keep the origin of each stream; their number does not depend on the size of the deployment. See
//! docs/DESIGN.md, "Software versions".

use crate::coordination::messages::{OriginAgreement, StreamKey, StreamOrigin};
use crate::coordination::ownership::{origin_key, rank_daemons};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How many daemons keep an origin in the failure domain of the entry daemon, and how many among
/// all daemons.
const HOLDERS: usize = 2;
/// How many of each are asked for an origin. One more than keep it, as those that ask do not know
/// which daemon was the entry, which is not among the holders.
const ASKED: usize = HOLDERS + 1;
/// The maximum number of origins that a daemon keeps.
const MAX_ORIGINS: usize = 50_000;

/// The failure domains of the daemons that do not leave.
pub type DaemonDomains = BTreeMap<DaemonId, DomainName>;

/// An origin to send to a daemon that should keep it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OriginCopy {
    /// The key under which it is kept.
    pub key: StreamKey,
    /// How long it is kept from now on.
    pub lifetime: Duration,
    /// The origin itself.
    pub origin: StreamOrigin,
    /// The daemon that should keep it.
    pub to: DaemonId,
}

#[derive(Debug)]
struct OriginEntry {
    expires_at: Instant,
    /// The daemons that should keep it, by the members that this daemon knew last.
    holders: BTreeSet<DaemonId>,
    origin: StreamOrigin,
}

/// The origins of streams that this daemon keeps.
#[derive(Debug, Default)]
pub struct OriginBoard {
    daemons: DaemonDomains,
    entries: BTreeMap<StreamKey, OriginEntry>,
    expiry: BTreeSet<(Instant, StreamKey)>,
}

impl OriginBoard {
    /// Records the origin of a stream that begins at this daemon, and returns the copies to send.
    pub fn record(
        &mut self,
        now: Instant,
        key: &StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> Vec<OriginCopy> {
        let known = self.entries.get(key).map(|known| &known.origin);
        if known.is_some_and(|known| {
            known.request == origin.request && known.software == origin.software
        }) {
            return Vec::new();
        }
        self.learn(now, key, origin, lifetime);
        let Some(entry) = self.entries.get(key) else { return Vec::new() };
        let copies = entry.holders.iter().map(|to| OriginCopy {
            key: key.clone(),
            lifetime,
            origin: entry.origin.clone(),
            to: to.clone(),
        });
        copies.collect()
    }

    /// Records an origin that another daemon has sent.
    pub fn learn(
        &mut self,
        now: Instant,
        key: &StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.expire(now);
        let holders = holders_of(key, &origin, &self.daemons);
        let mut entry = OriginEntry { expires_at: now + lifetime, holders, origin };
        if let Some(old) = self.entries.remove(key) {
            self.expiry.remove(&(old.expires_at, key.clone()));
            if matches!(key, StreamKey::Content(_)) {
                entry.origin.agreement = merge_agreement(&old.origin, &entry.origin);
                entry.expires_at = entry.expires_at.max(old.expires_at);
            }
        }
        self.expiry.insert((entry.expires_at, key.clone()));
        self.entries.insert(key.clone(), entry);
        while self.entries.len() > MAX_ORIGINS {
            self.drop_first();
        }
    }

    /// Returns the origin of the stream with this key.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<&StreamOrigin> {
        let entry = self.entries.get(key).filter(|entry| now < entry.expires_at)?;
        Some(&entry.origin)
    }

    /// Returns the daemons to ask for an origin that this daemon, in the failure domain `domain`,
    /// does not keep.
    pub fn daemons_to_ask(&self, key: &StreamKey, domain: &DomainName) -> BTreeSet<DaemonId> {
        choose_daemons(key, domain, self.daemons.iter(), ASKED)
    }

    /// Applies a change of the membership, and returns the copies for daemons that should keep an
    /// origin from now on.
    pub fn change_daemons(&mut self, now: Instant, daemons: DaemonDomains) -> Vec<OriginCopy> {
        self.expire(now);
        let joined: BTreeSet<_> =
            daemons.keys().filter(|daemon| !self.daemons.contains_key(daemon)).cloned().collect();
        self.daemons = daemons;
        let mut copies = Vec::new();
        for (key, entry) in &mut self.entries {
            let complete = entry.holders.iter().all(|holder| self.daemons.contains_key(holder));
            let holders = match (complete, joined.is_empty()) {
                (true, true) => continue,
                // The other daemons rank after the holders, as they did before.
                (true, false) => {
                    let candidates = self.daemons.iter().filter(|(daemon, _)| {
                        entry.holders.contains(daemon) || joined.contains(daemon)
                    });
                    let candidates = candidates.map(|(id, domain)| (id.clone(), domain.clone()));
                    holders_of(key, &entry.origin, &candidates.collect())
                }
                (false, _) => holders_of(key, &entry.origin, &self.daemons),
            };
            let added = holders.difference(&entry.holders).cloned();
            copies.extend(added.map(|to| OriginCopy {
                key: key.clone(),
                lifetime: entry.expires_at.saturating_duration_since(now),
                origin: entry.origin.clone(),
                to,
            }));
            entry.holders = holders;
        }
        copies
    }

    /// Returns the number of origins that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while self.expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, key)) = self.expiry.pop_first() {
            self.entries.remove(&key);
        }
    }
}

/// Returns whether a key with these origins, the older one first, stands for one stream only.
fn merge_agreement(old: &StreamOrigin, new: &StreamOrigin) -> OriginAgreement {
    let is_same_stream = old.request == new.request;
    let least = if is_same_stream { OriginAgreement::Sole } else { OriginAgreement::Shared };
    let agreement = old.agreement.max(new.agreement).max(least);
    let agrees = (&old.service, &old.software) == (&new.service, &new.software);
    // Before its first event a stream may begin again at another version. Of several streams, the
    // others stay at the earlier one.
    match agrees || agreement == OriginAgreement::Sole {
        true => agreement,
        false => OriginAgreement::Contested,
    }
}

/// Returns the daemons that should keep an origin besides the entry daemon.
fn holders_of(
    key: &StreamKey,
    origin: &StreamOrigin,
    daemons: &DaemonDomains,
) -> BTreeSet<DaemonId> {
    let others = daemons.iter().filter(|(daemon, _)| **daemon != origin.request.entry);
    choose_daemons(key, &origin.domain, others, HOLDERS)
}

/// Returns the first `count` daemons of a failure domain and the first `count` of all, ranked for
/// a stream.
fn choose_daemons<'a>(
    key: &StreamKey,
    domain: &DomainName,
    daemons: impl Iterator<Item = (&'a DaemonId, &'a DomainName)>,
    count: usize,
) -> BTreeSet<DaemonId> {
    let domains: BTreeMap<_, _> = daemons.collect();
    let ranked = rank_daemons(&origin_key(key), domains.keys().copied());
    let local = ranked.iter().filter(|daemon| domains[*daemon] == domain).take(count);
    local.chain(ranked.iter().take(count)).map(|daemon| (*daemon).clone()).collect()
}
