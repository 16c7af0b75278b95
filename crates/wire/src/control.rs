//! Typed calls to a control replica.

use std::net::SocketAddr;
use std::time::Duration;

use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::host;
use persimmonbend_core::id::Revision;

use crate::error::Error;
use crate::fleet_capnp::control;
use crate::link::CALL_TIMEOUT;
use crate::link::call;
use crate::members;
use crate::update::Update;

/// Time beyond its wait that a watch may take.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Time that a submission may take until it is synced on a quorum.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// A control replica on the other side of a link.
#[derive(Clone)]
pub struct Client {
    remote: control::Client,
}

impl Client {
    /// Asks whether the replica is there and whether it leads.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn ping(&self) -> Result<bool, Error> {
        let response = call(CALL_TIMEOUT, self.remote.ping_request().send().promise).await?;
        Ok(response.get()?.get_leader())
    }

    /// Waits at most `wait` for configuration newer than `since`, which `host` has in force.
    ///
    /// Returns it with the addresses of some other hosts.
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
        let mut book = Vec::new();
        for address in results.get_book()? {
            book.extend(address?.to_str()?.parse::<SocketAddr>());
        }
        Ok((Update::try_from(results.get_update()?)?, book))
    }

    /// Submits a change and waits until it is synced on a quorum.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower. After [`Error::Timeout`] or [`Error::Io`] the
    /// outcome is unknown; a resend with the same change id finds it out.
    pub async fn submit(&self, submission: &Submission) -> Result<Outcome, Error> {
        let mut request = self.remote.submit_request();
        request
            .get()
            .set_submission(&serde_json::to_vec(submission)?);
        let response = call(SUBMIT_TIMEOUT, request.send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_outcome()?)?)
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

    /// Changes one replica of the log and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] from a follower and [`Error::Remote`] with the reason of a
    /// refusal. After [`Error::Timeout`] the outcome is unknown; the status tells it.
    pub async fn members(&self, order: &members::Order) -> Result<(), Error> {
        let mut request = self.remote.members_request();
        request.get().set_order(&serde_json::to_vec(order)?);
        call(SUBMIT_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Hands messages of the replicated log to the replica and returns its reply.
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
