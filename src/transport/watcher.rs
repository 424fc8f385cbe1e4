//! Watches the configuration in the store if this daemon is a watcher of its failure domain, and
//! replicates configurations between daemons.

use crate::coordination::config::{ConfigAction, ConfigEvent};
use crate::coordination::membership::MemberEvent;
use crate::coordination::messages::{ConfigMessage, PeerMessage};
use crate::coordination::ownership::{rank_daemons, watch_key};
use crate::coordination::store::{HEAD_KEY, StoreError, StoreVersion, parse_head, read_documents};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use metrics::gauge;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The number of daemons in a failure domain that watch the store.
const WATCHERS: usize = 2;
/// The longest wait of one blocking read of the store.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// The interval at which a daemon that does not watch checks whether it has become a watcher.
const ROLE_CHECK: Duration = Duration::from_millis(100);
/// How long a daemon waits after its start for its peers' configuration.
const PEER_CONFIG_WAIT: Duration = Duration::from_millis(600);
/// The age at which a daemon without a configuration reads the store even if it is not a watcher.
const DIRECT_READ_AGE: Duration = Duration::from_secs(8);
/// The backoff after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// The longest backoff after failed calls in a row.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Watches the store until the task is dropped.
pub async fn watch_store(node: Arc<DaemonNode>) {
    let mut seen = StoreVersion::ABSENT;
    let mut backoff = MIN_BACKOFF;
    loop {
        if !node.is_watcher() {
            tokio::time::sleep(ROLE_CHECK).await;
            seen = StoreVersion::ABSENT;
            continue;
        }
        match node.watch_once(&mut seen).await {
            Ok(()) => backoff = MIN_BACKOFF,
            Err(error) => {
                log::warn!("store: {error}; the last configuration stays in force");
                // The jitter keeps the watchers from returning all at once after an outage.
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

impl DaemonNode {
    /// Returns whether this daemon watches the store. After its start it first gives its peers time
    /// to send their configuration. A daemon that still has none after a while reads the store
    /// even if it is not a watcher, so that a failure domain starts even when its watchers cannot.
    fn is_watcher(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.started);
        if self.current_config().revision == Revision(0) && age > DIRECT_READ_AGE {
            return true;
        }
        let domain = &self.settings.domain;
        let members = lock(&self.members);
        if !members.is_joined(self.clock.now()) || (members.has_peers() && age < PEER_CONFIG_WAIT) {
            return false;
        }
        let eligible: BTreeSet<_> =
            members.eligible(domain).map(|record| record.daemon.clone()).collect();
        let ranked = rank_daemons(&watch_key(domain), eligible.iter());
        ranked.into_iter().take(WATCHERS).any(|daemon| *daemon == self.me)
    }

    async fn watch_once(self: &Arc<Self>, seen: &mut StoreVersion) -> Result<(), StoreError> {
        let value = match seen.revision {
            0 => self.store.get(HEAD_KEY).await?,
            _ => self.store.watch(HEAD_KEY, *seen, WATCH_WAIT).await?,
        };
        let Some(value) = value else {
            tokio::time::sleep(ROLE_CHECK).await;
            return Ok(());
        };
        let index = value.index;
        let (head, _) = parse_head(Some(value))?;
        let since = self.current_config().revision;
        if head.revision > since {
            let documents = read_documents(self.store.as_ref(), &head, since).await?;
            let revision = head.revision;
            self.handle_config_event(ConfigEvent::Store { documents, revision, since });
        }
        // A lower index means that the store was restored: read it from the start.
        *seen = if index < *seen { StoreVersion::ABSENT } else { index };
        Ok(())
    }

    /// Handles a peer's message about the configuration.
    pub fn handle_config_message(self: &Arc<Self>, from: DaemonId, message: ConfigMessage) {
        self.handle_config_event(ConfigEvent::Peer(from, message));
    }

    /// Records that a peer has a revision.
    pub fn handle_peer_revision(self: &Arc<Self>, from: DaemonId, revision: Revision) {
        self.handle_config_event(ConfigEvent::PeerRevision(from, revision));
    }

    fn handle_config_event(self: &Arc<Self>, event: ConfigEvent) {
        let now = self.clock.now();
        let actions = lock(&self.config).handle(now, event);
        for action in actions {
            match action {
                ConfigAction::Send(to, message) => {
                    self.send_to_daemon(&to, PeerMessage::Config(message));
                }
                ConfigAction::Announce(revision) => {
                    let message = PeerMessage::Config(ConfigMessage::Have(revision));
                    self.announce_config(&message);
                }
                ConfigAction::Apply(config) => self.apply_config(&config),
                ConfigAction::Reject(revision, reason) => {
                    log::error!("config: revision {revision} is not valid: {reason}");
                }
            }
        }
    }

    /// Sends a message to the daemons of this failure domain if this daemon is a watcher. Daemons
    /// that received the configuration from a peer leave that to the watchers.
    fn announce_config(self: &Arc<Self>, message: &PeerMessage) {
        if self.is_watcher() {
            self.broadcast(Some(&self.settings.domain), message);
        }
    }

    fn apply_config(self: &Arc<Self>, config: &FleetConfig) {
        log::info!("config: revision {} is in force", config.revision);
        gauge!("apricotrun_config_revision").set(config.revision.0 as f64);
        self.handle_member_event(MemberEvent::Revision(config.revision));
        self.configure_shards(config);
        self.configure_orders(config);
    }
}
