//! The tables of docs/CAPACITY.md and the slopes file that they are computed from.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use pb_lab::capacity;
use pb_lab::capacity::File;
use pb_lab::capacity::Slopes;
use persimmonbend_app::settings;
use persimmonbend_check::properties;
use quickcheck::TestResult;

/// Guards against a change of the slopes that leaves the tables of the page as they were.
#[test]
fn the_capacity_page_matches_the_slopes() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let slopes = settings::load::<File, Slopes>(&docs.join("capacity/slopes.jsonc")).unwrap();
    let page = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    let start = page
        .split("<!-- tables: pb-lab capacity -->")
        .nth(1)
        .unwrap();
    let found = start.split("<!-- end of tables -->").next().unwrap();
    let expected = capacity::tables(&slopes);
    assert_eq!(
        found.trim(),
        expected.trim(),
        "docs/CAPACITY.md is out of date: run pb-lab capacity"
    );
}

/// Guards against tables from a slope that is negative, named twice or not a number.
#[test]
fn invalid_slopes_are_refused() {
    let slope = |name: &str, value: &str| {
        format!("{{\"name\": \"{name}\", \"value\": {value}, \"unit\": \"\", \"command\": \"\"}}")
    };
    let cases = [
        vec![slope("a", "-1")],
        vec![slope("a", "1"), slope("a", "2")],
        vec![slope("a", "\"1\"")],
    ];
    for case in cases {
        let text = format!("{{\"slopes\": [{}]}}", case.join(", "));
        assert!(settings::parse::<File, Slopes>(&text).is_err(), "{text}");
    }
}

properties! {
    /// Guards against a wrong fit: points on a line give the slope of that line.
    fn the_slope_of_a_line_is_recovered(slope: i16, start: i16, sizes: Vec<u8>) -> TestResult {
        let (slope, start) = (f64::from(slope), f64::from(start));
        let distinct = sizes.iter().any(|size| *size != sizes[0]);
        if !distinct {
            return TestResult::discard();
        }
        let sizes = sizes.iter().map(|size| f64::from(*size));
        let points: Vec<(f64, f64)> = sizes.map(|size| (size, start + slope * size)).collect();
        let found = capacity::slope(&points);
        TestResult::from_bool((found - slope).abs() < 1e-3 * slope.abs().max(1.0))
    }
}
