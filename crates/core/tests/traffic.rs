//! Tests of request statistics: counts against a naive count, bounds and windows.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use persimmonbend_check::properties;
use persimmonbend_core::error::Kind;
use persimmonbend_core::traffic::Ending;
use persimmonbend_core::traffic::MAX_FAILED;
use persimmonbend_core::traffic::MAX_SUBJECTS;
use persimmonbend_core::traffic::Request;
use persimmonbend_core::traffic::Traffic;
use persimmonbend_core::traffic::WINDOW;

fn request(name: usize, tenant: &str, ending: Ending, took_ms: u64) -> Request {
    Request {
        name: name.to_string(),
        at: SystemTime::UNIX_EPOCH,
        tenant: Some(tenant.to_owned()),
        route: Some(("herd".to_owned(), "register".to_owned())),
        upstreams: Vec::new(),
        took: Duration::from_millis(took_ms),
        ending,
    }
}

properties! {
    fn the_counts_equal_a_naive_count(requests: Vec<(u8, Option<u8>)>) -> bool {
        let start = Instant::now();
        let mut traffic = Traffic::new(start);
        for (name, (tenant, failure)) in requests.iter().enumerate() {
            let kind = failure.map(|at| Kind::ALL[usize::from(at) % Kind::ALL.len()]);
            let ending = kind.map_or(Ending::Answered { status: 200 }, |kind| Ending::Failed { kind });
            let at = start + Duration::from_secs(name as u64);
            traffic.record(at, request(name, &tenant.to_string(), ending, 1));
        }
        let answered = |id: &str| {
            let own = requests.iter().filter(|(tenant, _)| tenant.to_string() == id);
            own.filter(|(_, failure)| failure.is_none()).count() as u64
        };
        let failed = requests.iter().filter(|(_, failure)| failure.is_some()).count() as u64;
        traffic.tenants().iter().all(|(id, tally)| tally.answered() == answered(id))
            && traffic.kinds().values().sum::<u64>() == failed
            && traffic.answered() + failed == requests.len() as u64
    }
}

#[test]
fn counts_and_failures_are_bounded() {
    let now = Instant::now();
    let mut traffic = Traffic::new(now);
    let kind = Kind::RateExceeded;
    for name in 0..MAX_SUBJECTS * 2 {
        let at = now + Duration::from_millis(name as u64);
        traffic.record(
            at,
            request(name, &name.to_string(), Ending::Failed { kind }, 1),
        );
    }
    assert_eq!(traffic.tenants().len(), MAX_SUBJECTS);
    assert_eq!(traffic.failed().len(), MAX_FAILED);
    assert!(traffic.request("0").is_none(), "the oldest is forgotten");
    let latest = (MAX_SUBJECTS * 2 - 1).to_string();
    assert!(traffic.request(&latest).is_some());
    assert!(traffic.tenants().contains_key(&latest));
}

#[test]
fn latency_is_forgotten_after_two_windows() {
    let now = Instant::now();
    let mut traffic = Traffic::new(now);
    let answered = Ending::Answered { status: 200 };
    traffic.record(now, request(0, "farm", answered, 1_000));
    traffic.record(now + WINDOW, request(1, "farm", answered, 1));
    let slow = traffic.tenants()["farm"].latency(1.0);
    assert!(slow >= Duration::from_millis(900), "{slow:?}");
    traffic.record(now + WINDOW * 2, request(2, "farm", answered, 1));
    let fast = traffic.tenants()["farm"].latency(1.0);
    assert!(fast < Duration::from_millis(10), "{fast:?}");
}

#[test]
fn the_series_has_a_point_for_each_step() {
    let now = Instant::now();
    let mut traffic = Traffic::new(now);
    let answered = Ending::Answered { status: 200 };
    traffic.record(now, request(0, "farm", answered, 5));
    traffic.record(
        now + Duration::from_secs(30),
        request(1, "farm", answered, 5),
    );
    let points = traffic.series().points(now + Duration::from_secs(45));
    let counts: Vec<u64> = points.iter().map(|point| point.answered).collect();
    assert_eq!(counts, [1, 0, 0, 1, 0]);
}
