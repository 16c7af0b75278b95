//! Detection of grey upstreams in simulated services: healthy, grey, slow as a whole, and with one
//! tenant whose requests always fail.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use persimmonbend_check::properties;
use persimmonbend_core::health::Descriptor;
use persimmonbend_core::health::Detector;
use persimmonbend_core::health::Evidence;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::health::Policy;
use persimmonbend_core::health::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 13;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const TENANTS: usize = 8;
const STEP: Duration = Duration::from_millis(2);
const SEEDS: u64 = 5;

/// Bad outcomes within which a grey upstream has to be ejected.
const MAX_BAD_OUTCOMES: usize = 10;

/// A simulated service whose attempts are observed one by one.
struct Service {
    detector: Detector,
    now: Instant,
    rng: ChaCha8Rng,
}

/// One simulated request.
struct Request {
    upstream: usize,
    zone: usize,
    tenant: usize,
    work: Duration,
}

impl Service {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut detector = Detector::new(Policy::default());
        detector.set_upstreams(
            (0..UPSTREAMS).map(|id| Descriptor::new(&name(id), 3, true)),
            now,
        );
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { detector, now, rng }
    }

    fn request(&mut self) -> Request {
        let mean = Duration::from_millis(20);
        let work = mean.mul_f64(-self.rng.random_range(f64::EPSILON..1.0).ln());
        Request {
            upstream: self.rng.random_range(0..UPSTREAMS),
            zone: self.rng.random_range(0..ZONES.len()),
            tenant: self.rng.random_range(0..TENANTS),
            work,
        }
    }

    /// Sends one request unless its upstream is ejected; returns it with its outcome if sent.
    fn step<F>(&mut self, answer: F) -> Option<(Request, Outcome)>
    where
        F: Fn(&mut ChaCha8Rng, &Request) -> (Outcome, Duration),
    {
        self.now += STEP;
        let request = self.request();
        let zone = ZONES[request.zone];
        if self
            .detector
            .verdict(&name(request.upstream), zone, self.now)
            == Verdict::Ejected
        {
            return None;
        }
        let (outcome, latency) = answer(&mut self.rng, &request);
        let evidence = Evidence {
            upstream: name(request.upstream),
            zone: zone.to_owned(),
            tenant: Some(format!("tenant-{}", request.tenant)),
            outcome,
            latency,
            reused: false,
        };
        self.detector.observe(&evidence, self.now);
        Some((request, outcome))
    }

    fn run<F>(&mut self, requests: usize, answer: F)
    where
        F: Fn(&mut ChaCha8Rng, &Request) -> (Outcome, Duration) + Copy,
    {
        for _ in 0..requests {
            self.step(answer);
        }
    }

    fn upstreams_out(&self) -> Vec<String> {
        let reports = self.detector.reports();
        let out = reports
            .iter()
            .filter(|one| one.out || !one.out_in_zones.is_empty());
        out.map(|one| one.upstream.clone()).collect()
    }
}

fn name(id: usize) -> String {
    format!("up-{id}")
}

fn healthy(_rng: &mut ChaCha8Rng, request: &Request) -> (Outcome, Duration) {
    (Outcome::Answered, request.work)
}

#[test]
fn a_healthy_service_ejects_no_upstream() {
    for seed in 0..SEEDS {
        let mut service = Service::new(seed);
        service.run(40_000, |rng, request| {
            let failed = rng.random_bool(0.002);
            (
                if failed {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                },
                request.work,
            )
        });
        let transitions = service.detector.take_transitions();
        assert!(transitions.is_empty(), "seed {seed}: {transitions:?}");
    }
}

#[test]
fn a_service_that_degrades_as_a_whole_ejects_no_upstream() {
    let slow = |_: &mut ChaCha8Rng, request: &Request| (Outcome::Answered, request.work * 10);
    let failing = |_: &mut ChaCha8Rng, request: &Request| (Outcome::Failed, request.work);
    for seed in 0..SEEDS {
        for (case, sudden) in [("slow", slow as fn(&mut _, &_) -> _), ("failing", failing)] {
            let mut service = Service::new(seed);
            service.run(20_000, healthy);
            service.run(20_000, sudden);
            let transitions = service.detector.take_transitions();
            assert!(
                transitions.is_empty(),
                "{case}, seed {seed}: {transitions:?}"
            );
        }
    }
}

#[test]
fn one_tenants_bad_requests_eject_no_upstream() {
    for seed in 0..SEEDS {
        let mut service = Service::new(seed);
        service.run(5_000, healthy);
        service.run(20_000, |_, request| {
            let bad = request.tenant == 3;
            (
                if bad {
                    Outcome::Failed
                } else {
                    Outcome::Answered
                },
                request.work,
            )
        });
        let transitions = service.detector.take_transitions();
        assert!(transitions.is_empty(), "seed {seed}: {transitions:?}");
    }
}

#[test]
fn a_grey_upstream_is_ejected_within_ten_bad_outcomes() {
    type Answer = fn(&mut ChaCha8Rng, &Request) -> (Outcome, Duration);
    let late: Answer = |_, request| (Outcome::Answered, request.work + Duration::from_millis(300));
    let failing: Answer = |_, request| (Outcome::Failed, request.work);
    let half: Answer = |rng, request| {
        let failed = rng.random_bool(0.5);
        (
            if failed {
                Outcome::Failed
            } else {
                Outcome::Answered
            },
            request.work,
        )
    };
    let silent: Answer = |_, _| (Outcome::TimedOut, Duration::from_secs(1));
    let cut: Answer = |_, request| (Outcome::Truncated, request.work);
    let cases = [
        ("late", late),
        ("failing", failing),
        ("half", half),
        ("silent", silent),
        ("cut", cut),
    ];
    for (case, fault) in cases {
        for seed in 0..SEEDS {
            let mut service = Service::new(seed);
            service.run(5_000, healthy);
            let bad = bad_outcomes_until_ejection(&mut service, fault);
            assert!(
                bad <= MAX_BAD_OUTCOMES,
                "{case}, seed {seed}: {bad} bad outcomes"
            );
            assert_eq!(service.upstreams_out(), [name(0)], "{case}, seed {seed}");
        }
    }
}

fn bad_outcomes_until_ejection(
    service: &mut Service,
    fault: fn(&mut ChaCha8Rng, &Request) -> (Outcome, Duration),
) -> usize {
    let mut bad = 0;
    for _ in 0..20_000 {
        let sent = service.step(|rng, request| match request.upstream {
            0 => fault(rng, request),
            _ => healthy(rng, request),
        });
        let Some((request, outcome)) = sent else {
            continue;
        };
        let late = request.work + Duration::from_millis(300);
        let was_late = fault(&mut ChaCha8Rng::seed_from_u64(0), &request).1 == late;
        if request.upstream == 0 && (outcome != Outcome::Answered || was_late) {
            bad += 1;
        }
        if service.detector.reports()[0].out {
            return bad;
        }
    }
    usize::MAX
}

#[test]
fn an_upstream_that_one_zone_cannot_reach_stays_in_use_elsewhere() {
    for seed in 0..SEEDS {
        let mut service = Service::new(seed);
        service.run(5_000, healthy);
        service.run(3_000, |_, request| match (request.upstream, request.zone) {
            (0, 0) => (Outcome::Unreachable, Duration::from_millis(500)),
            _ => (Outcome::Answered, request.work),
        });
        let report = &service.detector.reports()[0];
        assert!(
            !report.out,
            "seed {seed}: {:?}",
            service.detector.take_transitions()
        );
        assert_eq!(report.out_in_zones, ["a"], "seed {seed}");
        let elsewhere = service.detector.verdict("up-0", "b", service.now);
        assert!(
            matches!(elsewhere, Verdict::Use { .. }),
            "seed {seed}: {elsewhere:?}"
        );
    }
}

#[test]
fn an_upstream_that_only_one_zone_uses_is_ejected_for_all_zones() {
    for seed in 0..SEEDS {
        let mut service = Service::new(seed);
        service.run(5_000, healthy);
        let mut bad = 0;
        while !service.detector.reports()[0].out && bad <= MAX_BAD_OUTCOMES {
            let sent = service.step(|_, request| match (request.upstream, request.zone) {
                (0, 0) => (Outcome::Failed, request.work),
                (0, _) => (Outcome::Cancelled, request.work),
                _ => (Outcome::Answered, request.work),
            });
            bad += usize::from(sent.is_some_and(|(_, outcome)| outcome == Outcome::Failed));
        }
        assert!(bad <= MAX_BAD_OUTCOMES, "seed {seed}: {bad} bad outcomes");
    }
}

#[test]
fn a_flapping_upstream_is_ejected_longer_each_time() {
    let mut service = Service::new(1);
    service.run(5_000, healthy);
    let mut outages = Vec::new();
    for _ in 0..4 {
        bad_outcomes_until_ejection(&mut service, |_, request| (Outcome::Failed, request.work));
        let since = service.now;
        while service.detector.reports()[0].out {
            service.step(healthy);
        }
        outages.push(service.now - since);
    }
    assert!(
        outages.windows(2).all(|pair| pair[1] > pair[0]),
        "{outages:?}"
    );
    let fresh = service.detector.verdict("up-0", "a", service.now);
    assert!(
        matches!(fresh, Verdict::Use { weight } if weight < 0.2),
        "{fresh:?}"
    );
}

#[test]
fn ejections_stop_at_the_floor_when_nearly_half_of_the_service_turns_bad() {
    let mut service = Service::new(7);
    service.run(5_000, healthy);
    for _ in 0..10_000 {
        service.step(|_, request| match request.upstream {
            0..6 => (Outcome::Failed, request.work),
            _ => (Outcome::Answered, request.work),
        });
        let share = service.detector.capacity_in_use(None);
        assert!(
            share >= Policy::default().floor,
            "{share} of the capacity in use"
        );
    }
    assert_eq!(
        service.upstreams_out().len(),
        3,
        "{:?}",
        service.detector.take_transitions()
    );
}

properties! {
    fn ejections_always_leave_the_floor_in_use(seed: u64, floor: u8, bad: Vec<(u8, u8)>) -> bool {
        let floor = f64::from(floor % 101) / 100.0;
        let mut service = Service::new(seed);
        service.detector.set_floor(floor);
        bad.iter().all(|(upstream, kind)| {
            let outcome = [Outcome::Failed, Outcome::TimedOut, Outcome::Unreachable, Outcome::Truncated][usize::from(*kind) % 4];
            let target = usize::from(*upstream) % UPSTREAMS;
            for _ in 0..20 {
                service.step(|_, request| {
                    let hit = request.upstream == target || request.zone == usize::from(*kind) % 4;
                    (if hit { outcome } else { Outcome::Answered }, request.work)
                });
            }
            let shares = ZONES.iter().map(|zone| service.detector.capacity_in_use(Some(zone)));
            shares.chain([service.detector.capacity_in_use(None)]).all(|share| share >= floor)
        })
    }
}
