//! The events of a played world, in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use crate::world::World;

/// Events to come; those of one time come in their own order.
pub struct Timeline<E> {
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, E)>>,
}

impl<E: Ord> Timeline<E> {
    pub const fn new(start: Instant) -> Self {
        Self {
            start,
            events: BinaryHeap::new(),
        }
    }

    /// Adds an event that comes after a delay.
    pub fn push(&mut self, world: &World, delay: Duration, event: E) {
        self.events.push(Reverse((world.now + delay, event)));
    }

    /// Returns the time since the start.
    pub fn elapsed(&self, world: &World) -> Duration {
        world.now - self.start
    }

    /// Moves a world to its next event and returns it, or returns `None` at the end.
    pub fn next(&mut self, world: &mut World, end: Duration) -> Option<E> {
        let Reverse((at, event)) = self.events.pop()?;
        world.now = at;
        (self.elapsed(world) < end).then_some(event)
    }
}
