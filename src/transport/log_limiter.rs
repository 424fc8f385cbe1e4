//! Bounds the volume of log lines, kind by kind, so that a flood of one kind hides no other.
//!
//! Lines over the bound are counted, and the count is logged in their place. See
//! docs/OPERATIONS.md, "Logs".

use crate::prelude::*;
use crate::transport::node::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Over what time lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// How many lines a second one kind of routine decision may have: ten times an entry's requests at
/// the two-year size.
const ROUTINE_LINES: u32 = 100;
/// How many lines a second one kind of failure or refusal may have.
const FAILURE_LINES: u32 = 200;

/// A kind of decision that touches a request or changes what this daemon believes; its name stands in
/// the log line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DecisionKind {
    /// A request was accepted.
    Accepted,
    /// Its answer was passed on whole.
    Answered,
    /// Its caller left before the end.
    CallerLeft,
    /// Its first token came.
    FirstToken,
    /// It was given upstreams.
    Granted,
    /// An upstream failed it.
    Lost,
    /// A daemon came, is about to stop, or is gone.
    Members,
    /// It ended without a whole answer.
    Refused,
    /// It cannot be served whatever the load.
    Unserved,
}

impl DecisionKind {
    fn lines(self) -> u32 {
        match self {
            Self::Accepted | Self::Answered | Self::FirstToken | Self::Granted | Self::Members => {
                ROUTINE_LINES
            }
            Self::CallerLeft | Self::Lost | Self::Refused | Self::Unserved => FAILURE_LINES,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KindWindow {
    began: Instant,
    left_out: u32,
    lines: u32,
}

/// Counts the lines of each kind.
pub struct LogLimiter {
    clock: Arc<dyn Clock>,
    kinds: Mutex<BTreeMap<DecisionKind, KindWindow>>,
}

impl LogLimiter {
    /// Returns a log without lines.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, kinds: Mutex::new(BTreeMap::new()) }
    }

    /// Returns whether a line of this kind may be written now. The first line after some were left
    /// out is preceded by their count.
    pub fn permits(&self, kind: DecisionKind) -> bool {
        let now = self.clock.now();
        let (takes, left_out) = {
            let mut kinds = lock(&self.kinds);
            let fresh = KindWindow { began: now, left_out: 0, lines: 0 };
            let window = kinds.entry(kind).or_insert(fresh);
            let left_out = match now.saturating_duration_since(window.began) >= WINDOW {
                true => std::mem::replace(window, fresh).left_out,
                false => 0,
            };
            window.lines += 1;
            let takes = window.lines <= kind.lines();
            window.left_out += u32::from(!takes);
            (takes, left_out)
        };
        if left_out > 0 {
            log::warn!(kind:? = kind, left_out; "log: lines were left out");
        }
        takes
    }
}
