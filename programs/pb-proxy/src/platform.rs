//! The HTTP endpoint for the platform: announcements of upstreams, readiness and health checks.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use log::info;
use log::warn;
use persimmonbend_app::http;
use persimmonbend_app::http::Body;
use persimmonbend_app::http::Handler;
use persimmonbend_core::membership::Outcome;
use persimmonbend_core::throttle::Throttle;
use persimmonbend_core::upstream::Announcement;
use serde_json::json;

use crate::node::Node;

/// Largest announcement body that is accepted.
const MAX_ANNOUNCEMENT_BYTES: usize = 4 * 1024;

/// Time within which an announcement must arrive.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles the requests of the platform and the announcements of upstreams.
#[derive(Debug)]
pub struct Endpoint {
    node: Rc<Node>,
    throttle: RefCell<Throttle>,
}

impl Endpoint {
    /// Creates the endpoint of a proxy.
    #[must_use]
    pub const fn new(node: Rc<Node>) -> Self {
        let throttle = RefCell::new(Throttle::new());
        Self { node, throttle }
    }

    fn ready(&self) -> Response<Body> {
        let status = if self.node.is_ready() { 200 } else { 503 };
        http::json(status, &self.node.status())
    }

    fn warn_of_dropped(&self, reason: &str) {
        if let Some(suppressed) = self.throttle.borrow_mut().admit(self.node.now()) {
            warn!("members: dropped an announcement: {reason}; {suppressed} more suppressed");
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Body> {
        let reading = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES).collect();
        let Ok(Ok(body)) = compio::time::timeout(ANNOUNCEMENT_TIMEOUT, reading).await else {
            return http::json(
                400,
                &json!({ "error": "the announcement is incomplete or too large" }),
            );
        };
        match parse(&body.to_bytes()) {
            Ok(announcement) => {
                let is_new = self.apply(announcement);
                http::json(200, &json!({ "news": is_new }))
            }
            Err(reason) => {
                self.warn_of_dropped(&reason);
                http::json(400, &json!({ "error": reason }))
            }
        }
    }

    /// Applies an announcement and returns whether it says something new.
    fn apply(&self, announcement: Announcement) -> bool {
        let id = announcement.id.clone();
        let stage = announcement.stage;
        let mut board = self.node.board_mut();
        let outcome = self.node.membership().announce(&mut board, announcement);
        let is_new = outcome == Outcome::New;
        if is_new {
            info!("members: upstream {id} is {stage:?}");
            let text = format!("The upstream says that it is {stage:?}.");
            board.record("members", &id, text);
        }
        drop(board);
        self.node.wake_gossip();
        is_new
    }
}

impl Handler for Endpoint {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/live") => http::json(200, &json!({ "live": true })),
            (&Method::GET, "/ready") => self.ready(),
            (&Method::POST, "/announce") => self.announce(request).await,
            _ => http::json(404, &json!({ "error": "there is no such page" })),
        }
    }
}

fn parse(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    announcement.check()?;
    Ok(announcement)
}
