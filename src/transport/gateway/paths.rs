//! Watches the paths to the upstreams, and probes them while they are in doubt.

use crate::coordination::paths::{PathMonitor, PathState};
use crate::prelude::*;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::join_all;
use metrics::gauge;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The number of upstreams that are probed at a time.
const PROBED: usize = 3;
/// How long an upstream may take to accept a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval between probes while this daemon is isolated.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// The paths to the upstreams as the connections show them.
#[derive(Debug)]
pub struct PathWatch {
    clock: Arc<dyn Clock>,
    monitor: Mutex<PathMonitor>,
    probes_due: Notify,
}

impl PathWatch {
    /// Returns a watch that takes all paths for open.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, monitor: Mutex::default(), probes_due: Notify::new() }
    }

    /// Returns whether no upstream can be reached.
    pub fn is_isolated(&self) -> bool {
        lock(&self.monitor).state() == PathState::Isolated
    }

    /// Records that a connection to an upstream could not be established, or broke.
    pub fn record_failure(&self, upstream: &UpstreamName) {
        if lock(&self.monitor).record_failure(self.clock.now(), upstream) {
            self.probes_due.notify_one();
        }
    }

    /// Records that a connection to an upstream was established.
    pub fn record_connection(&self) {
        if lock(&self.monitor).record_connection() {
            gauge!("apricotrun_isolated").set(0.0);
            log::info!("upstream: this host reaches upstreams again");
        }
    }

    fn record_failed_probes(&self) {
        if lock(&self.monitor).record_failed_probes() {
            gauge!("apricotrun_isolated").set(1.0);
            log::warn!("upstream: this host reaches no upstream; other hosts serve its callers");
        }
    }
}

/// Probes upstreams while the paths are in doubt, until the task is dropped.
pub async fn probe_paths(gateway: Arc<Gateway>) {
    loop {
        gateway.paths.probes_due.notified().await;
        while lock(&gateway.paths.monitor).state() != PathState::Open {
            match gateway.reaches_an_upstream().await {
                true => gateway.paths.record_connection(),
                false => gateway.paths.record_failed_probes(),
            }
            if gateway.paths.is_isolated() {
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        }
    }
}

impl Gateway {
    async fn reaches_an_upstream(&self) -> bool {
        let addresses = lock(&self.registry).addresses();
        let probed = addresses.into_iter().choose_multiple(&mut rand::rng(), PROBED);
        let probe = |address: SocketAddr| async move {
            matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
        };
        join_all(probed.into_iter().map(probe)).await.contains(&true)
    }
}
