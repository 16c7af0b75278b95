//! Levels of builds: what the build at the other end of a link reads.
//!
//! Each end of a link names its level in its first frame. [`Frame::for_level`] is the one place that
//! decides what an older build is sent: a [`Sender`](super::Sender) passes every frame through it.

use persimmonbend_core::error::Kind;
use persimmonbend_core::health::Outcome;

use crate::channel;
use crate::dispatch;
use crate::dispatch::Frame;

/// What a build reads and writes on links between hosts and dispatchers; higher ones read more.
pub type Level = u32;

/// Level of the builds that name none.
pub const FIRST: Level = 0;

/// Level of this build: it names its level, skips frames that it cannot decode, and identifies hosts.
pub const OWN: Level = 1;

/// Number of kinds of error that a build of the first level knows.
const FIRST_KINDS: usize = 33;

/// Number of outcomes of attempts that a build of the first level knows.
const FIRST_OUTCOMES: usize = 8;

/// Kind of error that stands for one that the receiver does not know.
pub(super) const OTHER_KIND: Kind = Kind::Overloaded;

/// Outcome that stands for one that the receiver does not know: it frees the slot and is no evidence
/// about the upstream.
pub(super) const OTHER_OUTCOME: Outcome = Outcome::Cancelled;

impl Frame {
    /// Returns the level from which on a build reads the frame.
    ///
    /// A variant that is added gets the level of the build that adds it.
    #[must_use]
    pub const fn since(&self) -> Level {
        match self {
            Self::Identify(_) | Self::Identified { .. } => OWN,
            _ => FIRST,
        }
    }

    /// Returns the frame as a build of `level` reads it, or `None` if it reads no such frame.
    ///
    /// Fields that are appended need no change: an older build ignores them.
    #[must_use]
    pub fn for_level(mut self, level: Level) -> Option<Self> {
        if level < self.since() {
            return None;
        }
        match &mut self {
            Self::Refused { kind, .. } if usize::from(*kind) >= kinds(level) => {
                *kind = dispatch::kind_code(OTHER_KIND);
            }
            Self::Release { outcome, .. } if usize::from(*outcome) >= outcomes(level) => {
                *outcome = dispatch::outcome_code(OTHER_OUTCOME);
            }
            _ => {}
        }
        Some(self)
    }
}

impl channel::Leveled for Frame {
    fn for_level(self, level: Level) -> Option<Self> {
        Self::for_level(self, level)
    }
}

/// Returns the number of kinds of error that a build of a level knows; codes are positions in their list.
const fn kinds(level: Level) -> usize {
    if level < OWN { FIRST_KINDS } else { usize::MAX }
}

/// Returns the number of outcomes that a build of a level knows.
const fn outcomes(level: Level) -> usize {
    if level < OWN {
        FIRST_OUTCOMES
    } else {
        usize::MAX
    }
}
