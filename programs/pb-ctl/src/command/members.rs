//! Lists, adds, promotes and removes the control replicas of the replicated log.

use anyhow::Context;
use bpaf::Bpaf;
use persimmonbend_core::id::HostId;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::members::Order;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::command::Output;
use crate::command::output;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;

/// Commands for control replicas:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// List the replicas and the hosts that request to join
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        output: Output,
    },
    /// Add a replica that has an empty data folder, as a learner
    #[bpaf(command)]
    Add {
        #[bpaf(external)]
        output: Output,
        /// Host of the replica
        #[bpaf(positional("HOST"))]
        host: HostId,
    },
    /// Turn a learner that has caught up with the log into a voter
    #[bpaf(command)]
    Promote {
        #[bpaf(external)]
        output: Output,
        /// Host of the replica
        #[bpaf(positional("HOST"))]
        host: HostId,
    },
    /// Remove a replica permanently
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        output: Output,
        /// Host of the replica
        #[bpaf(positional("HOST"))]
        host: HostId,
        /// Storage number of the replica's data folder, as pb-ctl members list shows it
        #[bpaf(positional("STORAGE"))]
        storage: u64,
    },
}

impl Command {
    /// Returns whether JSON output is requested.
    pub const fn wants_json(&self) -> bool {
        match self {
            Self::List { output }
            | Self::Add { output, .. }
            | Self::Promote { output, .. }
            | Self::Remove { output, .. } => output.json,
        }
    }
}

/// The part of the leader's status that concerns the replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Group {
    members: Vec<Peer>,
    applicants: Vec<Identity>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Peer {
    member: Member,
    matched: Option<u64>,
    silent_ms: Option<u64>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Member {
    id: Identity,
    address: String,
    role: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Identity {
    host: HostId,
    storage: u64,
}

/// Runs a command about control replicas.
pub async fn run(fleet: &Fleet, command: &Command) -> anyhow::Result<Answer> {
    let order = match command {
        Command::List { .. } => return list(fleet).await,
        Command::Add { host, .. } => Order::Add { host: host.clone() },
        Command::Promote { host, .. } => Order::Promote { host: host.clone() },
        Command::Remove { host, storage, .. } => Order::Remove {
            host: host.clone(),
            storage: *storage,
        },
    };
    let (_link, control) = fleet.leader().await?;
    match control.members(&order).await {
        Ok(()) => {
            let text = "committed; list the replicas with: pb-ctl members list";
            Ok(Answer::new(Exit::Done, text, json!({ "order": order })))
        }
        Err(Error::Remote(reason)) => {
            let value = json!({ "order": order, "reason": reason });
            let text = format!("not accepted: {reason}");
            Ok(Answer::new(Exit::Rejected, text, value))
        }
        Err(Error::NotLeader(hint)) => Err(Error::NotLeader(hint).into()),
        Err(error) => {
            let value = json!({ "order": order, "reason": error.to_string() });
            let text =
                format!("the outcome is unknown ({error}); find out with: pb-ctl members list");
            Ok(Answer::new(Exit::Unknown, text, value))
        }
    }
}

async fn list(fleet: &Fleet) -> anyhow::Result<Answer> {
    let (_link, control) = fleet.leader().await?;
    let status: Value = control.status().await?;
    let group = Group::deserialize(&status["replica"]);
    let group = group.context("the status of the leader does not list the replicas")?;
    let members = group.members.iter();
    let mut lines: Vec<String> = members.map(describe).collect();
    lines.extend(group.applicants.iter().map(|applicant| {
        let (host, storage) = (&applicant.host, applicant.storage);
        format!("{host} storage {storage} asks to be taken in: pb-ctl members add {host}")
    }));
    Ok(Answer::new(Exit::Done, lines.join("\n"), json!(group)))
}

fn describe(peer: &Peer) -> String {
    let Member { id, address, role } = &peer.member;
    let role = role.to_lowercase();
    let matched = peer.matched.map_or("index unknown".to_owned(), |index| {
        format!("holds the log up to {index}")
    });
    let silent = peer.silent_ms.map_or(String::new(), |millis| {
        format!(", last contact {millis} ms ago")
    });
    format!(
        "{} storage {} at {address}: {role}, {matched}{silent}",
        id.host, id.storage
    )
}
