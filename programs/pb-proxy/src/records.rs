//! Non-idempotent requests: each runs at most once, behind a record that control keeps.

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

/// Time beyond the deadline of a request in which its owner must tell the outcome.
const EXECUTION_MARGIN: Duration = Duration::from_secs(10);

/// Time for which a claim without an answer is made again.
const CLAIM_RETRY_TIME: Duration = Duration::from_millis(1_500);

/// Time that one call waits for another owner.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(400);

/// Time for which an outcome is told again until control takes it in.
const REPORT_RETRY_TIME: Duration = Duration::from_secs(30);

/// Pause before a call that failed is made again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts the executions under way, so that a stop waits for them.
#[derive(Debug, Default)]
pub struct Records {
    running: Cell<usize>,
    ended: Event,
}

impl Records {
    /// Creates a count of none.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            running: Cell::new(0),
            ended: Event::new(),
        }
    }

    /// Waits until every execution has ended and its outcome was told.
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
/// Returns [`Kind::IdempotencyKeyMissing`] when the route needs one, and [`Kind::Malformed`] when
/// it is too long, not text, or comes twice.
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

/// Runs a request at most once, or returns the answer of its one execution.
///
/// The work goes on when the caller hangs up.
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

type AnswerSender = oneshot::Sender<Result<Response<Body>, Kind>>;

/// One claim and what follows from it.
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

    /// Returns the time until which a claim without an answer is made again.
    fn retry_until(&self) -> Instant {
        let now = self.node.now();
        let left = self.plan.deadline.saturating_duration_since(now);
        now + (left / 2).min(CLAIM_RETRY_TIME)
    }

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

    /// Tells control what became of the execution until it takes it in.
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
        warn!("records: control did not hear the outcome of {key}");
    }
}

/// Control gave no verdict on a claim.
struct Failure {
    /// Whether the claim may have been made all the same.
    may_be_claimed: bool,
}

/// Counts an execution until it is dropped.
struct Guard {
    node: Rc<Node>,
}

impl Guard {
    fn new(node: &Rc<Node>) -> Self {
        let running = &node.records().running;
        running.set(running.get() + 1);
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let records = self.node.records();
        records.running.set(records.running.get() - 1);
        records.ended.notify(usize::MAX);
    }
}

/// Returns what a request gets that does not run because of an earlier one.
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

fn digest(plan: &Plan) -> Digest {
    let mut hash = Sha256::new();
    hash.update(plan.head.method.as_str());
    hash.update(b" ");
    hash.update(plan.head.uri.to_string());
    hash.update(b"\n");
    hash.update(&plan.body);
    Digest::from(<[u8; 32]>::from(hash.finalize()))
}
