//! Tickets, with which a caller can safely resend a request that must run at most once.
//!
//! Only the daemon incarnation that a ticket names, its home, may start the request. So
//! at-most-once execution needs no write to the store and holds through network partitions and
//! pauses. A stopping home hands its tables, and with them this right, to exactly one successor.
//! See docs/DESIGN.md, "Requests that may not be repeated".

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

/// The time by which a row outlives its ticket, so that a daemon whose clock is behind cannot take
/// a used ticket for an unused one.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// The maximum size of all response bodies that one daemon keeps, in bytes.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;
/// The maximum size of one response body that is kept, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// The maximum size of all response bodies in a handover, in bytes; further responses are handed
/// over without their bodies.
const MAX_HANDOVER_BYTES: usize = 700 * 1024;

/// A ticket: which daemon may start the request, and until when.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketId {
    /// The daemon incarnation that issued the ticket. Only it may start the request, or its
    /// successor after a handover.
    pub home: DaemonId,
    /// The ticket's number, unique at its home.
    pub sequence: u64,
    /// When the ticket expires, in seconds of Unix time.
    pub expires: u64,
}

impl TicketId {
    /// Returns the ticket as text, with a message authentication code that needs `key`.
    pub fn sign(&self, key: &[u8; 32]) -> String {
        format!("{self}.{:016x}", self.mac(key))
    }

    /// Parses a signed ticket. Returns `None` if it is malformed or its authentication code is
    /// wrong.
    pub fn verify(text: &str, key: &[u8; 32]) -> Option<Self> {
        let (body, mac) = text.rsplit_once('.')?;
        let ticket: Self = body.parse().ok()?;
        let mac = u64::from_str_radix(mac, 16).ok()?;
        (ticket.mac(key) == mac).then_some(ticket)
    }

    fn mac(&self, key: &[u8; 32]) -> u64 {
        let digest = blake3::keyed_hash(key, self.to_string().as_bytes());
        let mut half = [0; 8];
        half.copy_from_slice(&digest.as_bytes()[..8]);
        u64::from_le_bytes(half)
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}", self.home, self.sequence, self.expires)
    }
}

impl FromStr for TicketId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fail = || format!("ticket {text:?} is malformed");
        let (rest, expires) = text.rsplit_once('.').ok_or_else(fail)?;
        let (home, sequence) = rest.rsplit_once('.').ok_or_else(fail)?;
        Ok(Self {
            expires: expires.parse().map_err(|_| fail())?,
            home: home.parse().map_err(|_| fail())?,
            sequence: u64::from_str_radix(sequence, 16).map_err(|_| fail())?,
        })
    }
}

/// A response that is kept in case the request is sent again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The body; `None` if it exceeded a limit on the bodies that are kept or handed over.
    pub body: Option<Vec<u8>>,
    /// The response's `Content-Type`.
    pub content_type: String,
    /// The HTTP status code.
    pub status: u16,
}

/// The state of a request that has been started under a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketState {
    /// The request is in progress.
    Running,
    /// The request ran and got this response.
    Completed(StoredResponse),
    /// The request may have run; it is never started again.
    MayHaveRun,
}

/// The record of a used ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRow {
    /// When the ticket expires, in seconds of Unix time. The row is kept for `MAX_CLOCK_SKEW`
    /// longer.
    pub expires: u64,
    /// A digest of the request that the ticket was first used with.
    pub fingerprint: Fingerprint,
    /// The state of that request.
    pub state: TicketState,
}

/// What a daemon has to do with a request that carries a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// Start the request, which is now marked as running.
    Run,
    /// Replay this response.
    Respond(StoredResponse),
    /// Refuse the request for this reason.
    Refuse(Refusal),
    /// Forward the request to this daemon, which decides about the ticket.
    Forward(DaemonId),
}

/// How a request ended that was started under a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketResult {
    /// The request ran and got this response.
    Completed(StoredResponse),
    /// The request was refused before an upstream started it, and may be started again.
    NotRun,
    /// The request may have run; its response is not known.
    MayHaveRun,
}

/// The used tickets of one daemon incarnation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRows {
    /// When the last ticket of this daemon incarnation expires, in seconds of Unix time.
    pub expires: u64,
    /// The rows of used tickets, by sequence number.
    pub rows: BTreeMap<u64, TicketRow>,
}

/// The tables that a stopping daemon hands to its successor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketHandover {
    /// The daemon that is stopping.
    pub from: DaemonId,
    /// The daemon's own table and those that it has taken over, by the tickets' home.
    pub tables: BTreeMap<DaemonId, TicketRows>,
}

/// The tickets that one daemon is responsible for: its own and those of its predecessors.
#[derive(Debug)]
pub struct TicketTable {
    handed_over: bool,
    /// The successor of each stopped daemon.
    successors: BTreeMap<DaemonId, DaemonId>,
    me: DaemonId,
    /// The sequence number of the ticket that was issued last.
    sequence: u64,
    /// The size of all kept response bodies, in bytes.
    stored_bytes: usize,
    tables: BTreeMap<DaemonId, TicketRows>,
}

impl TicketTable {
    /// Creates an empty table for the daemon `me`.
    pub fn new(me: DaemonId) -> Self {
        let tables = BTreeMap::from([(me.clone(), TicketRows::default())]);
        Self {
            handed_over: false,
            successors: BTreeMap::new(),
            me,
            sequence: 0,
            stored_bytes: 0,
            tables,
        }
    }

    /// Issues a ticket that is valid for `window`, at least one second.
    pub fn issue(&mut self, wall: SystemTime, window: Duration) -> TicketId {
        self.sequence += 1;
        let expires = unix_seconds(wall) + window.as_secs().max(1);
        if let Some(table) = self.tables.get_mut(&self.me) {
            table.expires = table.expires.max(expires);
        }
        TicketId { home: self.me.clone(), sequence: self.sequence, expires }
    }

    /// Decides about a request that carries a ticket. After [`TicketDecision::Run`], the caller has
    /// to report the outcome with [`TicketTable::finish`].
    pub fn begin(
        &mut self,
        wall: SystemTime,
        ticket: &TicketId,
        fingerprint: Fingerprint,
    ) -> TicketDecision {
        if self.handed_over {
            return self.decide_remote(ticket);
        }
        let Some(table) = self.tables.get_mut(&ticket.home) else {
            return self.decide_remote(ticket);
        };
        let rows = &mut table.rows;
        if let Some(row) = rows.get(&ticket.sequence) {
            return decide_used(row, fingerprint);
        }
        if unix_seconds(wall) >= ticket.expires {
            // The row may have been removed already, so it is unknown whether the request has run.
            let refusal = Refusal::not_run(RefusalReason::BadTicket);
            return TicketDecision::Refuse(refusal.with_verdict(Verdict::MayHaveRun));
        }
        let expires = ticket.expires;
        rows.insert(
            ticket.sequence,
            TicketRow { expires, fingerprint, state: TicketState::Running },
        );
        TicketDecision::Run
    }

    /// Records how a request ended that [`TicketTable::begin`] let run.
    pub fn finish(&mut self, ticket: &TicketId, result: TicketResult) {
        let Some(table) = self.tables.get_mut(&ticket.home) else { return };
        let rows = &mut table.rows;
        let Some(row) = rows.get_mut(&ticket.sequence) else { return };
        match result {
            TicketResult::NotRun => {
                rows.remove(&ticket.sequence);
            }
            TicketResult::MayHaveRun => row.state = TicketState::MayHaveRun,
            TicketResult::Completed(response) => {
                let size = response.body.as_ref().map_or(0, Vec::len);
                let fits =
                    size <= MAX_RESPONSE_BYTES && self.stored_bytes + size <= MAX_STORED_BYTES;
                self.stored_bytes += if fits { size } else { 0 };
                let body = response.body.filter(|_| fits);
                row.state = TicketState::Completed(StoredResponse { body, ..response });
            }
        }
    }

    /// Returns whether any request is still in progress.
    pub fn is_busy(&self) -> bool {
        self.rows().any(|row| row.state == TicketState::Running)
    }

    /// Removes rows and tables that expired longer ago than `MAX_CLOCK_SKEW`. Running requests keep
    /// their rows.
    pub fn prune(&mut self, wall: SystemTime) {
        let now = unix_seconds(wall);
        let is_live = |expires: u64| expires + MAX_CLOCK_SKEW.as_secs() > now;
        for table in self.tables.values_mut() {
            let keep = |row: &TicketRow| is_live(row.expires) || row.state == TicketState::Running;
            table.rows.retain(|_, row| keep(row));
        }
        let me = self.me.clone();
        self.tables
            .retain(|home, table| *home == me || is_live(table.expires) || !table.rows.is_empty());
        self.stored_bytes = self.rows().map(body_size).sum();
    }

    /// Returns the tables for the one successor. From now on this table starts no request.
    pub fn hand_over(&mut self) -> TicketHandover {
        self.handed_over = true;
        let mut tables = self.tables.clone();
        let mut remaining = MAX_HANDOVER_BYTES;
        for row in tables.values_mut().flat_map(|table| table.rows.values_mut()) {
            let size = body_size(row);
            if size <= remaining {
                remaining -= size;
            } else if let TicketState::Completed(response) = &mut row.state {
                response.body = None;
            }
            if row.state == TicketState::Running {
                row.state = TicketState::MayHaveRun;
            }
        }
        TicketHandover { from: self.me.clone(), tables }
    }

    /// Takes over another daemon's tables. Repeating the same handover changes nothing.
    pub fn take_over(&mut self, handover: TicketHandover) {
        for (home, table) in handover.tables {
            self.tables.entry(home).or_insert(table);
        }
    }

    /// Records which daemon has taken over a stopped daemon's tickets.
    pub fn set_successor(&mut self, from: DaemonId, successor: DaemonId) {
        self.successors.insert(from, successor);
    }

    /// Returns the stopped daemons whose tickets this one has taken over.
    pub fn predecessors(&self) -> impl Iterator<Item = &DaemonId> {
        self.tables.keys().filter(|home| **home != self.me)
    }

    /// Returns the number of used tickets that are recorded.
    pub fn len(&self) -> usize {
        self.rows().count()
    }

    /// Returns whether no used ticket is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rows(&self) -> impl Iterator<Item = &TicketRow> {
        self.tables.values().flat_map(|table| table.rows.values())
    }

    /// Decides about a ticket that this daemon is not responsible for.
    fn decide_remote(&self, ticket: &TicketId) -> TicketDecision {
        let mut holder = &ticket.home;
        // A successor may have stopped too. The chain grows with the number of restarts while a
        // ticket is valid.
        for _ in 0..self.successors.len() {
            match self.successors.get(holder) {
                Some(successor) => holder = successor,
                None => break,
            }
        }
        if *holder == self.me {
            let refusal = Refusal::not_run(RefusalReason::TicketHomeGone);
            return TicketDecision::Refuse(refusal.with_verdict(Verdict::MayHaveRun));
        }
        TicketDecision::Forward(holder.clone())
    }
}

fn decide_used(row: &TicketRow, fingerprint: Fingerprint) -> TicketDecision {
    if row.fingerprint != fingerprint {
        return TicketDecision::Refuse(Refusal::not_run(RefusalReason::BadTicket));
    }
    match &row.state {
        TicketState::Running => {
            let refusal = Refusal::not_run(RefusalReason::InProgress);
            let refusal = refusal.with_verdict(Verdict::MayHaveRun);
            TicketDecision::Refuse(refusal.with_retry_after(Duration::from_secs(1)))
        }
        TicketState::Completed(response) => TicketDecision::Respond(response.clone()),
        TicketState::MayHaveRun => {
            let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
            TicketDecision::Refuse(refusal.with_verdict(Verdict::MayHaveRun))
        }
    }
}

fn body_size(row: &TicketRow) -> usize {
    match &row.state {
        TicketState::Completed(response) => response.body.as_ref().map_or(0, Vec::len),
        TicketState::Running | TicketState::MayHaveRun => 0,
    }
}

fn unix_seconds(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
