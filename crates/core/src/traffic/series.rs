//! Time series of latency and failures over the last minutes, for charts.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::traffic::Ending;
use crate::traffic::Request;

/// Time that one point covers.
pub const STEP: Duration = Duration::from_secs(10);

/// Number of points kept.
pub const POINTS: usize = 60;

/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 300_000_000;

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Counts and latency of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Point {
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused or failed.
    pub failed: u64,
    /// Median latency of the answered requests in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of the answered requests in microseconds.
    pub p99_us: u64,
}

/// Points at equal steps; the last one is still counting.
#[derive(Debug)]
pub struct Series {
    closed: VecDeque<Point>,
    open: Point,
    latency: Option<Histogram<u32>>,
    start: Instant,
}

impl Series {
    /// Creates a series that starts now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            closed: VecDeque::new(),
            open: Point {
                answered: 0,
                failed: 0,
                p50_us: 0,
                p99_us: 0,
            },
            latency: None,
            start: now,
        }
    }

    /// Returns the points up to `now`, oldest first, the open one included.
    #[must_use]
    pub fn points(&self, now: Instant) -> Vec<Point> {
        let mut points: Vec<Point> = self.closed.iter().copied().collect();
        points.push(self.current());
        let idle = self.steps_since_start(now).min(POINTS);
        points.extend(std::iter::repeat_n(Point::default(), idle));
        let surplus = points.len().saturating_sub(POINTS);
        points.split_off(surplus)
    }

    /// Counts a request that ended now.
    pub fn record(&mut self, now: Instant, request: &Request) {
        self.close_steps(now);
        match request.ending {
            Ending::Answered { .. } => {
                self.open.answered += 1;
                let micros = u64::try_from(request.took.as_micros()).unwrap_or(u64::MAX);
                let latency = self.latency.get_or_insert_with(histogram);
                latency.saturating_record(micros.max(1));
            }
            Ending::Failed { .. } => self.open.failed += 1,
        }
    }

    fn close_steps(&mut self, now: Instant) {
        let steps = self.steps_since_start(now);
        if steps == 0 {
            return;
        }
        self.closed.push_back(self.current());
        let idle = (steps - 1).min(POINTS);
        self.closed
            .extend(std::iter::repeat_n(Point::default(), idle));
        let surplus = self.closed.len().saturating_sub(POINTS);
        self.closed.drain(..surplus);
        self.open = Point::default();
        self.latency = None;
        self.start += STEP * u32::try_from(steps).unwrap_or(u32::MAX);
    }

    fn current(&self) -> Point {
        let quantile = |quantile| {
            let latency = self.latency.as_ref();
            latency.map_or(0, |latency| latency.value_at_quantile(quantile))
        };
        Point {
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            ..self.open
        }
    }

    fn steps_since_start(&self, now: Instant) -> usize {
        let age = now.saturating_duration_since(self.start);
        usize::try_from(age.as_millis() / STEP.as_millis()).unwrap_or(usize::MAX)
    }
}

fn histogram() -> Histogram<u32> {
    let made = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    made.unwrap_or_else(|_| unreachable!("the bounds of the histogram are valid"))
}
