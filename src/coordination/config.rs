//! Which configuration is in force here. Only a higher revision is ever taken.
//!
//! Two watchers in each failure domain follow the store; everybody else learns from peers, so
//! the store's calls grow with failure domains and not with daemons. See docs/DESIGN.md,
//! "Configuration".

use crate::coordination::messages::ConfigMessage;
use crate::prelude::*;
use crate::state::fleet::{DocumentName, StoredDocument};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long an answer to a request for changes may take before another peer is asked.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to the configuration.
#[derive(Clone, Debug)]
pub enum ConfigEvent {
    /// A peer says something about the configuration.
    Peer(DaemonId, ConfigMessage),
    /// A peer has this revision, as a probe told.
    PeerRevision(DaemonId, Revision),
    /// The store gave these documents, all that came after `since`.
    Store {
        /// The revision from which the documents count.
        since: Revision,
        /// The revision that results.
        revision: Revision,
        /// The documents.
        documents: BTreeMap<DocumentName, StoredDocument>,
    },
}

/// What is to be done about the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigAction {
    /// Say something to a peer.
    Send(DaemonId, ConfigMessage),
    /// Tell the peers of the own failure domain about the new revision.
    Announce(Revision),
    /// This configuration is in force from now on.
    Apply(Arc<FleetConfig>),
    /// A configuration was not taken; the last good one stays.
    Reject(Revision, String),
}

#[derive(Debug)]
struct OpenFetch {
    revision: Revision,
    sent: Instant,
}

/// Keeps the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    current: Arc<FleetConfig>,
    fetch: Option<OpenFetch>,
    rejected: Option<Revision>,
    applied_at: Option<Instant>,
}

impl ConfigReplica {
    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: ConfigEvent) -> Vec<ConfigAction> {
        let mut out = Vec::new();
        match event {
            ConfigEvent::Peer(from, message) => self.hear_peer(now, from, message, &mut out),
            ConfigEvent::PeerRevision(from, revision) => self.want(now, from, revision, &mut out),
            ConfigEvent::Store { since, revision, documents } => {
                self.offer(now, since, revision, documents, &mut out);
            }
        }
        out
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<FleetConfig> {
        &self.current
    }

    /// Takes a configuration over that another source has checked and keeps in order.
    pub fn adopt(&mut self, now: Instant, config: Arc<FleetConfig>) {
        self.current = config;
        self.applied_at = Some(now);
    }

    /// Returns when the configuration in force was taken.
    pub fn applied_at(&self) -> Option<Instant> {
        self.applied_at
    }

    /// Returns a revision that was offered and is not valid.
    pub fn rejected(&self) -> Option<Revision> {
        self.rejected
    }

    fn hear_peer(
        &mut self,
        now: Instant,
        from: DaemonId,
        message: ConfigMessage,
        out: &mut Vec<ConfigAction>,
    ) {
        match message {
            ConfigMessage::Have(revision) => self.want(now, from, revision, out),
            ConfigMessage::Want(since) if since < self.current.revision => {
                let revision = self.current.revision;
                let documents = self.current.changes_since(since);
                let delta = ConfigMessage::Delta { since, revision, documents };
                out.push(ConfigAction::Send(from, delta));
            }
            ConfigMessage::Want(_) => {}
            ConfigMessage::Delta { since, revision, documents } => {
                self.fetch = None;
                self.offer(now, since, revision, documents, out);
            }
        }
    }

    fn want(
        &mut self,
        now: Instant,
        from: DaemonId,
        revision: Revision,
        out: &mut Vec<ConfigAction>,
    ) {
        if revision <= self.current.revision || self.rejected >= Some(revision) {
            return;
        }
        let asked = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.revision >= revision && now < fetch.sent + FETCH_TIMEOUT);
        if asked {
            return;
        }
        self.fetch = Some(OpenFetch { revision, sent: now });
        out.push(ConfigAction::Send(from, ConfigMessage::Want(self.current.revision)));
    }

    fn offer(
        &mut self,
        now: Instant,
        since: Revision,
        revision: Revision,
        documents: BTreeMap<DocumentName, StoredDocument>,
        out: &mut Vec<ConfigAction>,
    ) {
        // An older revision must not come back, and a difference to a state that this daemon
        // does not have would leave documents out.
        if revision <= self.current.revision || since > self.current.revision {
            return;
        }
        let mut all = self.current.documents.clone();
        for (name, document) in documents {
            let newer = all.get(&name).is_none_or(|old| old.revision < document.revision);
            if newer {
                all.insert(name, document);
            }
        }
        match FleetConfig::build(revision, all) {
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
