//! Storage of a replica in files of one data folder.
//!
//! The file `identity` holds the host and the folder's random number, `snapshot` the newest
//! snapshot, and `journal` the records after the snapshot. The identity is written last when a
//! folder is first used, so that a folder with an identity has the other files too; a folder that
//! has the identity but lacks another file is refused.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::id::Id;
use crate::id::StorageId;
use crate::journal;
use crate::journal::Journal;
use crate::storage::Contents;
use crate::storage::Record;
use crate::storage::Snapshot;
use crate::storage::Storage;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const JOURNAL: &str = "journal";

/// A data folder that is open for writing.
#[derive(Debug)]
pub struct Files {
    folder: PathBuf,
    journal: Journal,
}

impl Files {
    /// Removes the files of a data folder, so that a removed replica can join again as a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when a file cannot be removed or the folder cannot be synced.
    pub fn discard(folder: &Path) -> io::Result<()> {
        for name in [JOURNAL, SNAPSHOT, IDENTITY] {
            match std::fs::remove_file(folder.join(name)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        std::fs::File::open(folder)?.sync_all()
    }

    /// Opens a data folder; an empty one gets the identity of `host` and `storage`.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be used, belongs to another host, lacks a file or
    /// holds a damaged one.
    pub fn open(folder: &Path, host: &str, storage: StorageId) -> io::Result<(Self, Contents)> {
        std::fs::create_dir_all(folder)?;
        if !folder.join(IDENTITY).exists() {
            initialize(folder, host, storage)?;
        }
        let id: Id = read(&folder.join(IDENTITY))?;
        if id.host != host {
            return Err(damaged(folder, &format!("belongs to host {}", id.host)));
        }
        for name in [SNAPSHOT, JOURNAL] {
            if !folder.join(name).exists() {
                return Err(damaged(folder, &format!("lacks the file {name}")));
            }
        }
        let snapshot = read(&folder.join(SNAPSHOT))?;
        let (journal, batches) = Journal::open(&folder.join(JOURNAL))?;
        let mut records = Vec::new();
        for batch in batches {
            records.extend(decode::<Vec<Record>>(&batch)?);
        }
        let contents = Contents {
            id,
            snapshot,
            records,
        };
        let folder = folder.to_owned();
        Ok((Self { folder, journal }, contents))
    }
}

impl Storage for Files {
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.journal.append(&encode(&records)?)
    }

    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()> {
        write(&self.folder.join(SNAPSHOT), snapshot)?;
        let batch = encode(&records)?;
        self.journal = Journal::replace(&self.folder.join(JOURNAL), &[batch])?;
        Ok(())
    }
}

fn initialize(folder: &Path, host: &str, storage: StorageId) -> io::Result<()> {
    if folder.join(SNAPSHOT).exists() {
        let snapshot: Snapshot = read(&folder.join(SNAPSHOT))?;
        if snapshot != Snapshot::default() {
            return Err(damaged(folder, "has lost its identity"));
        }
    }
    let (_, records) = Journal::open(&folder.join(JOURNAL))?;
    if !records.is_empty() {
        return Err(damaged(folder, "has lost its identity"));
    }
    write(&folder.join(SNAPSHOT), &Snapshot::default())?;
    let id = Id {
        host: host.to_owned(),
        storage,
    };
    write(&folder.join(IDENTITY), &id)
}

fn write<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    journal::write_file(path, &journal::frame(0, &encode(value)?)?)
}

fn read<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let bytes = std::fs::read(path)?;
    match journal::unframe(0, &bytes) {
        Ok((record, [])) => decode(record),
        _ => Err(damaged(path, "is damaged")),
    }
}

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(io::Error::other)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}

fn damaged(path: &Path, what: &str) -> io::Error {
    let text = format!("{} {what}; replace this replica", path.display());
    io::Error::new(io::ErrorKind::InvalidData, text)
}
