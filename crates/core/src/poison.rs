//! Requests that end the upstreams which run them.
//!
//! A [`Fingerprint`] identifies requests of equal content. A [`Ledger`] keeps the ends of upstreams under
//! each content, as hosts report them, and says whether a request may be sent. Ledgers exchange [`End`]s; in
//! whatever order they do, they come to the same result:
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use persimmonbend_core::poison::End;
//! use persimmonbend_core::poison::Fingerprint;
//! use persimmonbend_core::poison::Ledger;
//! use persimmonbend_core::poison::Standing;
//!
//! let content = Fingerprint::of([b"farm".as_slice(), b"GET", b"/herd/1", b""]);
//! let now = Instant::now();
//! let mut ledger = Ledger::default();
//! for upstream in 1..=3 {
//!     assert_eq!(ledger.standing(content, now), Standing::Allowed);
//!     ledger.note(&End::new(content, upstream), now);
//! }
//! assert!(matches!(ledger.standing(content, now), Standing::Barred(_)));
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::roster::Number;

/// Bytes of the digest that a fingerprint keeps.
const FINGERPRINT_BYTES: usize = 8;

/// Ends of upstreams under one content from which on the content counts as their cause.
const BARRING_ENDS: usize = 3;

/// Time for which a content is barred after [`BARRING_ENDS`]; each further end multiplies it by
/// [`PAUSE_FACTOR`], up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_secs(20);
const PAUSE_FACTOR: u32 = 10;
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Part of the pause over which hosts spread the ends of their pauses, so that one of them tries the content
/// before the others do.
const PAUSE_SPREAD: f64 = 0.5;

/// Time for which a host that has made a trial makes no other, unless an upstream answers it.
const TRIAL_PAUSE: Duration = FIRST_PAUSE;

/// Time for which an end is kept beyond the pause that follows from it.
const MEMORY: Duration = Duration::from_secs(10 * 60);

/// Time after a reported end in which an answer of the upstream shows that it has not ended; a later answer
/// may be that of its next start.
const LIFE_WINDOW: Duration = Duration::from_secs(1);

/// Most contents that are kept, and most ends of one content.
const MAX_CONTENTS: usize = 1_024;
const MAX_ENDS: usize = 32;

/// Ends of one content from which on all hosts are told of them.
const SHARED_ENDS: usize = 2;

/// The content of a request, by which its repeats are recognized on any host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Creates the fingerprint of a request from the parts of its content, in a fixed order.
    #[must_use]
    pub fn of<'a, P: IntoIterator<Item = &'a [u8]>>(parts: P) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        let mut first = [0; FINGERPRINT_BYTES];
        first.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The end of an upstream while it ran a request, as processes tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Content of the request.
    pub content: Fingerprint,
    /// The upstream, of which a number stands for one start.
    pub upstream: Number,
    /// Time since the end.
    pub age: Duration,
    /// Whether the end still speaks against the content. It no longer does once the upstream was seen alive,
    /// or a request of this content was answered.
    pub holds: bool,
}

impl End {
    /// Creates an end of this moment.
    #[must_use]
    pub const fn new(content: Fingerprint, upstream: Number) -> Self {
        Self {
            content,
            upstream,
            age: Duration::ZERO,
            holds: true,
        }
    }
}

/// An end as a ledger keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    at: Instant,
    holds: bool,
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Like any other request.
    Allowed,
    /// To one upstream and not again, to learn whether it still ends them.
    Trial,
    /// Not before this time has passed.
    Barred(Duration),
}

/// The ends of upstreams by the content that they ran.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    contents: BTreeMap<Fingerprint, BTreeMap<Number, Sighting>>,
    /// When this host last sent each content as a trial.
    trials: BTreeMap<Fingerprint, Instant>,
    /// Position of this host's pauses in their spread, from 0 up to 1.
    draw: f64,
}

impl Ledger {
    /// Sets the position of the ends of pauses in their spread, from 0 up to 1.
    pub const fn set_draw(&mut self, draw: f64) {
        self.draw = draw;
    }

    /// Returns whether no end is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Records an end; returns whether it changes what is known.
    ///
    /// That an end no longer holds is final.
    pub fn note(&mut self, end: &End, now: Instant) -> bool {
        if !self.contents.contains_key(&end.content) {
            self.make_room();
        }
        let ends = self.contents.entry(end.content).or_default();
        if let Some(known) = ends.get_mut(&end.upstream) {
            let is_news = known.holds && !end.holds;
            known.holds &= end.holds;
            return is_news;
        }
        if ends.len() >= MAX_ENDS {
            return false;
        }
        let at = now.checked_sub(end.age).unwrap_or(now);
        let holds = end.holds;
        ends.insert(end.upstream, Sighting { at, holds });
        true
    }

    /// Records that a request was answered, so that no end speaks against its content any more; returns the
    /// ends that this changes.
    pub fn note_answer(&mut self, content: Fingerprint, now: Instant) -> Vec<End> {
        let Some(ends) = self.contents.get_mut(&content) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        for (upstream, sighting) in ends.iter_mut().filter(|(_, sighting)| sighting.holds) {
            sighting.holds = false;
            changed.push(sighting.end(content, *upstream, now));
        }
        changed
    }

    /// Records that a content is sent as a trial.
    pub fn note_trial(&mut self, content: Fingerprint, now: Instant) {
        self.trials.insert(content, now);
    }

    /// Takes back the trial of a content that reached no upstream, so that the next request may be one.
    pub fn withdraw_trial(&mut self, content: Fingerprint) {
        self.trials.remove(&content);
    }

    /// Records an answer of an upstream to a request that was placed at `placed`: a reported end shortly
    /// before was none.
    pub fn note_alive(&mut self, upstream: Number, placed: Instant) {
        for ends in self.contents.values_mut() {
            let sighting = ends.get_mut(&upstream);
            if let Some(sighting) = sighting.filter(|one| one.is_refuted_by(placed)) {
                sighting.holds = false;
            }
        }
    }

    /// Returns whether a request may be sent.
    ///
    /// Several requests may run on an upstream that ends. The end counts against the one under which most
    /// upstreams have ended, and against none if there are several.
    #[must_use]
    pub fn standing(&self, content: Fingerprint, now: Instant) -> Standing {
        let Some(ends) = self.contents.get(&content) else {
            return Standing::Allowed;
        };
        if count(ends) < BARRING_ENDS {
            return Standing::Allowed;
        }
        let caused = held(ends).filter(|(number, _)| self.is_main_suspect(content, **number));
        let caused: Vec<Instant> = caused.map(|(_, sighting)| sighting.at).collect();
        let Some(last) = caused.iter().max() else {
            return Standing::Allowed;
        };
        if caused.len() < BARRING_ENDS {
            return Standing::Allowed;
        }
        let pause = pause(caused.len());
        let mut until = *last + pause + pause.mul_f64(PAUSE_SPREAD * self.draw);
        if let Some(trial) = self.trials.get(&content) {
            until = until.max(*trial + TRIAL_PAUSE);
        }
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            Standing::Trial
        } else {
            Standing::Barred(left)
        }
    }

    /// Returns all ends.
    #[must_use]
    pub fn ends(&self, now: Instant) -> Vec<End> {
        let each = self.contents.iter().flat_map(|(content, ends)| {
            ends.iter()
                .map(|(upstream, sighting)| sighting.end(*content, *upstream, now))
        });
        each.collect()
    }

    /// Returns the ends that all hosts have to know: those under contents that may be barred.
    #[must_use]
    pub fn shared(&self) -> BTreeMap<(Fingerprint, Number), Sighting> {
        let contents = self.contents.iter();
        let shared = contents.filter(|(_, ends)| ends.len() >= SHARED_ENDS);
        let each = shared.flat_map(|(content, ends)| {
            ends.iter()
                .map(|(upstream, sighting)| ((*content, *upstream), *sighting))
        });
        each.collect()
    }

    /// Removes the ends from which nothing follows any more.
    pub fn expire(&mut self, now: Instant) {
        self.contents.retain(|_, ends| {
            let memory = pause(count(ends)).mul_f64(1.0 + PAUSE_SPREAD) + MEMORY;
            ends.retain(|_, sighting| now.saturating_duration_since(sighting.at) < memory);
            !ends.is_empty()
        });
        let contents = &self.contents;
        self.trials
            .retain(|content, _| contents.contains_key(content));
    }

    /// Returns whether no other content that an ended upstream ran has seen as many ends.
    fn is_main_suspect(&self, content: Fingerprint, upstream: Number) -> bool {
        let own = self.contents.get(&content).map_or(0, count);
        let mut others = self.contents.iter().filter(|(other, ends)| {
            let was_there = ends.get(&upstream).is_some_and(|one| one.holds);
            **other != content && was_there
        });
        others.all(|(_, ends)| count(ends) < own)
    }

    /// Removes the content that has the fewest ends, of these the oldest, if there are too many.
    fn make_room(&mut self) {
        if self.contents.len() < MAX_CONTENTS {
            return;
        }
        let least = self.contents.iter().min_by_key(|(_, ends)| {
            let last = ends.values().map(|sighting| sighting.at).max();
            (count(ends), last)
        });
        if let Some(least) = least.map(|(content, _)| *content) {
            self.contents.remove(&least);
        }
    }
}

impl Sighting {
    /// Returns the end as it is told to other processes.
    #[must_use]
    pub fn end(&self, content: Fingerprint, upstream: Number, now: Instant) -> End {
        End {
            content,
            upstream,
            age: now.saturating_duration_since(self.at),
            holds: self.holds,
        }
    }

    fn is_refuted_by(&self, placed: Instant) -> bool {
        placed > self.at && placed < self.at + LIFE_WINDOW
    }
}

fn held(ends: &BTreeMap<Number, Sighting>) -> impl Iterator<Item = (&Number, &Sighting)> {
    ends.iter().filter(|(_, sighting)| sighting.holds)
}

fn count(ends: &BTreeMap<Number, Sighting>) -> usize {
    held(ends).count()
}

/// Returns the time for which a content is barred after so many ends.
fn pause(ends: usize) -> Duration {
    let further = u32::try_from(ends.saturating_sub(BARRING_ENDS)).unwrap_or(u32::MAX);
    let factor = PAUSE_FACTOR.saturating_pow(further);
    FIRST_PAUSE.saturating_mul(factor).min(MAX_PAUSE)
}
