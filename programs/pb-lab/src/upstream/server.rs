//! HTTP server of a stand-in upstream.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use event_listener::Event;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_core::key;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::upstream::Fault;
use crate::upstream::Ledger;
use crate::upstream::Setup;

/// Header in which the load generator sends the ID of a request.
pub const REQUEST_ID_HEADER: &str = "x-lab-request";

/// Header with the time from the arrival of a request to its answer, in microseconds.
pub const TOTAL_TIME_HEADER: &str = "x-lab-took-us";

/// Header with the time that the upstream worked once it had a free slot, in microseconds.
pub const WORK_TIME_HEADER: &str = "x-lab-work-us";

/// Path of the endpoint that sets the fault.
const FAULT_PATH: &str = "/_lab/fault";

/// A running stand-in upstream.
#[derive(Debug)]
pub struct Upstream {
    id: String,
    work: Duration,
    fault: Cell<Fault>,
    slots: Semaphore,
    ledger: Ledger,
    rng: RefCell<ChaCha8Rng>,
}

impl Upstream {
    /// Creates an upstream without a fault.
    #[must_use]
    pub fn new(setup: &Setup, ledger: Ledger) -> Self {
        Self {
            id: setup.id.clone(),
            work: setup.work,
            fault: Cell::new(Fault::None),
            slots: Semaphore::new(setup.slots),
            ledger,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(setup.seed)),
        }
    }

    /// Waits until no request is running.
    pub async fn wait_until_idle(&self) {
        while self.slots.is_in_use() {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request.into_body().collect().await;
        let fault = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        match fault {
            Some(fault) => {
                self.fault.set(fault);
                http::json(200, &json!({ "set": fault }))
            }
            None => http::json(400, &json!({ "error": "not a fault" })),
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        let fault = self.fault.get();
        self.check_for_keys(&request);
        let id = request_id(&request);
        let non_idempotent = request.headers().contains_key("idempotency-key");
        let path = request.uri().path().to_owned();
        self.ledger.record_arrival(&self.id, &id);
        if fault == Fault::Shed {
            return shed();
        }
        if self.fails_fast(fault) {
            return http::json(500, &json!({ "error": "the upstream failed" }));
        }
        let Ok(body) = request.into_body().collect().await else {
            return http::json(400, &json!({ "error": "the body is incomplete" }));
        };
        let _slot = self.slots.acquire().await;
        let work_started = Instant::now();
        compio::time::sleep(self.work_time(fault)).await;
        self.ledger.record_execution(&id, non_idempotent);
        if fault == Fault::Silent {
            std::future::pending::<()>().await;
        }
        let answer = json!({
            "upstream": self.id,
            "request": id,
            "path": path,
            "body_bytes": body.to_bytes().len(),
            "end": true,
        });
        let mut response = match fault {
            Fault::Truncated => truncated(&answer.to_string()),
            _ => http::json(200, &answer),
        };
        let headers = response.headers_mut();
        headers.insert(TOTAL_TIME_HEADER, micros(started.elapsed()));
        headers.insert(WORK_TIME_HEADER, micros(work_started.elapsed()));
        response
    }

    fn check_for_keys(&self, request: &Request<Incoming>) {
        let target = request.uri().to_string();
        let values = request.headers().values().map(HeaderValue::as_bytes);
        let prefix = key::PREFIX.as_bytes();
        let contains_key =
            |bytes: &[u8]| bytes.windows(prefix.len()).any(|window| window == prefix);
        if contains_key(target.as_bytes()) || values.into_iter().any(contains_key) {
            self.ledger.record_key();
        }
    }

    fn fails_fast(&self, fault: Fault) -> bool {
        match fault {
            Fault::Error { percent } => self.rng.borrow_mut().random_range(0..100) < percent,
            _ => false,
        }
    }

    fn work_time(&self, fault: Fault) -> Duration {
        let exponential = -self.rng.borrow_mut().random_range(f64::EPSILON..1.0).ln();
        let work = self.work.mul_f64(exponential.min(10.0));
        match fault {
            Fault::Slow { by_ms } => work + Duration::from_millis(by_ms),
            _ => work,
        }
    }
}

impl Handler for Upstream {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, FAULT_PATH) => self.set_fault(request).await,
            (&Method::GET, "/health") => http::json(200, &json!({ "healthy": true })),
            _ => self.serve(request).await,
        }
    }
}

fn micros(duration: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

fn request_id(request: &Request<Incoming>) -> String {
    let value = request.headers().get(REQUEST_ID_HEADER);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn shed() -> Response<Body> {
    let mut response = http::json(503, &json!({ "error": "shed" }));
    response
        .headers_mut()
        .insert("x-shed", HeaderValue::from_static("not-run"));
    response
}

fn truncated(text: &str) -> Response<Body> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let frames = [Ok(Frame::data(half)), Err(io::Error::other("cut short"))];
    let body: Body = Box::pin(StreamBody::new(stream::iter(frames)));
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(text.len()));
    response
}

/// A semaphore that wakes waiting requests in order of arrival.
#[derive(Debug)]
struct Semaphore {
    free: Cell<usize>,
    total: usize,
    waiting: RefCell<VecDeque<Rc<Event>>>,
}

impl Semaphore {
    const fn new(total: usize) -> Self {
        Self {
            free: Cell::new(total),
            total,
            waiting: RefCell::new(VecDeque::new()),
        }
    }

    const fn is_in_use(&self) -> bool {
        self.free.get() < self.total
    }

    async fn acquire(&self) -> Slot<'_> {
        while self.free.get() == 0 {
            let event = Rc::new(Event::new());
            let listener = event.listen();
            self.waiting.borrow_mut().push_back(event);
            listener.await;
        }
        self.free.set(self.free.get() - 1);
        Slot { semaphore: self }
    }
}

struct Slot<'a> {
    semaphore: &'a Semaphore,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.semaphore.free.set(self.semaphore.free.get() + 1);
        if let Some(event) = self.semaphore.waiting.borrow_mut().pop_front() {
            event.notify(1);
        }
    }
}
