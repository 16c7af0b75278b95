//! Typed calls to a control replica.

use std::net::SocketAddr;
use std::time::Duration;

use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::host;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::id::Revision;
use persimmonbend_core::quota::Batch;
use persimmonbend_core::quota::Reply;
use persimmonbend_core::record::Claim;
use persimmonbend_core::record::Outcome as ExecutionOutcome;
use persimmonbend_core::record::Verdict;

use crate::error::Error;
use crate::fleet_capnp::control;
use crate::link::CALL_TIMEOUT;
use crate::link::call;
use crate::members;
use crate::quota;
use crate::record;
use crate::update::Update;

/// Time that a watch call may take beyond the wait that it requests.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Time that a call may take that waits for a commit or returns the whole state.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a claim call may take beyond the wait that it requests.
const CLAIM_MARGIN: Duration = Duration::from_millis(800);

/// A control replica on the other side of a link.
#[derive(Clone)]
pub struct Client {
    remote: control::Client,
}

impl Client {
    /// Checks that the replica answers, and returns whether it leads.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn ping(&self) -> Result<bool, Error> {
        let response = call(CALL_TIMEOUT, self.remote.ping_request().send().promise).await?;
        Ok(response.get()?.get_leader())
    }

    /// Waits at most `wait` for configuration newer than revision `since`.
    ///
    /// `since` is the revision in force on `host`. Returns the update and the peer addresses of
    /// some other hosts.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn watch(
        &self,
        host: &host::Announcement,
        since: Revision,
        wait: Duration,
    ) -> Result<(Update, Vec<SocketAddr>), Error> {
        let mut request = self.remote.watch_request();
        request.get().set_host(&host.id);
        request.get().set_zone(&host.zone);
        request.get().set_peers(host.peers.to_string());
        request.get().set_since(since);
        request
            .get()
            .set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
        let response = call(wait + WATCH_MARGIN, request.send().promise).await?;
        let results = response.get()?;
        let mut peers = Vec::new();
        for address in results.get_book()? {
            peers.extend(address?.to_str()?.parse::<SocketAddr>());
        }
        Ok((Update::try_from(results.get_update()?)?, peers))
    }

    /// Submits a change and waits until a quorum has synced the change to disk.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower. After [`Error::Timeout`] or [`Error::Io`] the
    /// outcome is unknown; submitting again with the same change id returns the outcome.
    pub async fn submit(&self, submission: &Submission) -> Result<Outcome, Error> {
        let mut request = self.remote.submit_request();
        request
            .get()
            .set_submission(&serde_json::to_vec(submission)?);
        let response = call(SUBMIT_TIMEOUT, request.send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_outcome()?)?)
    }

    /// Requests tokens and returns unspent ones, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower. After any error the caller has to send the
    /// same batch again.
    pub async fn grant(&self, batch: &Batch, limit: Duration) -> Result<Reply, Error> {
        let mut request = self.remote.grant_request();
        quota::write_batch(batch, request.get().init_batch());
        let response = call(limit, request.send().promise).await?;
        quota::read_reply(response.get()?.get_grants()?)
    }

    /// Claims a record; waits at most `wait` while another owner runs the request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower. After any other error the claim may have
    /// succeeded: the caller has to repeat it with the same attempt, or release it by
    /// [`Client::complete`] with [`ExecutionOutcome::NotRun`].
    pub async fn claim(&self, claim: &Claim, wait: Duration) -> Result<Verdict, Error> {
        let mut request = self.remote.claim_request();
        record::write_claim(claim, request.get().init_claim());
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        request.get().set_wait_ms(wait_ms);
        let response = call(wait + CLAIM_MARGIN, request.send().promise).await?;
        record::read_verdict(response.get()?.get_verdict()?)
    }

    /// Reports the outcome of a claimed execution.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower. After any error the caller has to report the
    /// outcome again.
    pub async fn complete(&self, claim: &Claim, outcome: &ExecutionOutcome) -> Result<(), Error> {
        let mut request = self.remote.complete_request();
        record::write_claim(claim, request.get().init_claim());
        request.get().set_outcome(&serde_json::to_vec(outcome)?);
        call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Frees the quota seat of a host that is stopping and has returned its tokens.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn vacate(&self, host: &str, incarnation: Incarnation) -> Result<(), Error> {
        let mut request = self.remote.vacate_request();
        request.get().set_host(host);
        request.get().set_incarnation(incarnation);
        call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Returns the whole configuration.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn snapshot(&self) -> Result<State, Error> {
        let response = call(
            SUBMIT_TIMEOUT,
            self.remote.snapshot_request().send().promise,
        )
        .await?;
        Ok(serde_json::from_slice(response.get()?.get_state()?)?)
    }

    /// Returns the report of the replica as JSON.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn status(&self) -> Result<serde_json::Value, Error> {
        let response = call(CALL_TIMEOUT, self.remote.status_request().send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_report()?)?)
    }

    /// Adds, promotes or removes a replica and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower and [`Error::Remote`] with the reason of a
    /// refusal. After [`Error::Timeout`] the outcome is unknown; [`Client::status`] shows it.
    pub async fn members(&self, order: &members::Order) -> Result<(), Error> {
        let mut request = self.remote.members_request();
        request.get().set_order(&serde_json::to_vec(order)?);
        call(SUBMIT_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Sends messages of the replication protocol to the replica and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn replicate(&self, batch: &[u8], limit: Duration) -> Result<Vec<u8>, Error> {
        let mut request = self.remote.replicate_request();
        request.get().set_message(batch);
        let response = call(limit, request.send().promise).await?;
        Ok(response.get()?.get_reply()?.to_vec())
    }

    /// Returns the state of the replica as JSON.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn dump(&self) -> Result<serde_json::Value, Error> {
        let response = call(SUBMIT_TIMEOUT, self.remote.dump_request().send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_state()?)?)
    }
}

impl From<control::Client> for Client {
    fn from(remote: control::Client) -> Self {
        Self { remote }
    }
}
