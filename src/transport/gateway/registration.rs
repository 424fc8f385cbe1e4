//! Keeps this host registered in the platform's store, and the daemons' shared key the same
//! everywhere.
//!
//! A store that returns from an older copy may have lost both. Requests do not depend on either, so
//! hosts write them again spread out. See docs/DESIGN.md, "Store eras".

use crate::prelude::*;
use crate::protocol::keyring::SharedKey;
use crate::transport::gateway::directory::{DirectorySnapshot, retry_until_ok};
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use rand::Rng;
use std::sync::Arc;

/// The interval at which this host renews its registration: a third of the lifetime of its record.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(200);
/// The time over which the hosts spread their registrations after the store has lost them.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(1);

/// Renews this host's registration, through which new hosts find it, periodically and whenever the
/// store has lost it.
pub async fn renew_registration(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(REGISTRATION_PERIOD) => {}
            () = gateway.registration_due.notified() => {
                let delay = rand::rng().random_range(Duration::ZERO..REGISTRATION_SPREAD);
                tokio::time::sleep(delay).await;
            }
        }
        let settings = &gateway.node.settings;
        let registration = retry_until_ok("renewing the registration of this host", || {
            let own_key = lock(&gateway.shared_key).clone();
            let source = gateway.source.clone();
            async move { source.register(&settings.host, settings.peer, Some(&own_key)).await }
        })
        .await;
        log::info!(host:% = settings.host; "daemon: registered again");
        gateway.adopt_key(registration.key);
    }
}

impl Gateway {
    /// Has this host register again if a complete read of the store lacks its registration, or has
    /// no key or another one.
    pub fn check_registration(&self, snapshot: &DirectorySnapshot) {
        let settings = &self.node.settings;
        let is_registered = snapshot.hosts.get(&settings.host) == Some(&settings.peer);
        let has_key = snapshot.key.as_ref() == Some(&*lock(&self.shared_key));
        if !is_registered || !has_key {
            self.registration_due.notify_one();
        }
    }

    /// Has this host register again, which settles the key, if `stored` is another one.
    pub fn check_key(&self, stored: &SharedKey) {
        if *lock(&self.shared_key) != *stored {
            self.registration_due.notify_one();
        }
    }

    /// Signs messages with `key` from now on.
    fn adopt_key(&self, key: SharedKey) {
        if lock(&self.node.peer_keys).adopt(key.key.clone()) {
            log::warn!(era = key.era.0; "daemon: uses the key of another daemon from now on");
        }
        *lock(&self.shared_key) = key;
    }
}
