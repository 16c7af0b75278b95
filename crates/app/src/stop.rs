//! A flag, shared by the tasks of a program, that requests an orderly stop.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use futures_util::FutureExt;
use futures_util::pin_mut;
use futures_util::select;

/// A flag that is set once, by [`Stop::ask`], for all clones.
#[derive(Clone, Default)]
pub struct Stop {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    requested: Cell<bool>,
    event: Event,
}

impl Stop {
    /// Creates a flag that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the stop was requested.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        self.shared.requested.get()
    }

    /// Requests the stop and wakes every task that waits for it.
    pub fn ask(&self) {
        self.shared.requested.set(true);
        self.shared.event.notify(usize::MAX);
    }

    /// Waits until the stop is requested.
    pub async fn asked(&self) {
        while !self.is_asked() {
            let listener = self.shared.event.listen();
            if self.is_asked() {
                return;
            }
            listener.await;
        }
    }

    /// Runs a future until it ends or the stop is requested; returns `None` after a stop.
    pub async fn until<F: Future>(&self, future: F) -> Option<F::Output> {
        let work = future.fuse();
        let requested = self.asked().fuse();
        pin_mut!(work, requested);
        select! {
            output = work => Some(output),
            () = requested => None,
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
