//! Execution of non-idempotent requests at most once.
//!
//! Control keeps a record for each idempotency key. A host claims the record before it runs the
//! request, and reports the outcome afterwards.

mod answer;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use compio::time::sleep;
use event_listener::Event;
use futures_channel::oneshot;
use hyper::HeaderMap;
use hyper::Response;
use hyper::header::HeaderName;
use log::warn;
use persimmonbend_app::http::Body;
use persimmonbend_core::config::Route;
use persimmonbend_core::error::Kind;
use persimmonbend_core::error::Ran;
use persimmonbend_core::key::Digest;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::MAX_KEY_BYTES;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Outcome;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Verdict;
use rand::RngExt;
use sha2::Digest as _;
use sha2::Sha256;

use crate::forward;
use crate::forward::Plan;
use crate::node::Node;

/// Header that carries the idempotency key.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Time after the deadline of a request within which its owner must report the outcome.
const EXECUTION_MARGIN: Duration = Duration::from_secs(10);

/// Longest time for which a claim without an answer is retried.
const CLAIM_RETRY_TIME: Duration = Duration::from_millis(1_500);

/// Longest time that one claim waits for another owner to finish.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(400);

/// Time for which the report of an outcome is retried until control acknowledges it.
const REPORT_RETRY_TIME: Duration = Duration::from_secs(30);

/// Time after a failed call until it is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Count of running executions; a stopping host waits until none is left.
#[derive(Debug, Default)]
pub struct Executions {
    running: Cell<usize>,
    ended: Event,
}

impl Executions {
    /// Creates a count of zero.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            running: Cell::new(0),
            ended: Event::new(),
        }
    }

    /// Waits until every execution has ended and the report of its outcome has ended.
    pub async fn wait_until_idle(&self) {
        while self.running.get() > 0 {
            let ended = self.ended.listen();
            if self.running.get() > 0 {
                ended.await;
            }
        }
    }
}

/// Returns the idempotency key of a request to a non-idempotent route.
///
/// # Errors
///
/// Returns [`Kind::IdempotencyKeyMissing`] when the route requires a key and there is none, and
/// [`Kind::Malformed`] when the key is empty, too long, not text, or given twice.
pub fn key(route: &Route, headers: &HeaderMap) -> Result<Option<String>, Kind> {
    if !route.non_idempotent {
        return Ok(None);
    }
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return if route.allow_unrecorded {
            Ok(None)
        } else {
            Err(Kind::IdempotencyKeyMissing)
        };
    };
    let text = value.to_str().map_err(|_| Kind::Malformed)?;
    if values.next().is_some() || text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Kind::Malformed);
    }
    Ok(Some(text.to_owned()))
}

/// Runs a request at most once, or returns the answer of its earlier execution.
///
/// The execution continues when the client disconnects.
///
/// # Errors
///
/// Returns the kind of the refusal or failure.
pub async fn run(node: &Rc<Node>, plan: Plan, key: String) -> Result<Response<Body>, Kind> {
    let (answer_sender, answer) = oneshot::channel();
    let execution = Execution::new(node, plan, key);
    spawn(async move { execution.run(answer_sender).await }).detach();
    answer.await.unwrap_or(Err(Kind::MayHaveRun))
}

/// Sends the answer to the client that waits for it.
type AnswerSender = oneshot::Sender<Result<Response<Body>, Kind>>;

/// A request with its claim, executed if control grants the claim.
struct Execution {
    node: Rc<Node>,
    plan: Plan,
    claim: Claim,
    _guard: Guard,
}

impl Execution {
    fn new(node: &Rc<Node>, plan: Plan, key: String) -> Self {
        let left = plan.deadline.saturating_duration_since(node.now());
        let target = &plan.target;
        let claim = Claim {
            name: Name {
                tenant: plan.tenant.clone().unwrap_or_default(),
                route: format!("{}/{}", target.service, target.route.id),
                key,
            },
            request: digest(&plan),
            owner: Owner {
                host: node.settings().host.clone(),
                attempt: node.rng().random(),
            },
            execution_timeout: left + EXECUTION_MARGIN,
        };
        Self {
            node: Rc::clone(node),
            plan,
            claim,
            _guard: Guard::new(node),
        }
    }

    async fn run(self, answer_sender: AnswerSender) {
        match self.claim().await {
            Ok(Verdict::Fresh) => self.execute(answer_sender).await,
            Ok(verdict) => {
                let _ = answer_sender.send(answer_duplicate(verdict));
            }
            Err(Failure { may_be_claimed }) => {
                let _ = answer_sender.send(Err(Kind::ClaimUnavailable));
                if may_be_claimed {
                    self.report_outcome(Outcome::NotRun).await;
                }
            }
        }
    }

    /// Claims the record and waits within the deadline while another owner runs the request.
    async fn claim(&self) -> Result<Verdict, Failure> {
        let mut until = self.retry_until();
        let mut may_be_claimed = false;
        loop {
            let now = self.node.now();
            let client = match self.node.control().client() {
                Some(client) => Some(client),
                None => self.node.control().wait_for_client(now).await,
            };
            let Some(client) = client else {
                return Err(Failure { may_be_claimed });
            };
            let left = self.plan.deadline.saturating_duration_since(now);
            may_be_claimed = true;
            match client.claim(&self.claim, left.min(MAX_OWNER_WAIT)).await {
                Ok(Verdict::Running) if self.node.now() + RETRY_DELAY < self.plan.deadline => {
                    until = self.retry_until();
                }
                Ok(verdict) => return Ok(verdict),
                Err(_) if self.node.now() >= until => return Err(Failure { may_be_claimed }),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Returns the time until which a claim without an answer is retried.
    fn retry_until(&self) -> Instant {
        let now = self.node.now();
        let left = self.plan.deadline.saturating_duration_since(now);
        now + (left / 2).min(CLAIM_RETRY_TIME)
    }

    /// Sends the request to an upstream, answers the client and reports the outcome.
    async fn execute(self, answer_sender: AnswerSender) {
        let outcome = match forward::send(&self.node, &self.plan).await {
            Ok(response) => {
                let (outcome, response) = answer::capture(response).await;
                let _ = answer_sender.send(Ok(response));
                outcome
            }
            Err(kind) => {
                let _ = answer_sender.send(Err(kind));
                match kind.answer().ran {
                    Ran::No => Outcome::NotRun,
                    Ran::Unknown => Outcome::Unknown,
                }
            }
        };
        self.report_outcome(outcome).await;
    }

    /// Reports the outcome to control, with retries until control acknowledges it or
    /// [`REPORT_RETRY_TIME`] is over.
    async fn report_outcome(&self, outcome: Outcome) {
        let until = self.node.now() + REPORT_RETRY_TIME;
        while self.node.now() < until {
            if let Some(client) = self.node.control().client()
                && client.complete(&self.claim, &outcome).await.is_ok()
            {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
        let key = &self.claim.name.key;
        warn!("records: control did not acknowledge the outcome of key {key}");
    }
}

/// A claim without a verdict of control.
struct Failure {
    /// Whether control may have recorded the claim nevertheless.
    may_be_claimed: bool,
}

/// Counts an execution as running until dropped.
struct Guard {
    node: Rc<Node>,
}

impl Guard {
    fn new(node: &Rc<Node>) -> Self {
        let running = &node.executions().running;
        running.set(running.get() + 1);
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let executions = self.node.executions();
        executions.running.set(executions.running.get() - 1);
        executions.ended.notify(usize::MAX);
    }
}

/// Returns the answer to a request that does not run because of the verdict on its claim.
fn answer_duplicate(verdict: Verdict) -> Result<Response<Body>, Kind> {
    match verdict {
        Verdict::Done(stored) => answer::replay(stored),
        Verdict::Running => Err(Kind::StillRunning),
        Verdict::AnswerGone => Err(Kind::AnswerGone),
        Verdict::Mismatch => Err(Kind::IdempotencyKeyReused),
        Verdict::Fresh | Verdict::Unknown => Err(Kind::MayHaveRun),
        Verdict::Full | Verdict::Released => Err(Kind::ClaimUnavailable),
    }
}

/// Returns the digest of method, target and body, which tells whether a key is reused for another
/// request.
fn digest(plan: &Plan) -> Digest {
    let mut hash = Sha256::new();
    hash.update(plan.head.method.as_str());
    hash.update(b" ");
    hash.update(plan.head.uri.to_string());
    hash.update(b"\n");
    hash.update(&plan.body);
    Digest::from(<[u8; 32]>::from(hash.finalize()))
}
