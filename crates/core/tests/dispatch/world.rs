//! A dispatcher with upstreams, a publication and a manual clock.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_core::dispatch::Answer;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Completion;
use persimmonbend_core::dispatch::Decision;
use persimmonbend_core::dispatch::Dispatcher;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Request;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::health::Outcome;
use persimmonbend_core::publication::Part;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Quota;
use persimmonbend_core::publication::Route;
use persimmonbend_core::publication::Service;
use persimmonbend_core::publication::Tenant;
use persimmonbend_core::publication::Terms;
use persimmonbend_core::publication::Warmup;
use persimmonbend_core::roster::Entry;
use persimmonbend_core::roster::Number;
use persimmonbend_core::steward::Ticket;
use persimmonbend_core::upstream::Announcement;
use persimmonbend_core::upstream::Stage;

pub const SERVICE: &str = "filing";

/// Route whose requests must not run twice.
pub const NON_IDEMPOTENT: &str = "once";

/// Route whose requests may run more than once.
pub const IDEMPOTENT: &str = "again";

/// Like [`IDEMPOTENT`], with a lower priority.
pub const LOW_PRIORITY: &str = "later";

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Instant,
    next: u32,
}

impl World {
    /// Creates a service with one upstream in each of `zones`, with three slots each.
    pub fn new(zones: &[&str]) -> Self {
        Self::with(policy(), zones)
    }

    /// Creates the same service as [`World::new`] for a dispatcher with a policy.
    pub fn with(policy: Policy, zones: &[&str]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            dispatcher: Dispatcher::new(policy),
            now,
            next: 0,
        };
        world.dispatcher.publish(Rc::new(publication(None)), now);
        for (number, zone) in (1..).zip(zones) {
            world.update_upstream(number, zone, Stage::Ready);
        }
        world
    }

    /// Sets the terms of the service.
    pub fn set_terms(&mut self, terms: Terms) {
        let publication = Publication {
            terms: BTreeMap::from([(SERVICE.to_owned(), terms)]),
            ..publication(None)
        };
        self.dispatcher.publish(Rc::new(publication), self.now);
    }

    /// Limits requests to upstreams that are cold.
    pub fn set_warmup(&mut self, per_second: f64, duration: Duration) {
        self.set_terms(Terms {
            warmup: Some(Warmup {
                per_second,
                duration,
            }),
            ..Terms::default()
        });
    }

    /// Sets the quota of the tenant `farm`.
    pub fn set_quota(&mut self, per_second: f64, burst: f64) {
        let quota = Quota { per_second, burst };
        let publication = Rc::new(publication(Some(quota)));
        self.dispatcher.publish(publication, self.now);
    }

    /// Sets the share of extra sends of the service.
    pub fn set_hedge_share(&mut self, share: f64) {
        self.set_terms(Terms {
            hedge_share: Some(share),
            ..Terms::default()
        });
    }

    pub fn update_upstream(&mut self, number: Number, zone: &str, stage: Stage) -> Vec<Answer> {
        let entry = Entry {
            number,
            announcement: Announcement {
                id: format!("u{number}"),
                service: SERVICE.to_owned(),
                address: (
                    [10, 0, 0, 1],
                    u16::try_from(number).expect("a small number"),
                )
                    .into(),
                zone: zone.to_owned(),
                slots: 3,
                incarnation: 1,
                sequence: 1,
                stage,
            },
        };
        self.dispatcher.update_upstream(&entry, self.now)
    }

    pub fn request(&mut self, route: &str) -> Request {
        self.next += 1;
        Request {
            ticket: Ticket {
                host: "host-1".to_owned(),
                number: self.next,
            },
            zone: "a".to_owned(),
            route: route.to_owned(),
            service: SERVICE.to_owned(),
            tenant: Some("farm".to_owned()),
            arrived: self.now,
            deadline: self.now + Duration::from_secs(2),
            attempts: 0,
            is_retry: false,
            avoid: Vec::new(),
            is_hedge: false,
            body_bytes: 0,
        }
    }

    /// Returns the ticket of the latest request, made by a host.
    pub fn latest_ticket(&self, host: &str) -> Ticket {
        Ticket {
            host: host.to_owned(),
            number: self.next,
        }
    }

    /// Reserves a slot and returns the first decision.
    pub fn reserve(&mut self, request: Request) -> Decision {
        let ticket = request.ticket.clone();
        let answers = self.dispatcher.reserve(request, self.now);
        let own = answers.into_iter().find(|answer| answer.ticket == ticket);
        own.expect("an answer").decision
    }

    /// Reserves a slot for a request of a route; returns the ticket and the upstream if granted.
    pub fn place(&mut self, route: &str) -> Option<(Ticket, Number)> {
        let request = self.request(route);
        let ticket = request.ticket.clone();
        match self.reserve(request) {
            Decision::Granted { upstream, .. } => Some((ticket, upstream)),
            _ => None,
        }
    }

    pub fn release(&mut self, ticket: &Ticket, outcome: Outcome, latency: Duration) -> Vec<Answer> {
        let end = Completion {
            outcome,
            latency,
            bytes: 5_000,
        };
        self.dispatcher.release(ticket, &end, self.now)
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }
}

pub fn policy() -> Policy {
    Policy {
        retries: Retries {
            ratio: 0.2,
            burst: 20.0,
        },
        max_silence: Duration::from_secs(5),
        contact: Duration::from_secs(3),
        initial_balance: Balance::Share(1.0),
        is_first_dispatcher: false,
        floor: 0.7,
        hedge_share: None,
    }
}

fn publication(quota: Option<Quota>) -> Publication {
    let route = |idempotent, priority| Route {
        host: "farm.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        priority,
        parts: vec![Part {
            service: SERVICE.to_owned(),
            weight: 1.0,
        }],
        attempts: 2,
        open: false,
    };
    let tenant = Tenant {
        quota,
        ..Tenant::default()
    };
    Publication {
        version: Some(1),
        routes: BTreeMap::from([
            (NON_IDEMPOTENT.to_owned(), route(false, 1)),
            (IDEMPOTENT.to_owned(), route(true, 1)),
            (LOW_PRIORITY.to_owned(), route(true, 2)),
        ]),
        services: BTreeMap::from([(SERVICE.to_owned(), Service::default())]),
        tenants: BTreeMap::from([("farm".to_owned(), tenant)]),
        ..Publication::default()
    }
}
