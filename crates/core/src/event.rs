//! A bounded log of the decisions of a process, with their reasons.
//!
//! Every decision that an operator may ask about adds one [`Event`]. The ring drops the oldest
//! events first.

use std::collections::VecDeque;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

/// Default number of events that a [`Ring`] keeps.
pub const DEFAULT_CAPACITY: usize = 512;

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event in its process; rises by one with each event.
    pub number: u64,
    /// Wall time of the decision.
    pub at: SystemTime,
    /// Part of the program that made the decision.
    pub part: String,
    /// Upstream, tenant, host or service that the event is about.
    pub subject: String,
    /// One sentence with the decision, its reason and its figures.
    pub text: String,
}

/// A bounded ring of events.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    next: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// Creates an empty ring that keeps at most `capacity` events.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the events from oldest to newest.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the events numbered after `number`.
    pub fn after(&self, number: u64) -> impl Iterator<Item = &Event> {
        self.events
            .iter()
            .filter(move |event| event.number > number)
    }

    /// Returns the events about `subject`.
    pub fn about<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a Event> {
        self.events
            .iter()
            .filter(move |event| event.subject == subject)
    }

    /// Adds an event and drops the oldest one beyond the capacity.
    pub fn push(&mut self, at: SystemTime, part: &str, subject: &str, text: String) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            number: self.next,
            at,
            part: part.to_owned(),
            subject: subject.to_owned(),
            text,
        });
        self.next += 1;
    }
}

impl Default for Ring {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}
