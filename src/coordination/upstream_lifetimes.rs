//! Decides whether a stream that has begun may go on at an upstream. The software version of an
//! upstream belongs to one incarnation of it, which may have ended without this daemon's knowledge.
//! See docs/design/upstream-lifetimes.md.

use crate::prelude::*;
use std::time::SystemTime;

/// An incarnation of an upstream, and the software version that it runs by its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedLifetime {
    /// The incarnation; zero if the record names none.
    pub incarnation: Incarnation,
    /// The software version.
    pub software: SoftwareVersion,
}

/// What an upstream says of its own incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifetimeReport {
    /// It is of this incarnation, which started at this time by the upstream's clock.
    Started(Incarnation, SystemTime),
    /// It names no incarnation, as software does that knows none.
    Unsaid,
    /// It gave no usable answer.
    Unanswered,
}

/// The first run of a stream, which wrote its first event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamBeginning {
    /// The record of its upstream when the run was sent; absent if there was none.
    pub recorded: Option<RecordedLifetime>,
    /// The software version for which the run was placed there.
    pub software: SoftwareVersion,
}

impl StreamBeginning {
    /// Returns whether another software version than the recorded one wrote the events of the stream,
    /// by what its upstream says now. The run was answered at `answered`.
    pub fn is_refuted(&self, answered: SystemTime, said: LifetimeReport) -> bool {
        let Some(recorded) = &self.recorded else { return false };
        let is_other =
            |incarnation| !recorded.incarnation.is_zero() && incarnation != recorded.incarnation;
        // An incarnation that started later has written nothing of it.
        let has_other_writer = match said {
            LifetimeReport::Started(incarnation, _) => {
                is_other(incarnation) && said.was_started_by(answered)
            }
            LifetimeReport::Unsaid | LifetimeReport::Unanswered => false,
        };
        has_other_writer || self.is_doubtful()
    }

    /// Returns whether the run was placed by another record than this daemon has.
    pub fn is_doubtful(&self) -> bool {
        self.recorded.as_ref().is_some_and(|recorded| recorded.software != self.software)
    }
}

impl LifetimeReport {
    /// Returns whether the incarnation is known to have been there at `time`.
    pub fn was_started_by(self, time: SystemTime) -> bool {
        matches!(self, Self::Started(_, started) if started <= time)
    }
}

/// Returns whether an upstream with this record is known to run `software` now, by what it says.
pub fn is_certain(
    recorded: Option<&RecordedLifetime>,
    software: &SoftwareVersion,
    said: LifetimeReport,
) -> bool {
    let Some(recorded) = recorded.filter(|recorded| recorded.software == *software) else {
        return false;
    };
    match said {
        LifetimeReport::Started(incarnation, _) => {
            recorded.incarnation.is_zero() || incarnation == recorded.incarnation
        }
        LifetimeReport::Unsaid => true,
        LifetimeReport::Unanswered => recorded.incarnation.is_zero(),
    }
}
