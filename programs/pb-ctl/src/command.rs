//! The command line: its arguments, and the answer to each command.

mod change;
mod history;
mod key;
mod members;
mod placement;
mod publish;
mod service;
mod tenant;
mod upstream;
mod view;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use persimmonbend_app::settings;
use persimmonbend_app::token::Token;
use serde_json::json;

use crate::exit::Answer;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::settings::File;
use crate::settings::Settings;

/// Operates a persimmonbend fleet
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict or not accepted, 4 outcome unknown, \
     5 accepted but not yet in force on every host."
    )
)]
pub struct Arguments {
    /// Settings file, JSON with comments
    #[bpaf(long, short, argument("FILE"), fallback(PathBuf::from("pb-ctl.jsonc")))]
    settings: PathBuf,
    #[bpaf(external)]
    command: Command,
}

/// Output:
#[derive(Debug, Clone, Copy, Bpaf)]
struct Output {
    /// Print JSON
    #[bpaf(long)]
    json: bool,
}

/// Commands:
#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Check service files and report every fault
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        output: Output,
        /// Service files
        #[bpaf(positional("FILE"), some("name at least one service file"))]
        files: Vec<PathBuf>,
    },
    /// Find the service files below a folder, merge them and print the services
    #[bpaf(command)]
    Collect {
        #[bpaf(external)]
        output: Output,
        /// Folder to search
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// Show the difference to the services in force and publish the service files below a folder
    #[bpaf(command)]
    Publish {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(change::options))]
        options: change::Options,
        /// Show the difference and publish nothing
        #[bpaf(long)]
        dry_run: bool,
        /// Folder to search
        #[bpaf(positional("DIR"))]
        folder: PathBuf,
    },
    /// List the latest changes, or find one change and whether it was accepted
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        output: Output,
        /// Number of changes to list [default: 20]
        #[bpaf(long, argument("COUNT"), fallback(20))]
        last: usize,
        /// ID of the change to find
        #[bpaf(long, argument("ID"), optional)]
        change_id: Option<String>,
    },
    /// Put the services of an earlier revision in force again
    #[bpaf(command)]
    Rollback {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(change::options))]
        options: change::Options,
        /// Number of the earlier revision
        #[bpaf(positional("REV"))]
        revision: u64,
    },
    /// Issue, list and withdraw tenants' keys
    #[bpaf(command)]
    Key {
        #[bpaf(external(key::command))]
        command: key::Command,
    },
    /// Set, remove and list tenants
    #[bpaf(command)]
    Tenant {
        #[bpaf(external(tenant::command))]
        command: tenant::Command,
    },
    /// Drain, eject and restore upstreams
    #[bpaf(command)]
    Upstream {
        #[bpaf(external(upstream::command))]
        command: upstream::Command,
    },
    /// List, add, promote and remove control replicas
    #[bpaf(command)]
    Members {
        #[bpaf(external(members::command))]
        command: members::Command,
    },
    /// Show the fleet's status as control and a proxy report it
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        output: Output,
    },
    /// Explain an upstream, a tenant, a request, a host or a placement
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        output: Output,
        #[bpaf(external(view::subject))]
        subject: view::Subject,
    },
    /// Print the internal state of one process as JSON
    #[bpaf(command)]
    Dump {
        /// Address of a control replica, peer address of a proxy, or the name of an entry host
        #[bpaf(positional("ADDRESS|HOST"))]
        process: String,
    },
    /// Create a token for an operator of the console and print it once, with its digest
    #[bpaf(command)]
    Token {
        #[bpaf(external)]
        output: Output,
    },
    /// Show the events that the proxies keep
    #[bpaf(command)]
    Events {
        #[bpaf(external)]
        output: Output,
        /// Keep showing new events until interrupted
        #[bpaf(long)]
        follow: bool,
    },
}

/// Runs a command and returns its exit code.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    let command = &arguments.command;
    match command {
        Command::Check { output, files } => service::check(files).print(output.json),
        Command::Collect { output, folder } => service::collect(folder).print(output.json),
        Command::Token { output } => generate_token().print(output.json),
        _ => run_online(&arguments.settings, command),
    }
}

/// Runs a command on a fleet and returns its answer; the settings file is not read.
pub async fn answer(fleet: &Fleet, arguments: &Arguments) -> Answer {
    perform(fleet, &arguments.command).await
}

fn run_online(file: &Path, command: &Command) -> ExitCode {
    let json = command.wants_json();
    let settings = match settings::load::<File, Settings>(file) {
        Ok(settings) => settings,
        Err(error) => return Answer::plain(Exit::Usage, error.to_string()).print(json),
    };
    let fleet = Fleet::new(settings);
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            let text = format!("cannot start the runtime: {error}");
            return Answer::plain(Exit::Failed, text).print(json);
        }
    };
    runtime.block_on(perform(&fleet, command)).print(json)
}

fn generate_token() -> Answer {
    let token = Token::generate();
    let digest = token.digest().to_string();
    let text = format!(
        "token for the operator: {}\ntoken_digest for the settings: {digest}",
        token.reveal()
    );
    let value = json!({ "token": token.reveal(), "token_digest": digest });
    Answer::new(Exit::Done, text, value)
}

async fn perform(fleet: &Fleet, command: &Command) -> Answer {
    let answer = try_perform(fleet, command).await;
    answer.unwrap_or_else(Answer::from)
}

async fn try_perform(fleet: &Fleet, command: &Command) -> anyhow::Result<Answer> {
    match command {
        Command::Check { files, .. } => Ok(service::check(files)),
        Command::Collect { folder, .. } => Ok(service::collect(folder)),
        Command::Token { .. } => Ok(generate_token()),
        Command::Publish {
            options,
            dry_run,
            folder,
            ..
        } => publish::publish(fleet, folder, options, *dry_run).await,
        Command::History {
            last, change_id, ..
        } => match change_id {
            Some(id) => history::find(fleet, id).await,
            None => history::list(fleet, *last).await,
        },
        Command::Rollback {
            options, revision, ..
        } => publish::rollback(fleet, *revision, options).await,
        Command::Key { command } => key::run(fleet, command).await,
        Command::Tenant { command } => tenant::run(fleet, command).await,
        Command::Members { command } => members::run(fleet, command).await,
        Command::Upstream { command } => upstream::run(fleet, command).await,
        Command::Status { .. } => view::status(fleet).await,
        Command::Explain { subject, .. } => view::explain(fleet, subject).await,
        Command::Dump { process } => view::dump(fleet, process).await,
        Command::Events { output, follow } => view::events(fleet, *follow, output.json).await,
    }
}

impl Command {
    const fn wants_json(&self) -> bool {
        match self {
            Self::Check { output, .. }
            | Self::Collect { output, .. }
            | Self::Publish { output, .. }
            | Self::History { output, .. }
            | Self::Rollback { output, .. }
            | Self::Status { output }
            | Self::Token { output }
            | Self::Explain { output, .. }
            | Self::Events { output, .. } => output.json,
            Self::Key { command } => command.wants_json(),
            Self::Tenant { command } => command.wants_json(),
            Self::Members { command } => command.wants_json(),
            Self::Upstream { command } => command.wants_json(),
            Self::Dump { .. } => false,
        }
    }
}
