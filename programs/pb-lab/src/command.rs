//! The command line.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use persimmonbend_app::logging;
use persimmonbend_app::program;
use persimmonbend_app::program::EXIT_USAGE;
use persimmonbend_app::program::Log;
use persimmonbend_app::program::log;
use persimmonbend_app::settings;
use persimmonbend_app::signals::Signals;
use persimmonbend_app::stop::Stop;

use crate::capacity;
use crate::claims;
use crate::claims::Plan;
use crate::claims::plan;
use crate::demo;
use crate::routing;
use crate::routing::Bench;
use crate::routing::bench;
use crate::run;
use crate::upstream;
use crate::upstream::Ledger;
use crate::upstream::Setup;

/// Developer tools for persimmonbend: stand-in upstream, scenarios, demo and benchmarks
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    #[bpaf(external)]
    log: Log,
    #[bpaf(external)]
    command: Command,
}

/// What to run.
#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Measure the latency of claims and outcomes of records at control replicas
    #[bpaf(command)]
    Claims {
        #[bpaf(external(plan))]
        plan: Plan,
    },
    /// Run a small fleet with a grey upstream and show what happens
    #[bpaf(command)]
    Demo {
        /// Print only the JSON summary
        #[bpaf(long)]
        json: bool,
    },
    /// Compare the routing settings of proxies at several loads
    #[bpaf(command)]
    Routing {
        #[bpaf(external(bench))]
        bench: Bench,
    },
    /// Print the tables of the capacity page from the file of slopes
    #[bpaf(command)]
    Capacity {
        /// File of slopes
        #[bpaf(
            positional("FILE"),
            fallback(PathBuf::from("docs/capacity/slopes.jsonc"))
        )]
        slopes: PathBuf,
    },
    /// Measure the slopes of memory, time and bytes inside one process
    #[bpaf(command)]
    Slopes,
    /// Create items in this process and print its resident memory in bytes
    #[bpaf(command, hide)]
    Fill {
        /// Kind of items
        #[bpaf(positional("CONTENT"))]
        content: capacity::Content,
        /// Number of items
        #[bpaf(positional("COUNT"))]
        count: usize,
    },
    /// Run a scenario on processes and sockets of this machine
    #[bpaf(command)]
    Run {
        /// Seed of the load
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
        /// Scenario file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Run a control replica
    #[bpaf(command, hide)]
    Control {
        /// Settings file
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a proxy
    #[bpaf(command, hide)]
    Proxy {
        /// Settings file
        #[bpaf(long, argument("FILE"))]
        settings: PathBuf,
    },
    /// Run one stand-in upstream until it is interrupted
    #[bpaf(command)]
    Upstream {
        /// Name
        #[bpaf(long, argument("NAME"))]
        id: String,
        /// Service that it belongs to
        #[bpaf(long, argument("NAME"))]
        service: String,
        /// Zone that it announces
        #[bpaf(long, argument("ZONE"), fallback("a".to_owned()))]
        zone: String,
        /// Address to listen on
        #[bpaf(long, argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Requests that it runs at a time
        #[bpaf(long, argument("COUNT"), fallback(3))]
        slots: usize,
        /// Mean time that a request takes, in milliseconds
        #[bpaf(long, argument("MILLIS"), fallback(20))]
        work_ms: u64,
        /// Platform address of a proxy to announce to
        #[bpaf(long("proxy"), argument("ADDRESS"), some("name at least one proxy"))]
        proxies: Vec<SocketAddr>,
        /// Seed of the random generator
        #[bpaf(long, argument("SEED"), fallback(1))]
        seed: u64,
    },
}

/// Runs a command and returns its exit code.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    if let Some(code) = run_process(&arguments) {
        return code;
    }
    if let Err(error) = logging::start(arguments.log.level, arguments.log.file.as_deref()) {
        eprintln!("{error:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    match arguments.command {
        Command::Claims { plan } => program::run(claims::run(plan)),
        Command::Demo { json } => program::run(demo::run(json)),
        Command::Run { file, seed } => program::run(async move { run::run(&file, seed).await }),
        Command::Control { .. } | Command::Proxy { .. } => ExitCode::from(EXIT_USAGE),
        Command::Routing { bench } => program::run(routing::run(bench)),
        Command::Capacity { slopes } => program::run(async move { print_tables(&slopes) }),
        Command::Fill { content, count } => program::run(async move {
            println!("{}", capacity::fill(content, count)?);
            Ok(())
        }),
        Command::Slopes => program::run(async { print_slopes() }),
        Command::Upstream {
            id,
            service,
            zone,
            listen,
            slots,
            work_ms,
            proxies,
            seed,
        } => {
            let setup = Setup {
                id,
                service,
                zone,
                listen,
                slots,
                work: Duration::from_millis(work_ms),
                proxies,
                seed,
            };
            program::run(run_upstream(setup))
        }
    }
}

fn print_tables(file: &Path) -> anyhow::Result<()> {
    let slopes = settings::load::<capacity::File, capacity::Slopes>(file)?;
    print!("{}", capacity::tables(&slopes));
    Ok(())
}

fn print_slopes() -> anyhow::Result<()> {
    for slope in capacity::measure()? {
        println!("{} {:.3}", slope.name, slope.value);
    }
    Ok(())
}

/// Runs a control replica or a proxy, if the arguments name one, and returns its exit code.
fn run_process(arguments: &Arguments) -> Option<ExitCode> {
    let options = |settings: &PathBuf| program::Options {
        settings: settings.clone(),
        check: false,
        log: arguments.log.clone(),
    };
    match &arguments.command {
        Command::Control { settings } => Some(program::serve::<
            pb_control::settings::File,
            pb_control::settings::Settings,
            _,
            _,
        >(&options(settings), |settings, stop| {
            pb_control::run(settings, stop, |_| ())
        })),
        Command::Proxy { settings } => Some(program::serve::<
            pb_proxy::settings::File,
            pb_proxy::settings::Settings,
            _,
            _,
        >(&options(settings), |settings, stop| {
            pb_proxy::run(settings, stop, |_| ())
        })),
        _ => None,
    }
}

async fn run_upstream(setup: Setup) -> anyhow::Result<()> {
    let stop = Stop::new();
    let signals = Signals::start(&program::STOP_SIGNALS)?;
    compio::runtime::spawn(program::watch_signals(signals, stop.clone())).detach();
    upstream::run(setup, Ledger::new(), stop, |address| {
        println!("listens on {address}");
    })
    .await
}
