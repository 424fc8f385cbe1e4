//! Divides among the daemons the requests that upstreams in need take from all of them together.
//!
//! Each daemon sends its share by itself, so that no request waits for a permit of another daemon.
//! See docs/DESIGN.md, "Request limits of upstreams".

use crate::prelude::*;
use std::collections::BTreeMap;

/// How long a limit is in force without news. The daemons without a share send nothing, so that
/// they do not hear from the upstream itself.
const LIMIT_TTL: Duration = Duration::from_secs(60);
/// The interval at which a limit that is in force is announced again.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(20);
/// The relative change of a limit that is announced at once.
const ANNOUNCED_CHANGE: f64 = 0.1;
/// The time after which callers are told to come back to a daemon that has no share: another one
/// may have.
const NO_SHARE_DELAY: Duration = Duration::from_secs(1);
/// The time for which a share that was not used may be used later, beyond one request.
const BURST_TIME: Duration = Duration::from_millis(200);
/// The smallest rate that is used for a limit, so that a limit of zero is heard of again.
const MIN_RATE: RequestRate = RequestRate(10);

/// Whether the other daemons must be told of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitNews {
    /// The others know already.
    Known,
    /// The limit is new, has changed, has ended or was announced long ago.
    Announce,
}

/// The limit of one upstream, and this daemon's share of it as a token bucket that holds
/// little more than one request.
#[derive(Clone, Debug)]
struct LimitEntry {
    announced_at: Instant,
    announced_rate: RequestRate,
    /// When this daemon last heard of the limit, from the upstream or another daemon.
    heard_at: Instant,
    incarnation: Incarnation,
    /// The number of requests that may be sent.
    level: f64,
    level_at: Instant,
    rate: RequestRate,
    /// The requests per second that this daemon may send; zero if it has no share.
    share: f64,
}

impl LimitEntry {
    fn new(now: Instant, incarnation: Incarnation, rate: RequestRate) -> Self {
        Self {
            announced_at: now,
            announced_rate: rate,
            heard_at: now,
            incarnation,
            level: 0.0,
            level_at: now,
            rate,
            share: 0.0,
        }
    }

    fn refill(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.level_at).as_secs_f64();
        let capacity = 1.0 + self.share * BURST_TIME.as_secs_f64();
        self.level = (self.level + self.share * time).min(capacity);
        self.level_at = now;
    }

    /// Returns when the next request may be sent; `now` if one may be sent at once.
    fn next_at(&self, now: Instant) -> Instant {
        if self.share <= 0.0 {
            return now + NO_SHARE_DELAY;
        }
        let time = now.saturating_duration_since(self.level_at).as_secs_f64();
        let missing = 1.0 - self.level - self.share * time;
        if missing <= 0.0 { now } else { now + Duration::from_secs_f64(missing / self.share) }
    }
}

/// The limits that upstreams have named, by upstream.
#[derive(Debug, Default)]
pub struct LimitBoard {
    entries: BTreeMap<UpstreamName, LimitEntry>,
}

impl LimitBoard {
    /// Records what a response says of the upstream's limit; `None` if it names none. `sent` is when
    /// the request was sent: one that was sent before the limit was heard of does not end it.
    pub fn record(
        &mut self,
        now: Instant,
        sent: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
    ) -> LimitNews {
        let known = self.entries.get(name).filter(|entry| entry.incarnation >= incarnation);
        if known.is_some_and(|entry| entry.incarnation > incarnation) {
            return LimitNews::Known;
        }
        let Some(rate) = rate else {
            if known.is_none_or(|entry| sent < entry.heard_at) {
                return LimitNews::Known;
            }
            self.entries.remove(name);
            return LimitNews::Announce;
        };
        let (announced_at, announced) = match known {
            Some(entry) => (Some(entry.announced_at), entry.announced_rate),
            None => (None, rate),
        };
        self.set(now, name, incarnation, rate);
        let change = (rate.per_second() - announced.per_second()).abs();
        let changed = change > announced.per_second() * ANNOUNCED_CHANGE;
        let is_fresh = announced_at.is_some_and(|at| now < at + ANNOUNCE_PERIOD);
        if is_fresh && !changed {
            return LimitNews::Known;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            (entry.announced_at, entry.announced_rate) = (now, rate);
        }
        LimitNews::Announce
    }

    /// Records a limit, or its end, that another daemon has announced. Returns whether it is new.
    pub fn learn(
        &mut self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        rate: Option<RequestRate>,
    ) -> bool {
        if self.entries.get(name).is_some_and(|entry| entry.incarnation > incarnation) {
            return false;
        }
        let before = self.entries.get(name).map(|entry| entry.announced_rate);
        match rate {
            Some(rate) => {
                self.set(now, name, incarnation, rate);
                if let Some(entry) = self.entries.get_mut(name) {
                    (entry.announced_at, entry.announced_rate) = (now, rate);
                }
            }
            None => drop(self.entries.remove(name)),
        }
        before != rate
    }

    /// Returns the upstreams that have named a limit.
    pub fn names(&self) -> Vec<UpstreamName> {
        self.entries.keys().cloned().collect()
    }

    /// Drops the limits of which nothing was heard for long, and sets this daemon's shares of the
    /// others. `rank` returns its rank for an upstream among the daemons, from 0.
    ///
    /// No more daemons have a share than the limit allows requests a second: a bucket holds a whole
    /// request, and the buckets together must not hold many more than the upstream takes.
    pub fn divide(
        &mut self,
        now: Instant,
        daemons: usize,
        rank: impl Fn(&UpstreamName) -> Option<usize>,
    ) {
        self.entries.retain(|_, entry| now < entry.heard_at + LIMIT_TTL);
        for (name, entry) in &mut self.entries {
            let holders = (entry.rate.per_second() as usize).clamp(1, daemons.max(1));
            let has_share = rank(name).is_some_and(|rank| rank < holders);
            let share = if has_share { entry.rate.per_second() / holders as f64 } else { 0.0 };
            entry.refill(now);
            entry.share = share;
            if !has_share {
                entry.level = 0.0;
            }
        }
    }

    /// Takes one request from this daemon's share; returns false if there is none now.
    pub fn take(&mut self, now: Instant, name: &UpstreamName, incarnation: Incarnation) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return true };
        if entry.incarnation < incarnation {
            return true;
        }
        let may_send = entry.next_at(now) <= now;
        if may_send {
            entry.refill(now);
            entry.level -= 1.0;
        }
        may_send
    }

    /// Returns until when this daemon may send an upstream nothing because of its limit.
    pub fn blocked_until(
        &self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
    ) -> Option<Instant> {
        let entry = self.entries.get(name).filter(|entry| entry.incarnation >= incarnation)?;
        Some(entry.next_at(now)).filter(|at| *at > now)
    }

    fn set(
        &mut self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        rate: RequestRate,
    ) {
        let rate = rate.max(MIN_RATE);
        let entry = self.entries.entry(name.clone());
        let entry = entry.or_insert_with(|| LimitEntry::new(now, incarnation, rate));
        if entry.incarnation < incarnation {
            *entry = LimitEntry::new(now, incarnation, rate);
        }
        (entry.rate, entry.heard_at) = (rate, now);
    }
}
