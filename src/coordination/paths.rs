//! Notices when this daemon has lost its paths to all upstreams, although it runs and others reach
//! it. See docs/DESIGN.md, "Isolated hosts".

use crate::prelude::*;
use std::collections::BTreeMap;

/// The number of upstreams whose connections must fail, with none established in between, until a
/// daemon suspects that it is isolated. One upstream alone may have ended.
const MIN_FAILED: usize = 2;
/// The time after which a failed connection no longer counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);

/// Whether this daemon can reach upstreams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PathState {
    /// Connections are established, or too few have failed to tell.
    #[default]
    Open,
    /// Several upstreams cannot be reached; probes must show whether any can.
    Suspect,
    /// No upstream can be reached.
    Isolated,
}

/// Decides from the connections to upstreams whether this daemon is isolated from all of them.
#[derive(Debug, Default)]
pub struct PathMonitor {
    failures: BTreeMap<UpstreamName, Instant>,
    state: PathState,
}

impl PathMonitor {
    /// Returns whether this daemon can reach upstreams.
    pub fn state(&self) -> PathState {
        self.state
    }

    /// Records that a connection to an upstream could not be established, or broke. Returns whether
    /// probes are due now.
    pub fn record_failure(&mut self, now: Instant, upstream: &UpstreamName) -> bool {
        self.failures.retain(|_, at| now < *at + FAILURE_RETENTION);
        self.failures.insert(upstream.clone(), now);
        let suspects = self.state == PathState::Open && self.failures.len() >= MIN_FAILED;
        if suspects {
            self.state = PathState::Suspect;
        }
        suspects
    }

    /// Records that a connection to an upstream was established. Returns whether this daemon was
    /// isolated until now.
    pub fn record_connection(&mut self) -> bool {
        self.failures.clear();
        std::mem::take(&mut self.state) == PathState::Isolated
    }

    /// Records that none of several upstreams answered a probe. Returns whether this daemon is
    /// isolated from now on.
    pub fn record_failed_probes(&mut self) -> bool {
        let begins = self.state == PathState::Suspect;
        if begins {
            self.state = PathState::Isolated;
        }
        begins
    }
}
