//! The pace of requests to an upstream that states a limit.

use std::time::Duration;
use std::time::Instant;

use persimmonbend_check::properties;
use persimmonbend_core::dispatch::Pace;

const INTERVAL: Duration = Duration::from_millis(100);
const LIFETIME: Duration = Duration::from_millis(500);

/// Takes all permits of a pace at each of the times, and returns when.
fn take_all(pace: &mut Pace, times: impl Iterator<Item = Instant>) -> Vec<Instant> {
    let mut taken = Vec::new();
    for now in times {
        while pace.has_permit(now) {
            pace.take(now);
            taken.push(now);
        }
    }
    taken
}

#[test]
fn unused_permits_lapse() {
    let start = Instant::now();
    let mut pace = Pace::new(INTERVAL, LIFETIME, 1.0, start);
    let later = [Duration::from_secs(60), Duration::from_secs(61)].map(|time| start + time);
    let taken = take_all(&mut pace, later.into_iter());
    let at = |time| taken.iter().filter(|one| **one == time).count();
    // The permits of the last 500 ms, the first one among them.
    assert_eq!(later.map(at), [6, 6]);
}

#[test]
fn a_shorter_interval_applies_to_the_next_permit() {
    let start = Instant::now();
    let mut pace = Pace::new(Duration::from_secs(3_600), LIFETIME, 1.0, start);
    pace.set(INTERVAL, LIFETIME);
    assert!(pace.has_permit(start + INTERVAL));
}

#[test]
fn hosts_that_were_idle_do_not_use_their_permits_together() {
    let start = Instant::now();
    let later = start + Duration::from_secs(3_600);
    let with_permit = (0..100).filter(|host| {
        let part = f64::from(*host) / 100.0;
        let pace = Pace::new(Duration::from_secs(100), LIFETIME, part, start);
        pace.has_permit(later)
    });
    assert_eq!(with_permit.count(), 1);
}

properties! {
    fn a_window_holds_the_permits_of_its_length_and_one_lifetime(gaps_ms: Vec<u16>, part: u8) -> bool {
        let start = Instant::now();
        let mut pace = Pace::new(INTERVAL, LIFETIME, f64::from(part) / 255.0, start);
        let times = gaps_ms.iter().scan(start, |now, gap| {
            *now += Duration::from_millis(u64::from(gap % 700));
            Some(*now)
        });
        let taken = take_all(&mut pace, times);
        let window = Duration::from_secs(4);
        taken.iter().all(|first| {
            let within = |at: &&Instant| **at >= *first && **at < *first + window;
            taken.iter().filter(within).count() <= 40 + 5 + 1
        })
    }
}
