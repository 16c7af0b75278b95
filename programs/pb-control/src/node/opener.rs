//! Opens the storage of a replica, at the start and again after a failure.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use persimmonbend_core::id::HostId;
use persimmonbend_replica::files::Files;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Storage;

/// Why a replica stopped taking part in replication.
#[derive(Debug)]
pub enum Halt {
    /// A read or a write of the storage failed.
    Storage(io::Error),
    /// The other members removed this replica, and its storage was emptied.
    Removed,
    /// A committed command or snapshot cannot be decoded.
    Unreadable(anyhow::Error),
}

impl Halt {
    /// Returns whether the replica can be opened again, now or when its storage works again.
    ///
    /// Damaged storage is not recoverable: entries that the replica acknowledged may be lost. A
    /// folder without permission is a mistake in the settings.
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

/// A way to open and to empty the storage of a replica.
pub trait Opener: fmt::Debug {
    /// Opens the storage; empty storage gets a new identity.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage cannot be used, and [`io::ErrorKind::InvalidData`] when it
    /// is damaged.
    fn open(&self) -> io::Result<(Box<dyn Storage>, Contents)>;

    /// Empties the storage.
    ///
    /// # Errors
    ///
    /// Returns an error when the storage could not be emptied completely.
    fn discard(&self) -> io::Result<()>;
}

/// A data folder that belongs to one host.
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
