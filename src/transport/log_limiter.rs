//! Limits the rate of log lines for each kind of event, so that a flood of one kind does not hide
//! the others.
//!
//! Lines over the limit are counted, and the count is logged in their place. See
//! docs/OPERATIONS.md, "Logs".

use crate::prelude::*;
use crate::transport::node::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// The interval over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The number of lines per window for each kind of routine event: ten times an entry's requests per
/// second at the fleet size planned for in two years.
const ROUTINE_LINES: u32 = 100;
/// The number of lines per window for each kind of failure or refusal.
const FAILURE_LINES: u32 = 200;

/// The kind of a logged event of a request or of the membership. The line that counts suppressed
/// lines carries the variant's name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DecisionKind {
    /// A request was accepted.
    Accepted,
    /// The ledger of a client account has refused tokens.
    Allotment,
    /// A complete response was sent to the caller.
    Answered,
    /// The caller disconnected before the end of the response.
    CallerLeft,
    /// A stream that had begun ended early.
    Cut,
    /// The first output token arrived.
    FirstToken,
    /// A request was granted slots at upstreams.
    Granted,
    /// A request was advised to leave the failure domain.
    Leaving,
    /// An upstream failed while serving a request.
    Lost,
    /// A daemon joined, started to drain, or is suspected or dead.
    Members,
    /// A request ended without a complete response.
    Refused,
    /// A request cannot be served at any load.
    Unserved,
}

impl DecisionKind {
    fn lines(self) -> u32 {
        match self {
            Self::Accepted
            | Self::Allotment
            | Self::Answered
            | Self::FirstToken
            | Self::Granted
            | Self::Leaving
            | Self::Members => ROUTINE_LINES,
            Self::CallerLeft | Self::Cut | Self::Lost | Self::Refused | Self::Unserved => {
                FAILURE_LINES
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KindWindow {
    started: Instant,
    suppressed: u32,
    lines: u32,
}

/// Counts the log lines of each kind and suppresses those over the limit.
pub struct LogLimiter {
    clock: Arc<dyn Clock>,
    kinds: Mutex<BTreeMap<DecisionKind, KindWindow>>,
}

impl LogLimiter {
    /// Returns a limiter that has counted no lines.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, kinds: Mutex::new(BTreeMap::new()) }
    }

    /// Returns whether a line of this kind may be written now. The number of suppressed lines is
    /// logged before the first line of the next window.
    pub fn permits(&self, kind: DecisionKind) -> bool {
        let now = self.clock.now();
        let (permitted, suppressed) = {
            let mut kinds = lock(&self.kinds);
            let new_window = KindWindow { started: now, suppressed: 0, lines: 0 };
            let window = kinds.entry(kind).or_insert(new_window);
            let suppressed = match now.saturating_duration_since(window.started) >= WINDOW {
                true => std::mem::replace(window, new_window).suppressed,
                false => 0,
            };
            window.lines += 1;
            let permitted = window.lines <= kind.lines();
            window.suppressed += u32::from(!permitted);
            (permitted, suppressed)
        };
        if suppressed > 0 {
            log::warn!(kind:? = kind, left_out = suppressed; "log: lines were left out");
        }
        permitted
    }
}
