//! Signals to the process, received by a thread of their own.
//!
//! A handler that wakes a task would run in the middle of whatever the runtime does, also of what takes or returns
//! memory. [`Signals::start`] therefore blocks the signals for all threads, and its thread takes them:
//!
//! ```no_run
//! use persimmonbend_app::signals::Signal;
//! use persimmonbend_app::signals::Signals;
//!
//! # async fn example() -> std::io::Result<()> {
//! let signals = Signals::start(&[Signal::SIGTERM, Signal::SIGHUP])?;
//! signals.wait_for(&[Signal::SIGTERM]).await;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use event_listener::Event;
use nix::sys::signal::SigSet;
pub use nix::sys::signal::Signal;

/// The signals that a process receives; clones share them.
#[derive(Debug, Clone)]
pub struct Signals {
    shared: Arc<Shared>,
}

impl Signals {
    /// Blocks signals for this thread and those that it starts later, and starts the thread that takes them.
    ///
    /// Is called before any other thread is started, since a thread that does not block them would end the process.
    /// Processes that the program starts block them as well.
    ///
    /// # Errors
    ///
    /// Returns an error when the signals cannot be blocked or the thread cannot be started.
    pub fn start(wanted: &[Signal]) -> io::Result<Self> {
        let wanted: SigSet = wanted.iter().copied().collect();
        wanted.thread_block()?;
        let shared: Arc<Shared> = Arc::default();
        let taken = Arc::clone(&shared);
        let name = "signals".to_owned();
        thread::Builder::new().name(name).spawn(move || {
            while let Ok(signal) = wanted.wait() {
                taken.note(signal);
                taken.event.notify(usize::MAX);
            }
        })?;
        Ok(Self { shared })
    }

    /// Waits for one of the given signals, unless one has arrived since the last call, and forgets it.
    pub async fn wait_for(&self, wanted: &[Signal]) {
        loop {
            let listener = self.shared.event.listen();
            if self.take(wanted) {
                return;
            }
            listener.await;
        }
    }

    /// Forgets the given signals; returns whether one had arrived.
    fn take(&self, wanted: &[Signal]) -> bool {
        let mut pending = self.shared.pending();
        let count = pending.len();
        pending.retain(|signal| !wanted.contains(signal));
        pending.len() < count
    }
}

#[derive(Debug, Default)]
struct Shared {
    /// Signals that nobody has waited for yet, each once.
    pending: Mutex<Vec<Signal>>,
    event: Event,
}

impl Shared {
    fn note(&self, signal: Signal) {
        let mut pending = self.pending();
        if !pending.contains(&signal) {
            pending.push(signal);
        }
    }

    fn pending(&self) -> MutexGuard<'_, Vec<Signal>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
