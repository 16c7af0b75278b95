//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;
use persimmonbend_app::program;
use persimmonbend_app::program::EXIT_FAILURE;
use persimmonbend_app::program::EXIT_USAGE;
use persimmonbend_app::settings;
use persimmonbend_core::config::Change;
use persimmonbend_core::config::Outcome;
use persimmonbend_core::config::Rate;
use persimmonbend_core::config::Tenant;
use persimmonbend_core::key::Secret;
use persimmonbend_wire::link::Link;

use crate::files;
use crate::fleet::Fleet;
use crate::settings::File;
use crate::settings::Settings;

/// Steers a persimmonbend fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Settings file, JSON with comments
    #[bpaf(long, short, argument("FILE"), fallback(PathBuf::from("pb-ctl.jsonc")))]
    settings: PathBuf,
    #[bpaf(external)]
    command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Check service files and report every fault
    #[bpaf(command)]
    Check {
        /// Service files
        #[bpaf(positional("FILE"), some("name at least one service file"))]
        files: Vec<PathBuf>,
    },
    /// Find and merge the service files below a folder and print them
    #[bpaf(command)]
    Collect {
        /// Folder to search
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Publish the service files below a folder
    #[bpaf(command)]
    Publish {
        /// Folder to search
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Add or change a tenant
    #[bpaf(command("tenant-set"))]
    TenantSet {
        /// Requests per second in the long run
        #[bpaf(long, argument("RATE"))]
        per_second: f64,
        /// Requests that may come at once
        #[bpaf(long, argument("COUNT"))]
        burst: u32,
        /// Name of the tenant
        #[bpaf(positional("TENANT"))]
        tenant: String,
    },
    /// Issue a key and show it, once
    #[bpaf(command("key-issue"))]
    KeyIssue {
        /// What to call the key
        #[bpaf(long, argument("LABEL"), fallback(String::new()))]
        label: String,
        /// Tenant that will present it
        #[bpaf(positional("TENANT"))]
        tenant: String,
    },
    /// Show what control knows of the fleet
    #[bpaf(command)]
    Status,
    /// Print the whole state of one process
    #[bpaf(command)]
    Dump {
        /// Control or peer address of the process
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

/// Runs a command and returns its exit code.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    match &arguments.command {
        Command::Check { files } => offline(files),
        Command::Collect { folder } => collect(folder),
        command => online(&arguments.settings, command),
    }
}

fn offline(files: &[PathBuf]) -> ExitCode {
    match files::read(files) {
        Ok(services) => {
            println!("{} services can be published", services.len());
            ExitCode::SUCCESS
        }
        Err(error) => usage(&error),
    }
}

fn collect(folder: &std::path::Path) -> ExitCode {
    let services = files::find(folder).and_then(|found| files::read(&found));
    match services {
        Ok(services) => {
            println!(
                "{}",
                serde_json::to_string_pretty(&services).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Err(error) => usage(&error),
    }
}

fn usage(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}

fn online(file: &std::path::Path, command: &Command) -> ExitCode {
    let settings = match settings::load::<File, Settings>(file) {
        Ok(settings) => settings,
        Err(error) => return usage(&error),
    };
    let fleet = Fleet::new(settings);
    let code = program::run(perform(&fleet, command));
    if code == ExitCode::SUCCESS {
        return code;
    }
    ExitCode::from(EXIT_FAILURE)
}

async fn perform(fleet: &Fleet, command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Check { .. } | Command::Collect { .. } => Ok(()),
        Command::Publish { folder } => publish(fleet, folder).await,
        Command::TenantSet {
            tenant,
            per_second,
            burst,
        } => {
            let tenant = Tenant {
                id: tenant.clone(),
                rate: Rate {
                    per_second: *per_second,
                    burst: *burst,
                },
            };
            report(&fleet.submit(Change::SetTenant { tenant }, None).await?)
        }
        Command::KeyIssue { tenant, label } => issue(fleet, tenant, label).await,
        Command::Status => {
            let (_link, control) = fleet.leader().await?;
            print(&control.status().await?)
        }
        Command::Dump { address } => dump(fleet, *address).await,
    }
}

async fn publish(fleet: &Fleet, folder: &std::path::Path) -> anyhow::Result<()> {
    let services = files::read(&files::find(folder)?)?;
    let base = fleet.config().await?.revision();
    report(
        &fleet
            .submit(Change::Publish { services }, Some(base))
            .await?,
    )
}

async fn issue(fleet: &Fleet, tenant: &str, label: &str) -> anyhow::Result<()> {
    let secret = Secret::generate(&mut rand::rng());
    let change = Change::IssueKey {
        digest: secret.digest(),
        tenant: tenant.to_owned(),
        label: label.to_owned(),
    };
    report(&fleet.submit(change, None).await?)?;
    println!("{}", secret.reveal());
    Ok(())
}

async fn dump(fleet: &Fleet, address: SocketAddr) -> anyhow::Result<()> {
    let settings = fleet.settings();
    let link = Link::connect(address, &settings.operator, &settings.secret).await?;
    let state = match (link.control(), link.peer()) {
        (Ok(control), _) => control.dump().await?,
        (_, Ok(peer)) => peer.dump().await?,
        _ => bail!("the process at {address} serves no role"),
    };
    print(&state)
}

fn report(outcome: &Outcome) -> anyhow::Result<()> {
    match outcome {
        Outcome::Accepted { revision } => {
            eprintln!("accepted as revision {revision}");
            Ok(())
        }
        Outcome::Conflict { revision, since } => {
            let lines: Vec<String> = since
                .iter()
                .map(|line| format!("  {} by {}: {}", line.revision, line.operator, line.text))
                .collect();
            bail!(
                "conflict: revision {revision} is in force\n{}",
                lines.join("\n")
            )
        }
        Outcome::Invalid { reason } => bail!("not accepted: {reason}"),
    }
}

fn print(value: &serde_json::Value) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
