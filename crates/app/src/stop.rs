//! A flag that tells every part of a program to stop.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use futures_util::FutureExt;
use futures_util::pin_mut;
use futures_util::select;

/// A stop that is asked for once and seen by all clones.
#[derive(Clone, Default)]
pub struct Stop {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    asked: Cell<bool>,
    event: Event,
}

impl Stop {
    /// Creates a stop that was not asked for yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the stop was asked for.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        self.shared.asked.get()
    }

    /// Asks for the stop.
    pub fn ask(&self) {
        self.shared.asked.set(true);
        self.shared.event.notify(usize::MAX);
    }

    /// Waits until the stop is asked for.
    pub async fn asked(&self) {
        while !self.is_asked() {
            let listener = self.shared.event.listen();
            if self.is_asked() {
                return;
            }
            listener.await;
        }
    }

    /// Runs a future until it ends or the stop is asked for.
    pub async fn until<F: Future>(&self, future: F) -> Option<F::Output> {
        let work = future.fuse();
        let asked = self.asked().fuse();
        pin_mut!(work, asked);
        select! {
            output = work => Some(output),
            () = asked => None,
        }
    }
}

impl fmt::Debug for Stop {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Stop")
            .field("asked", &self.is_asked())
            .finish()
    }
}
