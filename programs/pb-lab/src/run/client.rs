//! Callers behind a balancer that sends to hosts which say that they are ready.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::spawn;
use cyper::Client;
use persimmonbend_core::key::Secret;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::answer::Answer;
use crate::report::Ending;

/// Longest wait of a caller for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two checks of a host's readiness.
const READY_INTERVAL: Duration = Duration::from_millis(250);

/// Times that a caller presses again when it got no whole answer.
const MAX_ATTEMPTS: usize = 5;

/// Pause before a caller presses again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A host as the balancer sees it.
#[derive(Debug, Clone)]
pub struct Host {
    /// Address of callers.
    pub callers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Whether the host said that it is ready.
    pub ready: bool,
}

/// Hosts as the balancer sees them.
pub type Hosts = Rc<RefCell<Vec<Host>>>;

/// One stream of requests.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Tenant that sends.
    pub tenant: String,
    /// Key that the requests carry.
    pub key: Secret,
    /// Path that is sending for.
    pub path: String,
    /// Whether the requests must not run twice.
    pub non_idempotent: bool,
    /// Requests per second.
    pub per_second: f64,
    /// How long to send.
    pub length: Duration,
    /// Hosts.
    pub hosts: Hosts,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Tenant that sent it.
    pub tenant: String,
    /// Name of the request.
    pub request_id: String,
    /// Whether it must not run twice.
    pub non_idempotent: bool,
    /// When it was sent first.
    pub at: Instant,
    /// How its first attempt ended.
    pub first_ending: Ending,
    /// How it ended.
    pub ending: Ending,
    /// Error code of the first refusal, if there was one.
    pub refusal: Option<String>,
    /// Time that the upstream had it.
    pub upstream: Option<Duration>,
    /// Latency of the last attempt.
    pub latency: Duration,
}

/// Sends a stream and returns what its callers saw once every request has ended.
pub async fn run(stream: Stream) -> Vec<Sample> {
    let Ok(client) = Client::new() else {
        return Vec::new();
    };
    let mut rng = ChaCha8Rng::seed_from_u64(stream.seed);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = Vec::new();
    let stream = Rc::new(stream);
    for number in 0_u64.. {
        let gap = -rng.random_range(f64::EPSILON..1.0).ln() / stream.per_second;
        due += Duration::from_secs_f64(gap);
        if due >= stream.length {
            break;
        }
        compio::time::sleep_until(started + due).await;
        let one = send_request(client.clone(), Rc::clone(&stream), number, rng.random());
        running.push(spawn(one));
    }
    let mut samples = Vec::new();
    for one in running {
        samples.extend(one.await);
    }
    samples
}

/// Keeps the readiness of the hosts current until `end`.
pub async fn poll_readiness(hosts: Hosts, end: Instant) {
    let Ok(client) = Client::new() else {
        return;
    };
    while Instant::now() < end {
        let count = hosts.borrow().len();
        for index in 0..count {
            let platform = hosts.borrow()[index].platform;
            let client = client.clone();
            let hosts = Rc::clone(&hosts);
            spawn(async move {
                let ready = compio::time::timeout(READY_INTERVAL, is_ready(&client, platform));
                hosts.borrow_mut()[index].ready = ready.await.unwrap_or(false);
            })
            .detach();
        }
        compio::time::sleep(READY_INTERVAL).await;
    }
}

async fn is_ready(client: &Client, platform: SocketAddr) -> bool {
    let Ok(request) = client.get(format!("http://{platform}/ready")) else {
        return false;
    };
    request
        .send()
        .await
        .is_ok_and(|answer| answer.status().is_success())
}

async fn send_request(client: Client, stream: Rc<Stream>, number: u64, seed: u64) -> Sample {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let request_id = format!("{}/{number}", stream.tenant);
    let at = Instant::now();
    let mut sent = at;
    let mut answer = attempt(&client, &stream, &request_id, &mut rng).await;
    let first_ending = answer.ending;
    let refusal = answer.refusal.clone();
    for _ in 1..MAX_ATTEMPTS {
        if !stream.non_idempotent || answer.ending == Ending::Complete {
            break;
        }
        compio::time::sleep(RETRY_DELAY).await;
        sent = Instant::now();
        answer = attempt(&client, &stream, &request_id, &mut rng).await;
    }
    Sample {
        tenant: stream.tenant.clone(),
        request_id,
        non_idempotent: stream.non_idempotent,
        at,
        first_ending,
        ending: answer.ending,
        refusal,
        upstream: answer.upstream,
        latency: sent.elapsed(),
    }
}

/// Sends to a ready host; one that cannot be connected to is passed over, as a balancer does.
async fn attempt(
    client: &Client,
    stream: &Stream,
    request_id: &str,
    rng: &mut ChaCha8Rng,
) -> Answer {
    let mut ready: Vec<SocketAddr> = Vec::new();
    ready.extend(
        stream
            .hosts
            .borrow()
            .iter()
            .filter(|host| host.ready)
            .map(|host| host.callers),
    );
    while !ready.is_empty() {
        let host = ready.swap_remove(rng.random_range(0..ready.len()));
        let sending = send_once(client, stream, host, request_id);
        match compio::time::timeout(ANSWER_TIMEOUT, sending).await {
            Ok(Ok(answer)) => return answer,
            Ok(Err(error)) if is_connection_refused(&error) => {}
            _ => break,
        }
    }
    Answer {
        ending: if ready.is_empty() {
            Ending::NotRun
        } else {
            Ending::Unknown
        },
        refusal: None,
        upstream: None,
    }
}

fn is_connection_refused(error: &cyper::Error) -> bool {
    format!("{error:?}").contains("ConnectionRefused")
}

async fn send_once(
    client: &Client,
    stream: &Stream,
    host: SocketAddr,
    request_id: &str,
) -> Result<Answer, cyper::Error> {
    let url = format!("http://{host}{}", stream.path);
    let request = if stream.non_idempotent {
        client.post(url)?
    } else {
        client.get(url)?
    };
    let mut request = request
        .header("x-lab-request", request_id)?
        .header("authorization", format!("Bearer {}", stream.key.reveal()))?;
    if stream.non_idempotent {
        request = request
            .header("idempotency-key", request_id)?
            .body(request_id.to_owned());
    }
    Answer::read(request_id, request.send().await?).await
}
