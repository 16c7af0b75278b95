//! Calls to control and to the proxies on behalf of an operator.

mod progress;
mod proxies;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use anyhow::anyhow;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
use persimmonbend_core::dispatch::explain::Question;
use persimmonbend_core::explain::Query;
use persimmonbend_core::id::ChangeId;
use persimmonbend_core::id::Revision;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;
use rand::RngExt;

use crate::exit::Unacknowledged;
use crate::settings::Settings;

pub use progress::Host;
pub use progress::Progress;
pub use progress::Status;

/// Time after which the search for a leader fails.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between two rounds over the control replicas in search of the leader.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the progress of a revision is read from control.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Times that a change is sent, when each answer is lost, before its outcome is unknown.
const MAX_SUBMISSIONS: usize = 2;

/// A client of a fleet's control replicas and proxies, with an operator's settings.
#[derive(Debug, Clone)]
pub struct Fleet {
    settings: Settings,
    leader_timeout: Duration,
}

impl Fleet {
    /// Creates a client from an operator's settings; no connection is opened.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            leader_timeout: LEADER_TIMEOUT,
        }
    }

    /// Sets the time after which the search for a leader fails.
    #[must_use]
    pub const fn leader_timeout(mut self, timeout: Duration) -> Self {
        self.leader_timeout = timeout;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Connects to the control replica that leads.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader is found within the leader timeout.
    pub async fn leader(&self) -> anyhow::Result<(Link, Client)> {
        let search = async {
            loop {
                for address in &self.settings.control {
                    if let Ok(found) = self.connect_leader(*address).await {
                        return found;
                    }
                }
                compio::time::sleep(LEADER_RETRY_INTERVAL).await;
            }
        };
        let found = compio::time::timeout(self.leader_timeout, search).await;
        found.map_err(|_| {
            anyhow!(
                "no control replica leads; none of the {} in the settings answers as leader",
                self.settings.control.len()
            )
        })
    }

    /// Returns the configuration of control.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn config(&self) -> anyhow::Result<State> {
        let (_link, control) = self.leader().await?;
        Ok(control.snapshot().await?)
    }

    /// Returns the configuration of control, or that of a proxy when no leader answers.
    ///
    /// The flag is true if the configuration comes from control.
    ///
    /// # Errors
    ///
    /// Returns an error when neither a leader nor a proxy answers.
    pub async fn config_with_fallback(&self) -> anyhow::Result<(State, bool)> {
        match self.config().await {
            Ok(state) => Ok((state, true)),
            Err(error) => match self.config_from_proxy().await {
                Ok(state) => Ok((state, false)),
                Err(other) => Err(error.context(other)),
            },
        }
    }

    /// Submits a change under a new ID.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers, and [`Unacknowledged`] when the answer is lost.
    pub async fn submit(&self, change: Change, base: Option<Revision>) -> anyhow::Result<Outcome> {
        self.submit_as(change_id(), change, base).await
    }

    /// Submits a change under a given ID.
    ///
    /// Control applies an ID once, so that a change can be sent again. A change whose answer is
    /// lost is sent a second time before [`Unacknowledged`] is returned.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Fleet::submit`] does.
    pub async fn submit_as(
        &self,
        id: ChangeId,
        change: Change,
        base: Option<Revision>,
    ) -> anyhow::Result<Outcome> {
        let submission = Submission {
            id,
            base,
            operator: self.settings.operator.clone(),
            change,
        };
        let mut lost_reason = None;
        for _ in 0..MAX_SUBMISSIONS {
            match self.try_submit(&submission).await {
                Ok(outcome) => return Ok(outcome),
                Err(Failure::Unsent(reason)) if lost_reason.is_none() => return Err(reason),
                Err(Failure::Unsent(_)) => {}
                Err(Failure::Lost(reason)) => lost_reason = Some(reason),
            }
        }
        Err(anyhow::Error::new(Unacknowledged {
            change: submission.id,
            reason: lost_reason.unwrap_or_default(),
        }))
    }

    /// Returns the progress of a revision.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn progress(&self, revision: Revision) -> anyhow::Result<Progress> {
        Ok(Progress::new(revision, &self.status().await?))
    }

    /// Returns the revision in force at control and the last report of each host to control.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn status(&self) -> anyhow::Result<Status> {
        let (_link, control) = self.leader().await?;
        Ok(serde_json::from_value(control.status().await?)?)
    }

    /// Returns the leader's explanation of a placement, or an `error` that names what is not known.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers, or the leader is of an earlier build.
    pub async fn placement(&self, question: &Question) -> anyhow::Result<serde_json::Value> {
        let (link, _control) = self.leader().await?;
        let peer = link.peer();
        let peer = peer.context("the leader is of an earlier build and explains no placements")?;
        let query = Query::Placement(question.clone());
        Ok(peer.ask(&query).await?)
    }

    /// Waits until a revision is in force on every host, for at most `limit`.
    ///
    /// Calls `on_progress` with the first progress, and each time that the number of hosts that
    /// have the revision in force changes.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers after `limit`.
    pub async fn wait_in_force<S>(
        &self,
        revision: Revision,
        limit: Duration,
        mut on_progress: S,
    ) -> anyhow::Result<Progress>
    where
        S: FnMut(&Progress),
    {
        let waiting = async {
            let mut last = None;
            loop {
                if let Ok(progress) = self.progress(revision).await {
                    if progress.is_complete() {
                        return progress;
                    }
                    if last.replace(progress.in_force) != Some(progress.in_force) {
                        on_progress(&progress);
                    }
                }
                compio::time::sleep(PROGRESS_POLL_INTERVAL).await;
            }
        };
        match compio::time::timeout(limit, waiting).await {
            Ok(progress) => Ok(progress),
            Err(_) => self.progress(revision).await,
        }
    }

    async fn try_submit(&self, submission: &Submission) -> Result<Outcome, Failure> {
        let (_link, control) = self.leader().await.map_err(Failure::Unsent)?;
        match control.submit(submission).await {
            Ok(outcome) => Ok(outcome),
            Err(Error::NotLeader(hint)) => Err(Failure::Unsent(Error::NotLeader(hint).into())),
            Err(error) => Err(Failure::Lost(error.to_string())),
        }
    }

    async fn connect_leader(&self, address: SocketAddr) -> Result<(Link, Client), Error> {
        let link = Link::connect(address, &self.settings.operator, &self.settings.secret).await?;
        let control = link.control()?;
        if control.ping().await? {
            return Ok((link, control));
        }
        Err(Error::NotLeader(String::new()))
    }
}

/// Returns a new random ID for a change.
#[must_use]
pub fn change_id() -> ChangeId {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// The reason why one attempt to submit a change returned no outcome.
enum Failure {
    /// The change was not sent, or the replica does not lead: it is not in the log.
    Unsent(anyhow::Error),
    /// The answer was lost: the change may be in the log.
    Lost(String),
}
