//! Starts a fleet inside one process, each part with its own thread and runtime.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use anyhow::anyhow;
use futures_channel::oneshot;
use persimmonbend_app::settings;
use persimmonbend_app::stop::Stop;
use persimmonbend_app::token::Token;
use persimmonbend_core::fault::Faults;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use crate::upstream;
use crate::upstream::Ledger;
use crate::upstream::Setup;

/// Time for a part to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A control replica, proxy, console or upstream that runs on its own thread.
#[derive(Debug)]
pub struct Part {
    name: String,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Part {
    /// Starts a part and waits until it reports its address.
    ///
    /// # Errors
    ///
    /// Returns an error when the part does not start in time.
    pub fn start<A, W, F>(name: &str, work: W) -> anyhow::Result<(Self, A)>
    where
        A: Send + 'static,
        W: FnOnce(Stop, Box<dyn FnOnce(A)>) -> F + Send + 'static,
        F: Future<Output = anyhow::Result<()>>,
    {
        let (bound, address) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                compio::runtime::Runtime::new()?.block_on(async {
                    let stop = Stop::new();
                    let requested = stop.clone();
                    compio::runtime::spawn(async move {
                        let _ = stopped.await;
                        requested.ask();
                    })
                    .detach();
                    let report = Box::new(move |address| {
                        let _ = bound.send(address);
                    });
                    work(stop, report).await
                })
            })?;
        let address = address.recv_timeout(START_TIMEOUT);
        let address = address.with_context(|| format!("{name} did not start"))?;
        let part = Self {
            name: name.to_owned(),
            stop: Some(stop),
            thread: Some(thread),
        };
        Ok((part, address))
    }

    /// Returns the name of the part.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Asks the part to stop without waiting for it.
    pub fn ask_to_stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Asks the part to stop and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error that the part ended with.
    pub fn end(mut self) -> anyhow::Result<()> {
        self.ask_to_stop();
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .map_err(|_| anyhow!("{} panicked", self.name))?
    }
}

/// The temporary folder of a run, which is removed when the value is dropped.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
}

impl Files {
    /// Creates the folder with a fleet secret in it.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be written.
    pub fn create() -> anyhow::Result<Self> {
        let name = format!("pb-lab-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        std::fs::write(folder.join("secret"), secret)?;
        Ok(Self { folder })
    }

    /// Returns the folder.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the path of the file with the fleet secret.
    #[must_use]
    pub fn secret(&self) -> PathBuf {
        self.folder.join("secret")
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a control replica.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn control(files: &Files, name: &str) -> anyhow::Result<(Part, SocketAddr)> {
    control_at(files, name, SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Starts a control replica on a given address.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn control_at(
    files: &Files,
    name: &str,
    listen: SocketAddr,
) -> anyhow::Result<(Part, SocketAddr)> {
    let settings = control_settings(files, name, listen, &[])?;
    Part::start(name, move |stop, bound| {
        pb_control::run(settings, stop, bound)
    })
}

/// Starts control replicas that share one log, each on its own port.
///
/// # Errors
///
/// Returns an error when one does not start.
pub fn controls(files: &Files, names: &[&str]) -> anyhow::Result<Vec<(Part, SocketAddr)>> {
    let mut sockets = Vec::new();
    let mut replicas = Vec::new();
    for name in names {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        replicas.push((*name, socket.local_addr()?));
        sockets.push(socket);
    }
    let mut parts = Vec::new();
    for ((name, address), socket) in replicas.iter().zip(sockets) {
        let settings = control_settings(files, name, *address, &replicas)?;
        parts.push(Part::start(name, move |stop, bound| {
            pb_control::run_on(socket, settings, stop, bound)
        })?);
    }
    Ok(parts)
}

/// Restarts one of several control replicas on its previous address.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn control_again(
    files: &Files,
    name: &str,
    replicas: &[(&str, SocketAddr)],
) -> anyhow::Result<(Part, SocketAddr)> {
    let found = replicas.iter().find(|(host, _)| *host == name);
    let (_, address) = found.with_context(|| format!("{name} is no replica"))?;
    let settings = control_settings(files, name, *address, replicas)?;
    Part::start(name, move |stop, bound| {
        pb_control::run(settings, stop, bound)
    })
}

fn control_settings(
    files: &Files,
    name: &str,
    listen: SocketAddr,
    replicas: &[(&str, SocketAddr)],
) -> anyhow::Result<pb_control::settings::Settings> {
    let replica =
        |(host, address): &(&str, SocketAddr)| json!({ "host": host, "address": address });
    parse_settings::<pb_control::settings::File, _>(&json!({
        "host": name,
        "listen": listen,
        "data": files.folder().join(name),
        "secret_file": files.secret(),
        "replicas": replicas.iter().map(replica).collect::<Vec<_>>(),
    }))
}

/// Starts a proxy.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn proxy(
    files: &Files,
    name: &str,
    zone: &str,
    control: &[SocketAddr],
    seeds: &[SocketAddr],
) -> anyhow::Result<(Part, pb_proxy::Addresses)> {
    proxy_with(files, name, zone, control, &json!({ "seeds": seeds }))
}

/// Starts a proxy with extra fields in its settings.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn proxy_with(
    files: &Files,
    name: &str,
    zone: &str,
    control: &[SocketAddr],
    extra: &Value,
) -> anyhow::Result<(Part, pb_proxy::Addresses)> {
    let mut document = json!({
        "host": name,
        "zone": zone,
        "callers": "127.0.0.1:0",
        "platform": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "control": control,
        "secret_file": files.secret(),
        "stop_notice_ms": 500,
    });
    if let (Some(fields), Some(extra)) = (document.as_object_mut(), extra.as_object()) {
        fields.extend(extra.clone());
    }
    let settings = parse_settings::<pb_proxy::settings::File, _>(&document)?;
    Part::start(name, move |stop, bound| {
        pb_proxy::run(settings, stop, bound)
    })
}

/// Starts a console for one operator, and returns its address with the operator's token.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn console(
    files: &Files,
    operator: &str,
    control: &[SocketAddr],
    proxies: &[SocketAddr],
) -> anyhow::Result<(Part, SocketAddr, Token)> {
    let token = Token::generate();
    let settings = parse_settings::<pb_console::settings::File, _>(&json!({
        "listen": "127.0.0.1:0",
        "control": control,
        "proxies": proxies,
        "secret_file": files.secret(),
        "operators": [{ "name": operator, "token_digest": token.digest().to_string() }],
    }))?;
    let (part, address) = Part::start("console", move |stop, bound| {
        pb_console::run(settings, stop, bound)
    })?;
    Ok((part, address, token))
}

/// Starts a stand-in upstream.
///
/// # Errors
///
/// Returns an error when it does not start.
pub fn upstream(setup: Setup, ledger: Ledger) -> anyhow::Result<(Part, SocketAddr)> {
    let name = setup.id.clone();
    Part::start(&name, move |stop, bound| {
        upstream::run(setup, ledger, stop, bound)
    })
}

/// Returns an operator's client of the fleet.
///
/// # Errors
///
/// Returns an error when the settings cannot be used.
pub fn operator(files: &Files, control: &[SocketAddr]) -> anyhow::Result<pb_ctl::fleet::Fleet> {
    operator_with(files, control, &[])
}

/// Returns an operator's client of the fleet that also knows the peer addresses of proxies.
///
/// # Errors
///
/// Returns an error when the settings cannot be used.
pub fn operator_with(
    files: &Files,
    control: &[SocketAddr],
    proxies: &[SocketAddr],
) -> anyhow::Result<pb_ctl::fleet::Fleet> {
    let settings = parse_settings::<pb_ctl::settings::File, _>(&json!({
        "operator": "lab",
        "control": control,
        "proxies": proxies,
        "secret_file": files.secret(),
    }))?;
    Ok(pb_ctl::fleet::Fleet::new(settings))
}

fn parse_settings<R, C>(document: &Value) -> anyhow::Result<C>
where
    R: DeserializeOwned,
    C: TryFrom<R, Error = Faults>,
{
    settings::parse::<R, C>(&document.to_string()).map_err(|faults| anyhow!("{faults:?}"))
}
