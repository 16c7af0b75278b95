//! Clients behind a load balancer that sends requests to ready hosts only.

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

/// Time after which a client gives up waiting for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two health checks of a host by the load balancer.
const READY_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts of a client at a non-idempotent request, the first one included.
const MAX_ATTEMPTS: usize = 5;

/// Time between a failed attempt and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A host as the load balancer sees it.
#[derive(Debug, Clone)]
pub struct Host {
    /// Address of its client port.
    pub callers: SocketAddr,
    /// Address of its platform port.
    pub platform: SocketAddr,
    /// Whether its last health check succeeded.
    pub ready: bool,
}

/// The hosts behind the load balancer.
pub type Hosts = Rc<RefCell<Vec<Host>>>;

/// The load of one tenant.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Tenant that sends the requests.
    pub tenant: String,
    /// Key that the requests carry.
    pub key: Secret,
    /// Path of the requests.
    pub path: String,
    /// Whether the requests go to a non-idempotent route.
    pub non_idempotent: bool,
    /// Mean of the requests per second.
    pub per_second: f64,
    /// Time for which requests are sent.
    pub length: Duration,
    /// Hosts that the requests are sent to.
    pub hosts: Hosts,
    /// Seed of the random times between requests and of the choice of hosts.
    pub seed: u64,
}

/// The result of one request as its client saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Tenant that sent the request.
    pub tenant: String,
    /// ID of the request.
    pub request_id: String,
    /// Whether the request went to a non-idempotent route.
    pub non_idempotent: bool,
    /// When the first attempt was sent.
    pub at: Instant,
    /// How the first attempt ended.
    pub first_ending: Ending,
    /// How the last attempt ended.
    pub ending: Ending,
    /// Error code of the answer to the first attempt, if that was a refusal.
    pub refusal: Option<String>,
    /// Time that the upstream took for the last attempt, by its own account.
    pub upstream: Option<Duration>,
    /// Latency of the last attempt.
    pub latency: Duration,
}

/// Sends the requests of a stream and returns their results once all have ended.
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
        let request = send_request(client.clone(), Rc::clone(&stream), number, rng.random());
        running.push(spawn(request));
    }
    let mut samples = Vec::new();
    for task in running {
        samples.extend(task.await);
    }
    samples
}

/// Polls the readiness of the hosts until `end`.
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

/// Sends a request to a ready host.
///
/// Like a load balancer, it tries another host when one refuses the connection.
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
