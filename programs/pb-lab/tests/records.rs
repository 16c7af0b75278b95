//! Records of at-most-once requests at three control replicas on loopback.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use pb_lab::fleet;
use pb_lab::fleet::Files;
use persimmonbend_core::key::Digest;
use persimmonbend_core::record::Answer;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::Name;
use persimmonbend_core::record::Outcome;
use persimmonbend_core::record::Owner;
use persimmonbend_core::record::Verdict;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;

/// Time between two rounds of claims over the replicas.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of rounds after which a claim without a verdict fails the test.
const MAX_POLLS: usize = 300;

/// Returns the claim of one attempt; all attempts are for the same request.
fn claim(attempt: u64) -> Claim {
    Claim {
        name: Name {
            tenant: "farm".to_owned(),
            route: "herd/lodge".to_owned(),
            key: "key-1".to_owned(),
        },
        request: Digest::from([1; 32]),
        owner: Owner {
            host: format!("host-{attempt}"),
            attempt,
        },
        execution_timeout: Duration::from_secs(600),
    }
}

/// Submits a claim to the leader and returns the index of that replica with the verdict.
async fn claim_at_leader(
    replicas: &[SocketAddr],
    secret: &Secret,
    claim: &Claim,
) -> (usize, Verdict) {
    for _ in 0..MAX_POLLS {
        for (at, address) in replicas.iter().enumerate() {
            let Ok(link) = Link::connect(*address, "test", secret).await else {
                continue;
            };
            let control = link.control().unwrap();
            if let Ok(verdict) = control.claim(claim, Duration::ZERO).await {
                return (at, verdict);
            }
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("no replica decided the claim in time");
}

async fn complete(address: SocketAddr, secret: &Secret, claim: &Claim, outcome: &Outcome) {
    let link = Link::connect(address, "test", secret).await.unwrap();
    let control = link.control().unwrap();
    control.complete(claim, outcome).await.unwrap();
}

/// Guards against a new leader that forgets a claim and lets a second host run the request.
#[test]
fn a_claim_survives_the_loss_of_the_leader_that_decided_it() {
    let files = Files::create().unwrap();
    let names = ["control-0", "control-1", "control-2"];
    let started = fleet::controls(&files, &names).unwrap();
    let (parts, replicas): (Vec<_>, Vec<SocketAddr>) = started.into_iter().unzip();
    let mut parts: Vec<_> = parts.into_iter().map(Some).collect();
    let secret = std::fs::read_to_string(files.secret()).unwrap();
    let secret = Secret::from(secret.trim().to_owned());
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (first, verdict) = claim_at_leader(&replicas, &secret, &claim(1)).await;
        assert_eq!(verdict, Verdict::Fresh);
        parts[first].take().unwrap().end().unwrap();
        let (second, verdict) = claim_at_leader(&replicas, &secret, &claim(2)).await;
        assert_ne!(first, second);
        assert_eq!(verdict, Verdict::Running);
        let (_, verdict) = claim_at_leader(&replicas, &secret, &claim(1)).await;
        assert_eq!(verdict, Verdict::Fresh, "the owner may claim again");
        let answer = Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![0, 200, 255],
        };
        let outcome = Outcome::Answered {
            answer: answer.clone(),
        };
        complete(replicas[second], &secret, &claim(1), &outcome).await;
        let (_, verdict) = claim_at_leader(&replicas, &secret, &claim(2)).await;
        assert_eq!(verdict, Verdict::Done(answer));
    });
    for part in parts.into_iter().flatten() {
        part.end().unwrap();
    }
}
