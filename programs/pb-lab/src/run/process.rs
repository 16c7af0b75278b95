//! Control replicas and proxies that a run starts as child processes.

use std::fs::File;
use std::net::IpAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use anyhow::Context;
use rand::RngExt;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

/// The part of the fleet that a process runs as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A control replica.
    Control,
    /// A proxy.
    Proxy,
}

impl Role {
    const fn command(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Proxy => "proxy",
        }
    }
}

/// A child process that can be restarted with the same settings.
///
/// It is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    role: Role,
    folder: std::path::PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings of a process and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error when the files cannot be written or the process cannot be started.
    pub fn start(name: &str, role: Role, folder: &Path, settings: &Value) -> anyhow::Result<Self> {
        std::fs::write(folder.join(format!("{name}.jsonc")), settings.to_string())?;
        let mut process = Self {
            name: name.to_owned(),
            role,
            folder: folder.to_owned(),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error when the log file cannot be opened or the process cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(std::env::current_exe()?)
            .arg(self.role.command())
            .arg("--settings")
            .arg(self.folder.join(format!("{}.jsonc", self.name)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.with_context(|| format!("cannot start {}", self.name))?);
        Ok(())
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop without waiting for it.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        matches!(child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref();
        let pid = child.and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Allocates loopback addresses in a network chosen at random for each run.
///
/// Each process of a run gets an IP address of its own. Its fixed ports therefore cannot collide
/// with ports that the kernel hands out on 127.0.0.1.
#[derive(Debug)]
pub struct Addresses {
    network: [u8; 2],
    hosts: u8,
}

impl Addresses {
    /// Creates the allocator of a run.
    #[must_use]
    pub fn new() -> Self {
        let mut rng = rand::rng();
        Self {
            network: [rng.random_range(1..=254), rng.random()],
            hosts: 0,
        }
    }

    /// Returns the next unused IP address.
    ///
    /// # Errors
    ///
    /// Returns an error when the network has no addresses left.
    pub fn next(&mut self) -> anyhow::Result<IpAddr> {
        self.hosts = self.hosts.checked_add(1).context("too many processes")?;
        let [second, third] = self.network;
        Ok(IpAddr::from([127, second, third, self.hosts]))
    }
}
