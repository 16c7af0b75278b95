//! Structured lines on the standard output, by `tracing`.
//!
//! Every line is a JSON object with a time, a level, a stable event name and its fields. Each kind
//! of event has a budget of lines a second, and warnings have one of their own, so that failures
//! are not crowded out. Lines go through a bounded queue to a thread that writes them; when the
//! reader of the output is slow, lines are lost and nothing waits. Both losses are counted and
//! told by `lines_left_out`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
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

/// Lines of one kind of event in a second; a host of the target takes 75 requests a second.
const LINES_PER_SECOND: u32 = 200;

/// Lines that wait to be written.
const QUEUED_LINES: usize = 4_096;

/// Length of one interval of the budget.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reports of what was left out.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the writer of lines going until it is dropped.
#[derive(Debug)]
pub struct Lines {
    budget: Budget,
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

impl Lines {
    /// Starts to write lines of `level` and above to the standard output.
    ///
    /// # Errors
    ///
    /// Returns an error when logging was started before.
    pub fn start(level: log::LevelFilter) -> anyhow::Result<Self> {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .finish(std::io::stdout());
        let lost = writer.error_counter();
        let budget = Budget::new(LINES_PER_SECOND);
        let lines = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(writer)
            .with_filter(budget.clone());
        tracing_subscriber::registry()
            .with(lines)
            .with(level_filter(level))
            .try_init()?;
        Ok(Self {
            budget,
            lost,
            _writer: guard,
        })
    }

    /// Tells now and then how many lines were left out, until the future is dropped.
    pub async fn report(&self) {
        let mut lost_before = 0;
        loop {
            compio::time::sleep(REPORT_INTERVAL).await;
            let over_budget = self.budget.take_left_out();
            let lost = self.lost.dropped_lines();
            if over_budget > 0 || lost > lost_before {
                warn!(
                    over_budget,
                    not_written = lost - lost_before,
                    "lines_left_out"
                );
            }
            lost_before = lost;
        }
    }
}

/// A budget of lines for each kind of event.
#[derive(Debug, Clone)]
pub struct Budget {
    per_second: u32,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    since: Option<Instant>,
    written: HashMap<Identifier, u32>,
    left_out: u64,
}

impl Budget {
    /// Creates a budget of so many lines a second for each kind of event.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            shared: Arc::default(),
        }
    }

    /// Returns how many lines were left out since the last call.
    #[must_use]
    pub fn take_left_out(&self) -> u64 {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut shared.left_out)
    }

    /// Returns whether a line of a kind of event may be written at `now`.
    #[must_use]
    pub fn admit(&self, kind: Identifier, now: Instant) -> bool {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let over = |since| now.saturating_duration_since(since) >= INTERVAL;
        if shared.since.is_none_or(over) {
            shared.since = Some(now);
            shared.written.clear();
        }
        let written = shared.written.entry(kind).or_default();
        if *written < self.per_second {
            *written += 1;
            return true;
        }
        shared.left_out += 1;
        false
    }
}

impl<S> Filter<S> for Budget {
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
