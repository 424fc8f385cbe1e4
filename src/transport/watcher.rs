//! Follows the store's configuration where this daemon is one of its failure domain's watchers,
//! and passes configurations on between daemons.

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

/// How many daemons of a failure domain watch the store.
const WATCHERS: usize = 2;
/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How often a daemon that does not watch checks whether it should.
const DUTY_CHECK: Duration = Duration::from_millis(100);
/// How long a fresh daemon waits for its peers' configuration.
const PEERS_FIRST: Duration = Duration::from_millis(600);
/// After what time a daemon without configuration reads the store whatever its duty.
const OWN_READ_AFTER: Duration = Duration::from_secs(8);
/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Watches until the task is dropped.
pub async fn watch_store(node: Arc<DaemonNode>) {
    let mut seen = StoreVersion(0);
    let mut pause = FIRST_PAUSE;
    loop {
        if !node.is_watcher() {
            tokio::time::sleep(DUTY_CHECK).await;
            seen = StoreVersion(0);
            continue;
        }
        match node.watch_once(&mut seen).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(error) => {
                log::warn!("store: {error}; the last configuration stays in force");
                // Spread the returns of all watchers after an outage.
                let spread = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

impl DaemonNode {
    /// A fresh daemon gives its peers a moment to pass their configuration on. Whoever still has
    /// none after a while reads the store itself, whatever its duty, so that a failure domain
    /// starts even when its watchers cannot.
    fn is_watcher(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.started);
        if self.current_config().revision == Revision(0) && age > OWN_READ_AFTER {
            return true;
        }
        let domain = &self.settings.domain;
        let members = lock(&self.members);
        if !members.is_joined(self.clock.now()) || (members.has_peers() && age < PEERS_FIRST) {
            return false;
        }
        let eligible: BTreeSet<_> =
            members.eligible(domain).map(|record| record.daemon.clone()).collect();
        let ranked = rank_daemons(&watch_key(domain), eligible.iter());
        ranked.into_iter().take(WATCHERS).any(|daemon| *daemon == self.me)
    }

    async fn watch_once(self: &Arc<Self>, seen: &mut StoreVersion) -> Result<(), StoreError> {
        let value = match seen.0 {
            0 => self.store.get(HEAD_KEY).await?,
            _ => self.store.watch(HEAD_KEY, *seen, WATCH_WAIT).await?,
        };
        let Some(value) = value else {
            tokio::time::sleep(DUTY_CHECK).await;
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
        // An index that falls back belongs to a restored store: start over.
        *seen = if index < *seen { StoreVersion(0) } else { index };
        Ok(())
    }

    /// Takes a peer's message about the configuration.
    pub fn handle_config_message(self: &Arc<Self>, from: DaemonId, message: ConfigMessage) {
        self.handle_config_event(ConfigEvent::Peer(from, message));
    }

    /// Notes that a peer has a revision.
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
                ConfigAction::Reject(revision, fault) => {
                    log::error!("config: revision {revision} is not valid: {fault}");
                }
            }
        }
    }

    /// Watchers tell their failure domain; who learnt from a peer leaves that to them.
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
