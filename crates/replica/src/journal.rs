//! Records in one synced file, each behind its length and checksum.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;

use log::warn;
use sha2::Digest;
use sha2::Sha256;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;

/// An append-only file of records.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens or creates the journal and returns it with its records.
    ///
    /// A torn or corrupt tail is cut off; what was synced before it stays.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, written or synced.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<Vec<u8>>)> {
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, whole) = scan(&bytes);
        if whole < bytes.len() {
            warn!(
                "journal: cut off {} bytes of a torn tail",
                bytes.len() - whole
            );
            file.set_len(whole as u64)?;
        }
        file.seek(SeekFrom::End(0))?;
        file.sync_all()?;
        sync_folder(path)?;
        Ok((Self { file }, records))
    }

    /// Appends a record and returns once it is synced.
    ///
    /// # Errors
    ///
    /// Returns an error when the record cannot be written or synced.
    pub fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let length = u32::try_from(record.len()).map_err(io::Error::other)?;
        let mut frame = Vec::with_capacity(HEADER_BYTES + record.len());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&checksum(record));
        frame.extend_from_slice(record);
        self.file.write_all(&frame)?;
        self.file.sync_data()
    }
}

fn scan(bytes: &[u8]) -> (Vec<Vec<u8>>, usize) {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(record) = record_at(&bytes[at..]) {
        at += HEADER_BYTES + record.len();
        records.push(record.to_vec());
    }
    (records, at)
}

fn record_at(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_at_checked(LENGTH_BYTES)?;
    let length = u32::from_le_bytes(length.try_into().ok()?);
    let (sum, rest) = rest.split_at_checked(CHECKSUM_BYTES)?;
    let record = rest.get(..usize::try_from(length).ok()?)?;
    (checksum(record) == sum).then_some(record)
}

fn checksum(record: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&Sha256::digest(record)[..CHECKSUM_BYTES]);
    sum
}

fn sync_folder(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => File::open(folder)?.sync_all(),
        _ => Ok(()),
    }
}
