//! Sets, removes and lists tenants with their rates.

use bpaf::Bpaf;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Tenant;
use serde_json::json;

use crate::command::Output;
use crate::command::change;
use crate::command::change::Options;
use crate::command::output;
use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;

/// Commands for tenants:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(command))]
pub enum Command {
    /// Add a tenant or change its rate
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(change::options))]
        options: Options,
        /// Requests per second on average
        #[bpaf(long, argument("RATE"))]
        per_second: f64,
        /// Largest number of requests at once
        #[bpaf(long, argument("COUNT"))]
        burst: u32,
        /// Name of the tenant
        #[bpaf(positional("TENANT"))]
        tenant: String,
    },
    /// Remove a tenant and withdraw its keys
    #[bpaf(command)]
    Remove {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(change::options))]
        options: Options,
        /// Name of the tenant
        #[bpaf(positional("TENANT"))]
        tenant: String,
    },
    /// List the tenants
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        output: Output,
    },
}

impl Command {
    /// Returns whether JSON output is requested.
    pub const fn wants_json(&self) -> bool {
        match self {
            Self::Set { output, .. } | Self::Remove { output, .. } | Self::List { output } => {
                output.json
            }
        }
    }
}

/// Runs a command about tenants.
pub async fn run(fleet: &Fleet, command: &Command) -> anyhow::Result<Answer> {
    match command {
        Command::Set {
            options,
            per_second,
            burst,
            tenant,
            ..
        } => {
            let rate = Rate {
                per_second: *per_second,
                burst: *burst,
            };
            let id = tenant.clone();
            let tenant = Tenant { id, rate };
            change::submit(fleet, Change::SetTenant { tenant }, None, options).await
        }
        Command::Remove {
            options, tenant, ..
        } => {
            let tenant = tenant.clone();
            change::submit(fleet, Change::RemoveTenant { tenant }, None, options).await
        }
        Command::List { .. } => list(fleet).await,
    }
}

async fn list(fleet: &Fleet) -> anyhow::Result<Answer> {
    let (state, from_control) = fleet.config_with_fallback().await?;
    let tenants = state.tenants().values();
    let mut lines: Vec<String> = tenants
        .map(|tenant| {
            let rate = tenant.rate;
            format!(
                "{} {} a second, burst {}",
                tenant.id, rate.per_second, rate.burst
            )
        })
        .collect();
    if !from_control {
        lines.push(
            "control is away; this is the configuration that a proxy has in force".to_owned(),
        );
    }
    let value = json!({ "from_control": from_control, "tenants": state.tenants() });
    Ok(Answer::new(Exit::Done, lines.join("\n"), value))
}
