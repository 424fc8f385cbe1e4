//! This daemon's replica of the configuration. A configuration is only ever replaced by one of a
//! higher revision.
//!
//! Two daemons in each failure domain watch the store; all others get changes from their peers. So
//! the number of calls to the store grows with the failure domains and not with the daemons. See
//! docs/DESIGN.md, "Configuration".

use crate::coordination::messages::ConfigMessage;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The time to wait for a peer's response to a request for changes before another peer is asked.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// An input of [`ConfigReplica::handle`].
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// A configuration message was received from a peer.
    Peer(DaemonId, ConfigMessage),
    /// A membership probe or its ack showed that a peer has this revision.
    PeerRevision(DaemonId, Revision),
    /// The documents that changed after revision `since` were read from the store.
    Store {
        /// The revision that the documents are a difference to.
        since: Revision,
        /// The revision that results when the documents are applied.
        revision: Revision,
        /// The changed documents by name; a removed one has an empty text.
        documents: BTreeMap<DocumentName, StoredDocument>,
    },
}

/// An effect that [`ConfigReplica::handle`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Send a configuration message to a peer.
    Send(DaemonId, ConfigMessage),
    /// Announce the new revision to the peers in this daemon's failure domain.
    Announce(Revision),
    /// Put this configuration into force.
    Apply(Arc<FleetConfig>),
    /// Report a revision that was rejected and why; the configuration in force is kept.
    Reject(Revision, String),
}

/// A request for changes that awaits a peer's response.
#[derive(Debug)]
struct PendingFetch {
    revision: Revision,
    sent_at: Instant,
}

/// The configuration in force at this daemon, and the exchange of newer ones.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    current: Arc<FleetConfig>,
    pending: Option<PendingFetch>,
    /// The last revision that was rejected, until a valid one is applied.
    rejected: Option<Revision>,
    applied_at: Option<Instant>,
}

impl ConfigReplica {
    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: ConfigEvent) -> Vec<ConfigAction> {
        let mut out = Vec::new();
        match event {
            ConfigEvent::Peer(from, message) => self.handle_peer(now, from, message, &mut out),
            ConfigEvent::PeerRevision(from, revision) => self.fetch(now, from, revision, &mut out),
            ConfigEvent::Store { since, revision, documents } => {
                self.apply_changes(now, since, revision, documents, &mut out);
            }
        }
        out
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<FleetConfig> {
        &self.current
    }

    /// Replaces the configuration unconditionally. The caller has validated it and makes sure that
    /// revisions do not go back.
    pub fn adopt(&mut self, now: Instant, config: Arc<FleetConfig>) {
        self.current = config;
        self.applied_at = Some(now);
    }

    /// Returns when the configuration in force was applied, or `None` before the first one.
    pub fn applied_at(&self) -> Option<Instant> {
        self.applied_at
    }

    /// Returns the last revision that was rejected as invalid, if no valid one has followed it.
    pub fn rejected(&self) -> Option<Revision> {
        self.rejected
    }

    fn handle_peer(
        &mut self,
        now: Instant,
        from: DaemonId,
        message: ConfigMessage,
        out: &mut Vec<ConfigAction>,
    ) {
        match message {
            ConfigMessage::Have(revision) => self.fetch(now, from, revision, out),
            ConfigMessage::Want(since) if since < self.current.revision => {
                let revision = self.current.revision;
                let documents = self.current.changes_since(since);
                let delta = ConfigMessage::Delta { since, revision, documents };
                out.push(ConfigAction::Send(from, delta));
            }
            ConfigMessage::Want(_) => {}
            ConfigMessage::Delta { since, revision, documents } => {
                self.pending = None;
                self.apply_changes(now, since, revision, documents, out);
            }
        }
    }

    /// Requests the changes up to `revision` from a peer, unless that revision is not newer than
    /// the current or the last rejected one, or a request for it is still pending.
    fn fetch(
        &mut self,
        now: Instant,
        from: DaemonId,
        revision: Revision,
        out: &mut Vec<ConfigAction>,
    ) {
        if revision <= self.current.revision || self.rejected >= Some(revision) {
            return;
        }
        let in_progress = self
            .pending
            .as_ref()
            .is_some_and(|fetch| fetch.revision >= revision && now < fetch.sent_at + FETCH_TIMEOUT);
        if in_progress {
            return;
        }
        self.pending = Some(PendingFetch { revision, sent_at: now });
        out.push(ConfigAction::Send(from, ConfigMessage::Want(self.current.revision)));
    }

    /// Applies changed documents to the current configuration, if they are newer and the result is
    /// valid.
    fn apply_changes(
        &mut self,
        now: Instant,
        since: Revision,
        revision: Revision,
        documents: BTreeMap<DocumentName, StoredDocument>,
        out: &mut Vec<ConfigAction>,
    ) {
        // An older revision must not come back. A difference to a revision that this daemon does
        // not have yet would miss documents.
        if revision <= self.current.revision || since > self.current.revision {
            return;
        }
        let mut merged = self.current.documents.clone();
        for (name, document) in documents {
            let newer = merged.get(&name).is_none_or(|old| old.revision < document.revision);
            if newer {
                merged.insert(name, document);
            }
        }
        match FleetConfig::build(revision, merged) {
            Ok(config) => {
                self.current = Arc::new(config);
                self.applied_at = Some(now);
                self.rejected = None;
                out.push(ConfigAction::Apply(self.current.clone()));
                out.push(ConfigAction::Announce(revision));
            }
            Err(error) => {
                self.rejected = Some(revision);
                out.push(ConfigAction::Reject(revision, error.to_string()));
            }
        }
    }
}
