//! Structured log lines on the standard output, with `tracing`.
//!
//! Every line is a JSON object with a time, a level, a stable event name and its fields. Each log
//! statement in the code is a kind of event with its own limit of lines a second, so that frequent
//! events do not suppress warnings of failures. Lines go through a bounded queue to a thread that
//! writes them: when the reader of the output is slow, lines are dropped and nothing waits. The
//! event `lines_left_out` reports the counts of suppressed and of dropped lines.

use std::collections::HashMap;
use std::mem::ManuallyDrop;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tracing::Metadata;
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::warn;
use tracing_appender::non_blocking::ErrorCounter;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::Layer;
use tracing_subscriber::layer::Context;
use tracing_subscriber::layer::Filter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Limit of lines of one kind of event; a host at the target size serves 75 requests a second.
const LINES_PER_SECOND: u32 = 200;

/// Largest number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;

/// Interval over which the limiter counts lines.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reports of suppressed and dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time for which the end of a program waits for its last lines to be written.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// The running log; dropping it waits for the last lines to be written, for a limited time.
#[derive(Debug)]
pub struct Lines {
    limiter: Limiter,
    dropped: ErrorCounter,
    writer: Option<WorkerGuard>,
}

impl Lines {
    /// Starts to write events of `level` and above to the standard output.
    ///
    /// # Errors
    ///
    /// Returns an error when logging has been started already.
    pub fn start(level: log::LevelFilter) -> anyhow::Result<Self> {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let limiter = Limiter::new(LINES_PER_SECOND);
        let lines = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(writer)
            .with_filter(limiter.clone());
        tracing_subscriber::registry()
            .with(lines)
            .with(level_filter(level))
            .try_init()?;
        Ok(Self {
            limiter,
            dropped,
            writer: Some(guard),
        })
    }

    /// Logs the counts of suppressed and dropped lines at intervals; the future does not end.
    pub async fn report(&self) {
        let mut dropped_before = 0;
        loop {
            compio::time::sleep(REPORT_INTERVAL).await;
            let suppressed = self.limiter.take_suppressed();
            let dropped = self.dropped.dropped_lines();
            if suppressed > 0 || dropped > dropped_before {
                warn!(
                    over_budget = suppressed,
                    not_written = dropped - dropped_before,
                    "lines_left_out"
                );
            }
            dropped_before = dropped;
        }
    }
}

impl Drop for Lines {
    /// Ends the writer on a thread of its own: while nobody reads the output, its guard waits for ever, as it
    /// prints to the same output that it cannot stop the writer.
    fn drop(&mut self) {
        let Some(writer) = self.writer.take().map(ManuallyDrop::new) else {
            return;
        };
        let (sender, ended) = mpsc::channel();
        let ending = thread::Builder::new().spawn(move || {
            drop(ManuallyDrop::into_inner(writer));
            let _ = sender.send(());
        });
        if ending.is_ok() {
            let _ = ended.recv_timeout(FLUSH_TIME);
        }
    }
}

/// Limits the lines of each kind of event.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_second: u32,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    since: Option<Instant>,
    written: HashMap<Identifier, u32>,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter that admits `per_second` lines a second of each kind of event.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            shared: Arc::default(),
        }
    }

    /// Returns how many lines were suppressed since the last call.
    #[must_use]
    pub fn take_suppressed(&self) -> u64 {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut shared.suppressed)
    }

    /// Returns whether an event of a kind may be written at `now`, and counts it.
    #[must_use]
    pub fn admit(&self, kind: Identifier, now: Instant) -> bool {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let over = |since| now.saturating_duration_since(since) >= LIMIT_INTERVAL;
        if shared.since.is_none_or(over) {
            shared.since = Some(now);
            shared.written.clear();
        }
        let written = shared.written.entry(kind).or_default();
        if *written < self.per_second {
            *written += 1;
            return true;
        }
        shared.suppressed += 1;
        false
    }
}

impl<S> Filter<S> for Limiter {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &tracing::Event<'_>, _context: &Context<'_, S>) -> bool {
        self.admit(event.metadata().callsite(), Instant::now())
    }
}

fn level_filter(level: log::LevelFilter) -> LevelFilter {
    match level {
        log::LevelFilter::Off => LevelFilter::OFF,
        log::LevelFilter::Error => LevelFilter::ERROR,
        log::LevelFilter::Warn => LevelFilter::WARN,
        log::LevelFilter::Info => LevelFilter::INFO,
        log::LevelFilter::Debug => LevelFilter::DEBUG,
        log::LevelFilter::Trace => LevelFilter::TRACE,
    }
}
