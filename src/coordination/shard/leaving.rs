//! Decides when a request leaves its failure domain for engines of another one, and how many do.
//!
//! Answers this load: a failure domain whose demand swings or whose engines are lost has too little
//! room, while others have some to spare. Its owner knows how long a request has to wait at home and
//! what the owners of the other domains have said of their room. See
//! docs/design/leaving-a-failure-domain.md.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// After what time nothing is known of a failure domain that reports no more.
const ROOM_TTL: Duration = Duration::from_secs(1);
/// The shortest interval between two reports of the own room.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// The longest interval between two reports. A lost one must not let the news end.
const MAX_REPORT_PERIOD: Duration = Duration::from_millis(500);
/// After what time a request that still waits is advised again.
const ADVICE_PERIOD: Duration = Duration::from_millis(200);

/// What an owner tells the others of the room in its failure domain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoomReport {
    /// The number of requests of typical size that could start at once.
    pub starts: u32,
    /// The same for requests that have missed their first-token target and get spare capacity only.
    pub spare: u32,
}

impl RoomReport {
    fn room_for(&self, late: bool) -> u32 {
        if late { self.spare } else { self.starts }
    }
}

#[derive(Clone, Copy, Debug)]
struct DomainRoom {
    heard_at: Instant,
    report: RoomReport,
    /// The requests that were advised to go there since the report.
    sent: u32,
}

/// What the owner of a shard knows of the room in other failure domains.
#[derive(Debug, Default)]
pub struct LeavingBoard {
    advised: BTreeMap<AttemptId, Instant>,
    domains: BTreeMap<DomainName, DomainRoom>,
    reported: Option<(Instant, RoomReport)>,
}

impl LeavingBoard {
    /// Records a report of another failure domain's owner.
    pub fn record(&mut self, now: Instant, domain: DomainName, report: RoomReport) {
        self.domains.insert(domain, DomainRoom { heard_at: now, report, sent: 0 });
    }

    /// Returns whether the room of any other failure domain is known.
    pub fn is_informed(&self, now: Instant) -> bool {
        self.known(now).next().is_some()
    }

    /// Returns the failure domain to which a request may go now, and counts the request there; `None` if
    /// none has room left, or if the request was advised a moment ago. A `late` request has missed its
    /// first-token target.
    pub fn choose(&mut self, now: Instant, attempt: &AttemptId, late: bool) -> Option<DomainName> {
        self.advised.retain(|_, at| now < *at + ADVICE_PERIOD);
        if self.advised.contains_key(attempt) {
            return None;
        }
        // Every other domain may send to a domain that has room, so each takes its part of it.
        let senders = self.known(now).count().max(1) as u32;
        let free = |room: &DomainRoom| {
            room.report.room_for(late).div_ceil(senders).saturating_sub(room.sent)
        };
        let best = self.known(now).max_by_key(|(_, room)| free(room));
        let domain = best.filter(|(_, room)| free(room) > 0)?.0.clone();
        self.domains.get_mut(&domain)?.sent += 1;
        self.advised.insert(attempt.clone(), now);
        Some(domain)
    }

    /// Returns whether the own room is to be reported now, and remembers that it was.
    pub fn is_report_due(&mut self, now: Instant, report: RoomReport) -> bool {
        let is_due = self.reported.is_none_or(|(at, last)| {
            let period = if last == report { MAX_REPORT_PERIOD } else { REPORT_PERIOD };
            now >= at + period
        });
        if is_due {
            self.reported = Some((now, report));
        }
        is_due
    }

    fn known(&self, now: Instant) -> impl Iterator<Item = (&DomainName, &DomainRoom)> {
        self.domains.iter().filter(move |(_, room)| now < room.heard_at + ROOM_TTL)
    }
}
