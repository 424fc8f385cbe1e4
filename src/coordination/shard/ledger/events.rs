//! Inputs, outputs and status report of a shard's ledger.

use crate::coordination::messages::ShardMessage;
use crate::coordination::shard::pool::{LoadReport, UpstreamNews};
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The role of this daemon in a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardRole {
    /// Replicates all claims so that it can take over from the owner.
    Backup,
    /// Takes no part in the shard and keeps no claims.
    Bystander,
    /// Admits requests. A shard has one owner, except for moments in which daemons have different
    /// views of the membership.
    Owner,
}

/// An input of [`ShardLedger::handle`](super::ShardLedger::handle).
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// The upstream confirmed that the attempt no longer holds anything there.
    CancelConfirmed(AttemptId, UpstreamName),
    /// The service template or the accounts' quotas changed.
    Configure(Arc<ServiceTemplate>, BTreeMap<AccountName, AccountQuota>),
    /// A response of an upstream of this incarnation has said how loaded it is. The time is what a
    /// complete call took.
    Reported(UpstreamName, Incarnation, LoadReport, Option<Duration>),
    /// Another daemon has said how loaded upstreams are.
    News(Vec<UpstreamNews>),
    /// A message arrived from the daemon, which may be this one.
    Message(DaemonId, ShardMessage),
    /// The set of live daemons changed, and possibly this daemon's role.
    Members {
        /// All live daemons, in every failure domain.
        live: BTreeSet<DaemonId>,
        /// The live daemons in the shard's own failure domain.
        local: BTreeSet<DaemonId>,
        /// This daemon's role from now on.
        role: ShardRole,
    },
    /// A timer fired; queued requests past their latest start are refused, and cancels that are due
    /// are sent.
    Tick,
}

/// An effect that [`ShardLedger::handle`](super::ShardLedger::handle) asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Cancel the attempt at the upstream, and report its confirmation with
    /// [`ShardEvent::CancelConfirmed`].
    Cancel(UpstreamSpec, AttemptId),
    /// Send the message to the daemon.
    Send(DaemonId, ShardMessage),
    /// Send the message to the owner of the same service in another failure domain.
    SendToOwner(DomainName, ShardMessage),
}

/// One upstream in the status report.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub name: UpstreamName,
    /// The number of slots in use.
    pub slots: u32,
    /// The number of slots that the upstream has.
    pub slots_of: Slots,
    /// The number of KV-cache blocks in use.
    pub pieces: u32,
    /// Whether the upstream is draining and takes no new requests.
    pub leaving: bool,
    /// Whether the upstream takes requests now: it is neither draining nor backed off.
    pub usable: bool,
}

/// The status report of one shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// This daemon's role in the shard.
    pub role: ShardRole,
    /// The time that requests must leave for their first token beyond that of an idle worker; `None` where
    /// it is not taken into account.
    pub start_margin: Option<Duration>,
    /// The number of requests that wait in the queue.
    pub waiting: usize,
    /// The upstreams of the shard, by name.
    pub upstreams: Vec<UpstreamStatus>,
}
