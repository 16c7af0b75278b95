//! Calls to control and to proxies on behalf of an operator.

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

use crate::settings::Settings;

/// Time to look for a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two rounds over the replicas.
const LEADER_PAUSE: Duration = Duration::from_millis(200);

/// A fleet as an operator reaches it.
#[derive(Debug, Clone)]
pub struct Fleet {
    settings: Settings,
}

impl Fleet {
    /// Creates a fleet from an operator's settings.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
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
                    if let Ok(found) = self.try_leader(*address).await {
                        return found;
                    }
                }
                compio::time::sleep(LEADER_PAUSE).await;
            }
        };
        let found = compio::time::timeout(LEADER_TIMEOUT, search).await;
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

    /// Submits a change under a new name.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader answers or the answer is lost; in the second case the
    /// outcome is unknown and a resend with the same name finds it out.
    pub async fn submit(&self, change: Change, base: Option<Revision>) -> anyhow::Result<Outcome> {
        self.resubmit(change_id(), change, base).await
    }

    /// Submits a change under a given name, which makes a resend harmless.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Fleet::submit`] does.
    pub async fn resubmit(
        &self,
        id: ChangeId,
        change: Change,
        base: Option<Revision>,
    ) -> anyhow::Result<Outcome> {
        let (_link, control) = self.leader().await?;
        let submission = Submission {
            id,
            base,
            operator: self.settings.operator.clone(),
            change,
        };
        control.submit(&submission).await.map_err(|error| {
            anyhow!(
                "the outcome is unknown ({error}); send it again with --change-id {}",
                submission.id
            )
        })
    }

    async fn try_leader(&self, address: std::net::SocketAddr) -> Result<(Link, Client), Error> {
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
