//! Tickets, which let a request that may not be repeated be sent again without running twice.
//!
//! Only the daemon life named in a ticket may ever start it, so at-most-once needs no write to
//! the store and holds through cuts and pauses. A stopping daemon hands its table to exactly one
//! heir. See docs/DESIGN.md, "Requests that may not be repeated".

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

/// How long a row outlives its ticket, so that a daemon whose clock is behind cannot take a used
/// ticket for a fresh one.
const CLOCK_MARGIN: Duration = Duration::from_secs(300);
/// The bytes of stored answers that one daemon keeps.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;
/// The largest stored answer.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// The bytes of answers that are handed to an heir; past it answers go without body.
const MAX_HANDOVER_BYTES: usize = 700 * 1024;

/// A ticket: who may start the request, and until when.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TicketId {
    /// The daemon life that alone may start it.
    pub home: DaemonId,
    /// Its number there.
    pub sequence: u64,
    /// When it expires, in seconds of the calendar time since 1970.
    pub expires: u64,
}

impl TicketId {
    /// Returns the ticket's text with a check that only holders of `key` can compute.
    pub fn sign(&self, key: &[u8; 32]) -> String {
        format!("{self}.{:016x}", self.check(key))
    }

    /// Reads a signed ticket; nothing when it is malformed or its check does not fit.
    pub fn verify(text: &str, key: &[u8; 32]) -> Option<Self> {
        let (body, check) = text.rsplit_once('.')?;
        let ticket: Self = body.parse().ok()?;
        let check = u64::from_str_radix(check, 16).ok()?;
        (ticket.check(key) == check).then_some(ticket)
    }

    fn check(&self, key: &[u8; 32]) -> u64 {
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

/// An answer that is kept for whoever repeats the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The content; nothing when it was too large to keep.
    pub body: Option<Vec<u8>>,
    /// The media type.
    pub content_type: String,
    /// The HTTP status.
    pub status: u16,
}

/// What is known of a ticket's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TicketState {
    /// It runs now.
    Running,
    /// It has been answered.
    Answered(StoredResponse),
    /// It may have run; nobody will run it again.
    MayHaveRun,
}

/// A ticket's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRow {
    /// When it may be forgotten, in seconds of the calendar time since 1970.
    pub expires: u64,
    /// The body that it was first used with.
    pub fingerprint: Fingerprint,
    /// What became of the request.
    pub state: TicketState,
}

/// What a daemon may do with a ticket that was presented to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketDecision {
    /// Start the request; it is marked as running.
    Run,
    /// Give this answer again.
    Answer(StoredResponse),
    /// Refuse.
    Refuse(Refusal),
    /// Another daemon holds the ticket.
    Forward(DaemonId),
}

/// How a ticket's request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketResult {
    /// It was answered.
    Answered(StoredResponse),
    /// It was refused before an upstream started it, and may be tried again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// The rows of one daemon life.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRows {
    /// When the last ticket of this daemon life expires, in seconds since 1970.
    pub expires: u64,
    /// The rows of used tickets, by number.
    pub rows: BTreeMap<u64, TicketRow>,
}

/// A stopping daemon's tables, for its heir.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketHandover {
    /// Who stops.
    pub from: DaemonId,
    /// Its own table and those it has inherited.
    pub tables: BTreeMap<DaemonId, TicketRows>,
}

/// The tickets of one daemon.
#[derive(Debug)]
pub struct TicketTable {
    handed_over: bool,
    successors: BTreeMap<DaemonId, DaemonId>,
    me: DaemonId,
    sequence: u64,
    stored_bytes: usize,
    tables: BTreeMap<DaemonId, TicketRows>,
}

impl TicketTable {
    /// Returns an empty table.
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

    /// Makes a ticket that is honoured for `window`.
    pub fn issue(&mut self, wall: SystemTime, window: Duration) -> TicketId {
        self.sequence += 1;
        let expires = unix_seconds(wall) + window.as_secs().max(1);
        if let Some(table) = self.tables.get_mut(&self.me) {
            table.expires = table.expires.max(expires);
        }
        TicketId { home: self.me.clone(), sequence: self.sequence, expires }
    }

    /// Decides about a request that carries a ticket.
    pub fn begin(
        &mut self,
        wall: SystemTime,
        ticket: &TicketId,
        fingerprint: Fingerprint,
    ) -> TicketDecision {
        if self.handed_over {
            return self.decide_elsewhere(ticket);
        }
        let Some(table) = self.tables.get_mut(&ticket.home) else {
            return self.decide_elsewhere(ticket);
        };
        let rows = &mut table.rows;
        if let Some(row) = rows.get(&ticket.sequence) {
            return decide_known(row, fingerprint);
        }
        if unix_seconds(wall) >= ticket.expires {
            // The row may have been forgotten, so nobody can say that it has not run.
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

    /// Notes how a request ended that [`TicketTable::begin`] let run.
    pub fn finish(&mut self, ticket: &TicketId, result: TicketResult) {
        let Some(table) = self.tables.get_mut(&ticket.home) else { return };
        let rows = &mut table.rows;
        let Some(row) = rows.get_mut(&ticket.sequence) else { return };
        match result {
            TicketResult::NotRun => {
                rows.remove(&ticket.sequence);
            }
            TicketResult::MayHaveRun => row.state = TicketState::MayHaveRun,
            TicketResult::Answered(answer) => {
                let size = answer.body.as_ref().map_or(0, Vec::len);
                let fits = size <= MAX_ANSWER_BYTES && self.stored_bytes + size <= MAX_STORED_BYTES;
                self.stored_bytes += if fits { size } else { 0 };
                let body = answer.body.filter(|_| fits);
                row.state = TicketState::Answered(StoredResponse { body, ..answer });
            }
        }
    }

    /// Returns whether a request that was let run is not yet finished.
    pub fn is_busy(&self) -> bool {
        self.rows().any(|row| row.state == TicketState::Running)
    }

    /// Forgets what has expired.
    pub fn prune(&mut self, wall: SystemTime) {
        let now = unix_seconds(wall);
        let is_live = |expires: u64| expires + CLOCK_MARGIN.as_secs() > now;
        for table in self.tables.values_mut() {
            let keep = |row: &TicketRow| is_live(row.expires) || row.state == TicketState::Running;
            table.rows.retain(|_, row| keep(row));
        }
        let me = self.me.clone();
        self.tables
            .retain(|home, table| *home == me || is_live(table.expires) || !table.rows.is_empty());
        self.stored_bytes = self.rows().map(stored_size).sum();
    }

    /// Stops starting requests, for good, and returns the tables for the one heir.
    pub fn hand_over(&mut self) -> TicketHandover {
        self.handed_over = true;
        let mut tables = self.tables.clone();
        let mut room = MAX_HANDOVER_BYTES;
        for row in tables.values_mut().flat_map(|table| table.rows.values_mut()) {
            let size = stored_size(row);
            if size <= room {
                room -= size;
            } else if let TicketState::Answered(answer) = &mut row.state {
                answer.body = None;
            }
            if row.state == TicketState::Running {
                row.state = TicketState::MayHaveRun;
            }
        }
        TicketHandover { from: self.me.clone(), tables }
    }

    /// Takes over another daemon's tables; the second time changes nothing.
    pub fn take_over(&mut self, handover: TicketHandover) {
        for (home, table) in handover.tables {
            self.tables.entry(home).or_insert(table);
        }
    }

    /// Notes who answers for a stopped daemon's tickets.
    pub fn set_successor(&mut self, from: DaemonId, heir: DaemonId) {
        self.successors.insert(from, heir);
    }

    /// Returns the stopped daemons for which this one answers.
    pub fn predecessors(&self) -> impl Iterator<Item = &DaemonId> {
        self.tables.keys().filter(|home| **home != self.me)
    }

    /// Returns how many rows there are.
    pub fn len(&self) -> usize {
        self.rows().count()
    }

    /// Returns whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rows(&self) -> impl Iterator<Item = &TicketRow> {
        self.tables.values().flat_map(|table| table.rows.values())
    }

    fn decide_elsewhere(&self, ticket: &TicketId) -> TicketDecision {
        let mut holder = &ticket.home;
        // An heir may have stopped too; the chain is as long as the restarts in a window.
        for _ in 0..self.successors.len() {
            match self.successors.get(holder) {
                Some(heir) => holder = heir,
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

fn decide_known(row: &TicketRow, fingerprint: Fingerprint) -> TicketDecision {
    if row.fingerprint != fingerprint {
        return TicketDecision::Refuse(Refusal::not_run(RefusalReason::BadTicket));
    }
    match &row.state {
        TicketState::Running => {
            let refusal = Refusal::not_run(RefusalReason::InProgress);
            let refusal = refusal.with_verdict(Verdict::MayHaveRun);
            TicketDecision::Refuse(refusal.with_retry_after(Duration::from_secs(1)))
        }
        TicketState::Answered(answer) => TicketDecision::Answer(answer.clone()),
        TicketState::MayHaveRun => {
            let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
            TicketDecision::Refuse(refusal.with_verdict(Verdict::MayHaveRun))
        }
    }
}

fn stored_size(row: &TicketRow) -> usize {
    match &row.state {
        TicketState::Answered(answer) => answer.body.as_ref().map_or(0, Vec::len),
        TicketState::Running | TicketState::MayHaveRun => 0,
    }
}

fn unix_seconds(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
