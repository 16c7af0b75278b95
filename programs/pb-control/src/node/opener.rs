//! The storage of a replica as it is opened, at the start and after it failed.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use persimmonbend_core::id::HostId;
use persimmonbend_replica::files::Files;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Storage;

/// Why a replica takes no part in the log any more.
#[derive(Debug)]
pub enum Halt {
    /// The storage refused to be read or written.
    Storage(io::Error),
    /// The others removed this replica; its storage is empty now.
    Removed,
    /// A command or a snapshot that was committed cannot be read.
    Unreadable(anyhow::Error),
}

impl Halt {
    /// Returns whether the replica can begin anew, now or once its storage works again.
    ///
    /// A damaged storage stays damaged: what it had acknowledged may be lost. A folder that may
    /// not be used is a mistake in the settings.
    #[must_use]
    pub fn is_recoverable(&self) -> bool {
        match self {
            Self::Storage(error) => !matches!(
                error.kind(),
                io::ErrorKind::InvalidData | io::ErrorKind::PermissionDenied
            ),
            Self::Removed => true,
            Self::Unreadable(_) => false,
        }
    }
}

impl fmt::Display for Halt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Storage(error) => write!(formatter, "the storage failed: {error}"),
            Self::Removed => formatter.write_str("this replica was removed from the log"),
            Self::Unreadable(error) => write!(formatter, "{error:#}"),
        }
    }
}

impl std::error::Error for Halt {}

/// Opens the storage of a replica.
pub trait Opener: fmt::Debug {
    /// Opens the storage; an empty one is given a new identity.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be used, and [`io::ErrorKind::InvalidData`] when it is
    /// damaged.
    fn open(&self) -> io::Result<(Box<dyn Storage>, Contents)>;

    /// Empties the storage.
    ///
    /// # Errors
    ///
    /// Returns an error when something is left.
    fn discard(&self) -> io::Result<()>;
}

/// A data folder of one host.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    host: HostId,
}

impl Folder {
    /// Creates the opener of the folder at `path`, which belongs to `host`.
    #[must_use]
    pub fn new(path: &Path, host: &str) -> Self {
        Self {
            path: path.to_owned(),
            host: host.to_owned(),
        }
    }
}

impl Opener for Folder {
    fn open(&self) -> io::Result<(Box<dyn Storage>, Contents)> {
        let opened = Files::open(&self.path, &self.host, rand::random());
        let (files, contents) = opened.map_err(|error| {
            let text = format!("{}: {error}", self.path.display());
            io::Error::new(error.kind(), text)
        })?;
        Ok((Box::new(files), contents))
    }

    fn discard(&self) -> io::Result<()> {
        Files::discard(&self.path)
    }
}
