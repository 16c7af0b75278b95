//! Typed calls to a proxy.

use std::time::Duration;

use persimmonbend_core::explain::Query;
use persimmonbend_core::id::Revision;
use persimmonbend_core::key::Digest;
use persimmonbend_core::quota::Account;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::fleet_capnp::peer;
use crate::link::CALL_TIMEOUT;
use crate::link::call;
use crate::update::Update;

/// A proxy on the other side of a link.
#[derive(Clone)]
pub struct Client {
    remote: peer::Client,
}

impl Client {
    /// Checks that the proxy answers.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn ping(&self) -> Result<(), Error> {
        call(CALL_TIMEOUT, self.remote.ping_request().send().promise).await?;
        Ok(())
    }

    /// Sends a gossip message and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn gossip(&self, message: &[u8]) -> Result<Vec<u8>, Error> {
        let mut request = self.remote.gossip_request();
        request.get().set_message(message);
        let response = call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_reply()?.to_vec())
    }

    /// Returns configuration newer than revision `since`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn update(&self, since: Revision) -> Result<Update, Error> {
        let mut request = self.remote.update_request();
        request.get().set_since(since);
        let response = call(CALL_TIMEOUT, request.send().promise).await?;
        Update::try_from(response.get()?.get_update()?)
    }

    /// Sends the withdrawal of a key to the proxy, which spreads it by gossip.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn withdraw(&self, digest: Digest, operator: &str) -> Result<(), Error> {
        let mut request = self.remote.withdraw_request();
        request.get().set_digest(digest.as_bytes());
        request.get().set_operator(operator);
        call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(())
    }

    /// Borrows a token: the proxy spends one of its own for a request of this host.
    ///
    /// Returns, within `limit`, whether the proxy spent a token.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call; the proxy may have spent a token nevertheless.
    pub async fn lend(&self, account: &Account, limit: Duration) -> Result<bool, Error> {
        let mut request = self.remote.lend_request();
        request.get().set_tenant(&account.tenant);
        let service = account.service.as_deref().unwrap_or_default();
        request.get().set_service(service);
        let response = call(limit, request.send().promise).await?;
        Ok(response.get()?.get_lent())
    }

    /// Returns the report of the proxy as JSON.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn status(&self) -> Result<serde_json::Value, Error> {
        let response = call(CALL_TIMEOUT, self.remote.status_request().send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_report()?)?)
    }

    /// Sends an encoded [`Query`] to the proxy and returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn explain(&self, query: &[u8]) -> Result<serde_json::Value, Error> {
        let mut request = self.remote.explain_request();
        request.get().set_query(query);
        let response = call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_report()?)?)
    }

    /// Sends a query to the proxy and returns the answer as `T`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call, or [`Error::Malformed`] if the answer is not a `T`.
    pub async fn ask<T: DeserializeOwned>(&self, query: &Query) -> Result<T, Error> {
        let answer = self.explain(&serde_json::to_vec(query)?).await?;
        Ok(serde_json::from_value(answer)?)
    }

    /// Returns the state of the proxy as JSON.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn dump(&self) -> Result<serde_json::Value, Error> {
        let response = call(CALL_TIMEOUT, self.remote.dump_request().send().promise).await?;
        Ok(serde_json::from_slice(response.get()?.get_state()?)?)
    }
}

impl From<peer::Client> for Client {
    fn from(remote: peer::Client) -> Self {
        Self { remote }
    }
}
