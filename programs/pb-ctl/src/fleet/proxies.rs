//! Calls to one proxy, to the first that answers, or to all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use anyhow::Context;
use anyhow::bail;
use futures_util::StreamExt;
use futures_util::stream;
use persimmonbend_core::config::State;
use persimmonbend_core::explain::Overview;
use persimmonbend_core::explain::Query;
use persimmonbend_core::explain::Report;
use persimmonbend_core::key::Digest;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;
use persimmonbend_wire::peer::Client;
use persimmonbend_wire::update::Update;
use serde::de::DeserializeOwned;

use crate::fleet::Fleet;

/// Proxies that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

impl Fleet {
    /// Connects to the proxy at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the link.
    pub async fn proxy(&self, address: SocketAddr) -> Result<(Link, Client), Error> {
        let settings = self.settings();
        let link = Link::connect(address, &settings.operator, &settings.secret).await?;
        let peer = link.peer()?;
        Ok((link, peer))
    }

    /// Queries the proxy at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the link or of the call.
    pub async fn query<T>(&self, address: SocketAddr, query: &Query) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let (_link, peer) = self.proxy(address).await?;
        peer.ask(query).await
    }

    /// Queries the proxies in the settings, in order, until one answers.
    ///
    /// # Errors
    ///
    /// Returns an error when none answers.
    pub async fn query_any<T: DeserializeOwned>(&self, query: &Query) -> anyhow::Result<T> {
        for address in &self.settings().proxies {
            if let Ok(answer) = self.query(*address, query).await {
                return Ok(answer);
            }
        }
        bail!(
            "none of the {} proxies in the settings answers",
            self.settings().proxies.len()
        )
    }

    /// Returns the overview of the first proxy in the settings that answers.
    ///
    /// # Errors
    ///
    /// Returns an error when none answers.
    pub async fn overview(&self) -> anyhow::Result<Overview> {
        self.query_any(&Query::Overview).await
    }

    /// Returns the peer addresses of all proxies: those in the settings, and those that the first
    /// proxy that answers knows.
    pub async fn proxy_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses: BTreeSet<SocketAddr> = self.settings().proxies.iter().copied().collect();
        if let Ok(overview) = self.overview().await {
            addresses.extend(overview.hosts.iter().map(|host| host.peers));
        }
        addresses
    }

    /// Queries every proxy and returns the answers by address; proxies that fail are left out.
    pub async fn query_all<T: DeserializeOwned>(&self, query: &Query) -> BTreeMap<SocketAddr, T> {
        let addresses = self.proxy_addresses().await;
        let queries = stream::iter(addresses).map(|address| async move {
            let answer: Result<T, Error> = self.query(address, query).await;
            answer.ok().map(|answer| (address, answer))
        });
        let answers = queries.buffer_unordered(MAX_CONCURRENT_QUERIES);
        answers.filter_map(std::future::ready).collect().await
    }

    /// Returns the reports of all proxies that know the subject, or, when none knows it, the report of
    /// one proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when no proxy answers.
    pub async fn reports(&self, query: &Query) -> anyhow::Result<Vec<Report>> {
        let answers = self.query_all::<Report>(query).await;
        let (mut reports, unknown): (Vec<Report>, Vec<Report>) =
            answers.into_values().partition(|report| report.known);
        if reports.is_empty() {
            let first = unknown.into_iter().next();
            reports.push(first.context("no proxy answers")?);
        }
        Ok(reports)
    }

    /// Returns the configuration in force at the first proxy in the settings that answers.
    ///
    /// # Errors
    ///
    /// Returns an error when no proxy answers.
    pub async fn config_from_proxy(&self) -> anyhow::Result<State> {
        for address in &self.settings().proxies {
            if let Ok(state) = self.config_at(*address).await {
                return Ok(state);
            }
        }
        bail!("no proxy in the settings gives its configuration")
    }

    /// Sends the withdrawal of a key to the proxies in turn until one accepts it, and returns that
    /// proxy's address.
    ///
    /// # Errors
    ///
    /// Returns an error when no proxy accepts the withdrawal.
    pub async fn withdraw_by_proxy(&self, digest: Digest) -> anyhow::Result<SocketAddr> {
        let mut reasons = Vec::new();
        for address in self.proxy_addresses().await {
            match self.withdraw_at(address, digest).await {
                Ok(()) => return Ok(address),
                Err(error) => reasons.push(format!("{address}: {error}")),
            }
        }
        bail!("no proxy accepted the withdrawal: {}", reasons.join("; "))
    }

    /// Returns the peer address of the proxy on a host.
    ///
    /// # Errors
    ///
    /// Returns an error when no proxy that answers runs on that host or knows it.
    pub async fn proxy_address(&self, host: &str) -> anyhow::Result<SocketAddr> {
        let overviews = self.query_all::<Overview>(&Query::Overview).await;
        let named = overviews.iter().find(|(_, overview)| overview.host == host);
        if let Some((address, _)) = named {
            return Ok(*address);
        }
        let mut hosts = overviews.values().flat_map(|overview| &overview.hosts);
        let found = hosts.find(|peer| peer.host == host).map(|peer| peer.peers);
        found.with_context(|| format!("none of the proxies that answer knows a host {host}"))
    }

    async fn withdraw_at(&self, address: SocketAddr, digest: Digest) -> Result<(), Error> {
        let (_link, peer) = self.proxy(address).await?;
        peer.withdraw(digest, &self.settings().operator).await
    }

    async fn config_at(&self, address: SocketAddr) -> Result<State, Error> {
        let (_link, peer) = self.proxy(address).await?;
        match peer.update(0).await? {
            Update::Snapshot(state) => Ok(*state),
            Update::Changes(entries) => {
                let mut state = State::default();
                for entry in &entries {
                    state.apply(entry);
                }
                Ok(state)
            }
        }
    }
}
