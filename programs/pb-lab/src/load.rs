//! An open-loop load generator.

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
use crate::report::Tally;

/// Time after which a client gives up waiting for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// One stream of requests.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the stream, the prefix of the ID of each request.
    pub name: String,
    /// Key that the requests carry.
    pub key: Option<Secret>,
    /// Path of the requests.
    pub path: String,
    /// Method of the requests.
    pub method: hyper::Method,
    /// Whether each request carries its own idempotency key.
    pub idempotency: bool,
    /// Mean of the requests per second.
    pub per_second: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Addresses of the proxies' client ports.
    pub proxies: Vec<SocketAddr>,
    /// Seed of the random times between requests and of the choice of proxies.
    pub seed: u64,
}

/// Sends a stream and returns its tally once every request has ended.
///
/// # Errors
///
/// Returns an error when the HTTP client cannot be created.
pub async fn run(stream: Stream) -> anyhow::Result<Tally> {
    let client = Client::new()?;
    let tally = Rc::new(RefCell::new(Tally::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(stream.seed);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = Vec::new();
    let stream = Rc::new(stream);
    for number in 0_u64.. {
        due +=
            Duration::from_secs_f64(-rng.random_range(f64::EPSILON..1.0).ln() / stream.per_second);
        if due >= stream.duration {
            break;
        }
        compio::time::sleep_until(started + due).await;
        let proxy = stream.proxies[rng.random_range(0..stream.proxies.len())];
        let request = send(
            client.clone(),
            Rc::clone(&stream),
            proxy,
            number,
            Rc::clone(&tally),
        );
        running.push(spawn(request));
    }
    for task in running {
        let _ = task.await;
    }
    Ok(tally.take())
}

async fn send(
    client: Client,
    stream: Rc<Stream>,
    proxy: SocketAddr,
    number: u64,
    tally: Rc<RefCell<Tally>>,
) {
    let request_id = format!("{}-{number}", stream.name);
    let started = Instant::now();
    let sending = send_once(&client, &stream, proxy, &request_id);
    let answer = compio::time::timeout(ANSWER_TIMEOUT, sending).await;
    let (ending, upstream) = match answer {
        Ok(Ok(reading)) => (reading.ending, reading.upstream),
        Ok(Err(_)) | Err(_) => (Ending::Unknown, None),
    };
    tally
        .borrow_mut()
        .count(ending, started.elapsed(), upstream);
}

async fn send_once(
    client: &Client,
    stream: &Stream,
    proxy: SocketAddr,
    request_id: &str,
) -> Result<Answer, cyper::Error> {
    let url = format!("http://{proxy}{}", stream.path);
    let mut request = client.request(stream.method.clone(), url)?;
    request = request.header("x-lab-request", request_id)?;
    if let Some(key) = &stream.key {
        request = request.header("authorization", format!("Bearer {}", key.reveal()))?;
    }
    if stream.idempotency {
        request = request.header("idempotency-key", request_id)?;
    }
    Answer::read(request_id, request.send().await?).await
}
