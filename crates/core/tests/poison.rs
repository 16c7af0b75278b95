//! Which requests are barred as upstreams end, and which are not.

use std::time::Duration;
use std::time::Instant;

use persimmonbend_check::properties;
use persimmonbend_core::poison::End;
use persimmonbend_core::poison::Fingerprint;
use persimmonbend_core::poison::Ledger;
use persimmonbend_core::poison::Standing;
use persimmonbend_core::roster::Number;

/// Longest time for which a content is barred that has ended three upstreams.
const MAX_FIRST_PAUSE: Duration = Duration::from_secs(30);

fn content(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

/// Creates a ledger of the ends of upstreams under each content, all at `now`.
fn ledger(ends: &[(&str, &[Number])], now: Instant) -> Ledger {
    let mut ledger = Ledger::default();
    for (name, upstreams) in ends {
        for upstream in *upstreams {
            assert!(ledger.note(&End::new(content(name), *upstream), now));
        }
    }
    ledger
}

fn is_barred(ledger: &Ledger, name: &str, now: Instant) -> bool {
    matches!(ledger.standing(content(name), now), Standing::Barred(_))
}

#[test]
fn a_request_is_barred_once_three_upstreams_have_ended_under_it() {
    let now = Instant::now();
    assert!(!is_barred(&ledger(&[("a", &[1, 2])], now), "a", now));
    assert!(is_barred(&ledger(&[("a", &[1, 2, 3])], now), "a", now));
}

#[test]
fn an_end_that_several_hosts_report_counts_once() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2])], now);
    for _ in 0..3 {
        assert!(!ledger.note(&End::new(content("a"), 2), now));
    }
    assert!(!is_barred(&ledger, "a", now));
}

#[test]
fn a_sound_request_that_ran_beside_another_as_upstreams_ended_keeps_its_tries() {
    let now = Instant::now();
    let all: &[(&str, &[Number])] = &[
        ("poison", &[1, 2, 3, 4]),
        ("beside", &[1, 2, 3]),
        ("once", &[4]),
    ];
    let ledger = ledger(all, now);
    assert!(is_barred(&ledger, "poison", now));
    assert_eq!(ledger.standing(content("beside"), now), Standing::Allowed);
    assert_eq!(ledger.standing(content("once"), now), Standing::Allowed);
}

#[test]
fn two_requests_that_ran_on_the_same_upstreams_are_not_barred_before_they_differ() {
    let now = Instant::now();
    let both: &[(&str, &[Number])] = &[("a", &[1, 2, 3]), ("b", &[1, 2, 3])];
    let mut ledger = ledger(both, now);
    assert!(!is_barred(&ledger, "a", now) && !is_barred(&ledger, "b", now));
    ledger.note(&End::new(content("a"), 4), now);
    assert!(is_barred(&ledger, "a", now) && !is_barred(&ledger, "b", now));
}

#[test]
fn an_answer_frees_a_request_for_good() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    let changed = ledger.note_answer(content("a"), now);
    assert_eq!(changed.len(), 3);
    assert!(!is_barred(&ledger, "a", now));
    for upstream in 1..=3 {
        ledger.note(&End::new(content("a"), upstream), now);
    }
    assert!(!is_barred(&ledger, "a", now), "a late report bars it again");
}

#[test]
fn an_upstream_that_answers_just_after_its_reported_end_has_not_ended() {
    let now = Instant::now();
    let cases = [(5, true), (900, true), (2_000, false)];
    for (after_ms, is_alive) in cases {
        let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
        ledger.note_alive(2, now + Duration::from_millis(after_ms));
        let later = now + Duration::from_secs(3);
        assert_eq!(!is_barred(&ledger, "a", later), is_alive, "{after_ms} ms");
    }
}

#[test]
fn a_barred_request_gets_one_trial_after_each_pause_and_the_pauses_grow() {
    let mut now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    let mut before = Duration::ZERO;
    for upstream in 4..=7 {
        let Standing::Barred(left) = ledger.standing(content("a"), now) else {
            panic!("not barred after {} ends", upstream - 1);
        };
        assert!(left >= before * 5, "{left:?} after {before:?}");
        before = left;
        now += left;
        ledger.expire(now);
        assert_eq!(ledger.standing(content("a"), now), Standing::Trial);
        ledger.note(&End::new(content("a"), upstream), now);
    }
}

#[test]
fn a_trial_whose_end_is_not_seen_is_not_followed_by_others() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    let later = now + MAX_FIRST_PAUSE;
    assert_eq!(ledger.standing(content("a"), later), Standing::Trial);
    ledger.note_trial(content("a"), later);
    assert!(is_barred(&ledger, "a", later + Duration::from_secs(1)));
    let again = later + MAX_FIRST_PAUSE;
    assert_eq!(ledger.standing(content("a"), again), Standing::Trial);
    ledger.note_answer(content("a"), again);
    assert_eq!(ledger.standing(content("a"), again), Standing::Allowed);
}

/// A listener that is gone has not run the request, and says nothing about it.
#[test]
fn a_trial_that_reached_no_upstream_bars_no_other() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    let later = now + MAX_FIRST_PAUSE;
    ledger.note_trial(content("a"), later);
    assert!(is_barred(&ledger, "a", later));
    ledger.withdraw_trial(content("a"));
    assert_eq!(ledger.standing(content("a"), later), Standing::Trial);
}

#[test]
fn hosts_end_their_pauses_one_after_the_other() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    let mut left = Vec::new();
    for draw in [0.0, 0.5, 0.99] {
        ledger.set_draw(draw);
        let Standing::Barred(one) = ledger.standing(content("a"), now) else {
            panic!("not barred");
        };
        left.push(one);
    }
    assert!(
        left.is_sorted() && left[2] - left[0] > Duration::from_secs(5),
        "{left:?}"
    );
    assert!(left[2] <= MAX_FIRST_PAUSE);
}

#[test]
fn a_flood_of_contents_does_not_push_a_barred_one_out() {
    let now = Instant::now();
    let mut ledger = ledger(&[("a", &[1, 2, 3])], now);
    for number in 0..5_000 {
        ledger.note(&End::new(content(&number.to_string()), 10 + number), now);
    }
    assert!(is_barred(&ledger, "a", now));
    assert!(ledger.ends(now).len() <= 1_100);
}

properties! {
    fn ledgers_that_hear_the_same_in_another_order_agree(reports: Vec<(u8, u8, bool)>) -> bool {
        let now = Instant::now();
        let ends = reports.iter().map(|(name, upstream, holds)| End {
            holds: *holds,
            ..End::new(content(&(name % 4).to_string()), Number::from(upstream % 6))
        });
        let ends: Vec<End> = ends.collect();
        let (mut one, mut other) = (Ledger::default(), Ledger::default());
        for end in &ends {
            one.note(end, now);
        }
        for end in ends.iter().rev() {
            other.note(end, now);
        }
        let standing = |ledger: &Ledger, name: u8| ledger.standing(content(&name.to_string()), now);
        (0..4).all(|name| standing(&one, name) == standing(&other, name))
    }
}
