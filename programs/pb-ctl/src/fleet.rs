//! Calls to control and to proxies on behalf of an operator.

mod progress;
mod proxies;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::anyhow;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::State;
use persimmonbend_core::config::Submission;
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

/// Time to look for a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two rounds over the replicas.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between two looks at the progress of a revision.
const PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Times that a change is sent while its answers are lost.
const MAX_SUBMISSIONS: usize = 2;

/// A fleet as an operator reaches it.
#[derive(Debug, Clone)]
pub struct Fleet {
    settings: Settings,
    leader_timeout: Duration,
}

impl Fleet {
    /// Creates a fleet from an operator's settings.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            leader_timeout: LEADER_TIMEOUT,
        }
    }

    /// Sets the time to look for a leader.
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

    /// Returns a link to the leading control replica.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader is found in time.
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
                "no control replica leads; none of the {} answers as leader",
                self.settings.control.len()
            )
        })
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn config(&self) -> anyhow::Result<State> {
        let (_link, control) = self.leader().await?;
        Ok(control.snapshot().await?)
    }

    /// Returns the configuration of control, or that of a proxy when control is away, and whether
    /// control gave it.
    ///
    /// # Errors
    ///
    /// Returns an error when neither answers.
    pub async fn config_with_fallback(&self) -> anyhow::Result<(State, bool)> {
        match self.config().await {
            Ok(state) => Ok((state, true)),
            Err(error) => match self.config_from_proxy().await {
                Ok(state) => Ok((state, false)),
                Err(other) => Err(error.context(other)),
            },
        }
    }

    /// Submits a change under a new name.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers, and [`Unacknowledged`] when the answer is lost.
    pub async fn submit(&self, change: Change, base: Option<Revision>) -> anyhow::Result<Outcome> {
        self.submit_as(change_id(), change, base).await
    }

    /// Submits a change under a given name, which makes a resend harmless.
    ///
    /// A change whose answer is lost is sent again before the outcome is called unknown.
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

    /// Returns how far a revision has come.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn progress(&self, revision: Revision) -> anyhow::Result<Progress> {
        Ok(Progress::new(revision, &self.status().await?))
    }

    /// Returns what control knows of the hosts.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers.
    pub async fn status(&self) -> anyhow::Result<Status> {
        let (_link, control) = self.leader().await?;
        Ok(serde_json::from_value(control.status().await?)?)
    }

    /// Waits at most `limit` until a revision is in force on every host; tells `on_progress` each time
    /// that more hosts have it.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers at the end.
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

/// Returns a new name for a change.
#[must_use]
pub fn change_id() -> ChangeId {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Why an attempt to submit a change gave no outcome.
enum Failure {
    /// The change did not reach the log.
    Unsent(anyhow::Error),
    /// The change may have reached the log.
    Lost(String),
}
