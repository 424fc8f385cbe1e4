//! What happens to a shard, what its ledger wants done, and what an operator sees.

use crate::coordination::messages::ShardMessage;
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What this daemon is to the shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardRole {
    /// Takes over if the owner goes, and knows all claims for that.
    Backup,
    /// Has no duty.
    Bystander,
    /// Alone admits work.
    Owner,
}

/// What happens to a shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// An upstream confirmed that an attempt holds nothing there.
    CancelConfirmed(AttemptId, UpstreamName),
    /// The configuration changed.
    Configure(Arc<ServiceTemplate>, BTreeMap<AccountName, AccountQuota>),
    /// Another daemon, or this one, says something.
    Message(DaemonId, ShardMessage),
    /// The members that are alive changed, and with them perhaps this daemon's role.
    Members {
        /// Every live daemon, of all failure domains.
        live: BTreeSet<DaemonId>,
        /// The live daemons of the shard's own failure domain.
        local: BTreeSet<DaemonId>,
        /// What this daemon is now.
        role: ShardRole,
    },
    /// Time has passed.
    Tick,
}

/// What the ledger wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Cancel an attempt at an upstream and report the confirmation.
    Cancel(UpstreamSpec, AttemptId),
    /// Say something to a daemon.
    Send(DaemonId, ShardMessage),
}

/// One upstream in the status report.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// The slots in use.
    pub slots: u32,
    /// All slots.
    pub slots_of: Slots,
    /// The pieces of memory in use.
    pub pieces: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it takes work now.
    pub usable: bool,
}

/// What an operator sees of a shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// This daemon's role.
    pub role: ShardRole,
    /// The asks that wait.
    pub waiting: usize,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}
