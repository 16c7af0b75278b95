//! Charts of latency and of failed requests as inline SVG.

use std::fmt::Write;
use std::time::SystemTime;

use persimmonbend_core::event::Event;
use persimmonbend_core::traffic::Point;

use crate::html::Html;

/// Width of a chart in SVG units.
const WIDTH: usize = 300;

/// Height of a chart in SVG units.
const HEIGHT: usize = 60;

/// Time in seconds that one point covers.
const POINT_INTERVAL_S: u64 = 10;

/// Draws the median and the 99th percentile of the latency.
#[must_use]
pub fn latency(points: &[Point]) -> Html {
    let maximum = points
        .iter()
        .map(|point| point.p99_us)
        .max()
        .unwrap_or(0)
        .max(1);
    let p99: Vec<u64> = points.iter().map(|point| point.p99_us).collect();
    let p50: Vec<u64> = points.iter().map(|point| point.p50_us).collect();
    open_svg("Latency of the last ten minutes")
        .raw("<polyline class=\"b\" points=\"")
        .unclipped(Line(&p50, maximum))
        .raw("\"/><polyline class=\"a\" points=\"")
        .unclipped(Line(&p99, maximum))
        .raw("\"/></svg><p class=\"n\">Worst host, p99 dark, median light; highest ")
        .text(format_args!("{:.1} ms", as_millis(maximum)))
        .raw("</p>")
}

/// Draws failed requests as bars, with a vertical line at each change of an upstream's health.
#[must_use]
pub fn failures(points: &[Point], events: &[(String, Event)], now: SystemTime) -> Html {
    let maximum = points
        .iter()
        .map(|point| point.failed)
        .max()
        .unwrap_or(0)
        .max(1);
    let failed: Vec<u64> = points.iter().map(|point| point.failed).collect();
    let transitions: Vec<u64> = events
        .iter()
        .filter(|(_, event)| event.part == "health")
        .filter_map(|(_, event)| now.duration_since(event.at).ok())
        .map(|age| age.as_secs() / POINT_INTERVAL_S)
        .collect();
    open_svg("Failed requests of the last ten minutes")
        .raw("<path class=\"c\" d=\"")
        .unclipped(Bars(&failed, maximum))
        .raw("\"/><path class=\"d\" d=\"")
        .unclipped(Marks(&transitions, points.len()))
        .raw("\"/></svg><p class=\"n\">Failed in 10 s, highest ")
        .text(maximum)
        .raw("; vertical lines are ejections and returns of upstreams</p>")
}

fn open_svg(title: &'static str) -> Html {
    Html::new()
        .raw("<svg viewBox=\"0 0 300 60\" role=\"img\"><title>")
        .raw(title)
        .raw("</title>")
}

#[allow(clippy::cast_precision_loss)]
fn as_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

fn x_of(index: usize, length: usize) -> usize {
    index * WIDTH / length.max(2).saturating_sub(1)
}

fn y_of(value: u64, maximum: u64) -> usize {
    let share = value.saturating_mul(HEIGHT as u64) / maximum.max(1);
    HEIGHT - usize::try_from(share).unwrap_or(HEIGHT).min(HEIGHT)
}

/// Points of a polyline: the values and the value at full height.
struct Line<'a>(&'a [u64], u64);

impl std::fmt::Display for Line<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let length = self.0.len();
        for (index, value) in self.0.iter().enumerate() {
            write!(
                formatter,
                "{},{} ",
                x_of(index, length),
                y_of(*value, self.1)
            )?;
        }
        Ok(())
    }
}

/// Bars: the values and the value at full height.
struct Bars<'a>(&'a [u64], u64);

impl std::fmt::Display for Bars<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let length = self.0.len();
        for (index, value) in self.0.iter().enumerate().filter(|(_, value)| **value > 0) {
            let height = HEIGHT - y_of(*value, self.1);
            write!(formatter, "M{} 60v-{height}", x_of(index, length))?;
        }
        Ok(())
    }
}

/// Vertical lines over the full height: their distances from the last point, and the number of
/// points.
struct Marks<'a>(&'a [u64], usize);

impl std::fmt::Display for Marks<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let length = self.1;
        for steps_back in self.0 {
            let steps_back = usize::try_from(*steps_back).unwrap_or(usize::MAX);
            if steps_back < length {
                write!(formatter, "M{} 0v60", x_of(length - 1 - steps_back, length))?;
            }
        }
        formatter.write_char(' ')
    }
}
