//! Drains, ejects and restores upstreams.

use bpaf::Bpaf;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Order;
use serde_json::json;

use crate::command::Output;
use crate::command::change;
use crate::command::change::Options;
use crate::command::output;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::steering;
use crate::steering::Check;

/// Options of an order:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(target))]
pub struct Target {
    #[bpaf(external)]
    output: Output,
    #[bpaf(external(change::options))]
    options: Options,
    /// Give the order even if the service falls below its floor or the floor cannot be checked
    #[bpaf(long)]
    force: bool,
    /// Name of the upstream
    #[bpaf(positional("UPSTREAM"))]
    upstream: String,
}

/// Commands for upstreams:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Send an upstream no new requests
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        target: Target,
    },
    /// Treat an upstream as ejected
    #[bpaf(command)]
    Eject {
        #[bpaf(external)]
        target: Target,
    },
    /// Cancel the earlier order about an upstream
    #[bpaf(command)]
    Restore {
        #[bpaf(external)]
        target: Target,
    },
}

impl Command {
    /// Returns whether JSON output is requested.
    pub const fn wants_json(&self) -> bool {
        self.order_and_target().1.output.json
    }

    const fn order_and_target(&self) -> (Order, &Target) {
        match self {
            Self::Drain { target } => (Order::Drain, target),
            Self::Eject { target } => (Order::Eject, target),
            Self::Restore { target } => (Order::Restore, target),
        }
    }
}

/// Checks the floor, except for a restore, and submits the order.
pub async fn run(fleet: &Fleet, command: &Command) -> anyhow::Result<Answer> {
    let (order, target) = command.order_and_target();
    let mut notes = Vec::new();
    if order != Order::Restore {
        match steering::check(fleet, &target.upstream, order).await {
            Check::Holds(text) => notes.push(text),
            Check::Breaks(text) | Check::Unknown(text) if target.force => notes.push(text),
            Check::Breaks(text) => return Ok(refused(&text, "breaks")),
            Check::Unknown(text) => return Ok(refused(&text, "unknown")),
        }
    }
    for note in &notes {
        eprintln!("{note}");
    }
    let upstream = target.upstream.clone();
    let steer = Change::Steer { upstream, order };
    let mut answer = change::submit(fleet, steer, None, &target.options).await?;
    answer.value["floor"] = json!(notes);
    Ok(answer)
}

fn refused(text: &str, floor: &str) -> Answer {
    let hint = "Nothing was changed; --force orders it all the same.";
    let value = json!({ "floor": floor, "text": text });
    Answer::new(Exit::Rejected, format!("{text} {hint}"), value)
}
