//! An append-only file of records, each synced and behind a header with its length and checksums.
//!
//! A record is written and synced as a whole, so only the last one can be torn: the file ends
//! within it, or reads as zeros from a sector on. No message that depends on such a tail was sent,
//! so it is cut off. Any other damage is to a synced record and is refused, since a shorter journal
//! would make the replica forget a vote or an entry that it acknowledged. The checksums cover the
//! number of the record, so that a record at the wrong place is detected too.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use log::warn;
use sha2::Digest;
use sha2::Sha256;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = LENGTH_BYTES + 2 * CHECKSUM_BYTES;

/// Last byte of a frame; not zero, so that a completely written frame never reads as torn.
const END_MARKER: u8 = 0xA5;
const END_MARKER_BYTES: usize = 1;

/// Smallest unit that a disk writes, in bytes.
const SECTOR_BYTES: usize = 512;

/// Largest size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 1024 * 1024 * 1024;

/// An append-only file of records.
#[derive(Debug)]
pub struct Journal {
    file: File,
    count: u64,
}

impl Journal {
    /// Opens or creates the journal, cuts off a torn tail, and returns the journal and its records.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, written or synced, and
    /// [`io::ErrorKind::InvalidData`] when a synced record is damaged.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<Vec<u8>>)> {
        let mut file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .append(true)
            .open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, whole) = scan(&bytes)?;
        if whole < bytes.len() {
            let torn = bytes.len() - whole;
            warn!("journal: cut off a torn tail of {torn} bytes");
            file.set_len(whole as u64)?;
        }
        file.sync_all()?;
        sync_folder(path)?;
        let count = records.len() as u64;
        Ok((Self { file, count }, records))
    }

    /// Atomically replaces the journal at `path` by one with the given records.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written or synced.
    pub fn replace(path: &Path, records: &[Vec<u8>]) -> io::Result<Self> {
        let mut bytes = Vec::new();
        for (number, record) in (0..).zip(records) {
            bytes.extend_from_slice(&frame(number, record)?);
        }
        write_file(path, &bytes)?;
        let file = OpenOptions::new().append(true).open(path)?;
        let count = records.len() as u64;
        Ok(Self { file, count })
    }

    /// Appends a record and returns once it is synced.
    ///
    /// # Errors
    ///
    /// Returns an error when the record cannot be written or synced. The journal must not
    /// be used afterwards.
    pub fn append(&mut self, record: &[u8]) -> io::Result<()> {
        let frame = frame(self.count, record)?;
        self.file.write_all(&frame)?;
        self.file.sync_data()?;
        self.count += 1;
        Ok(())
    }
}

/// Atomically replaces the file at `path`: writes and syncs a new file and renames it.
///
/// # Errors
///
/// Returns an error when the file cannot be written, synced or renamed.
pub fn write_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    let temporary = PathBuf::from(name);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    sync_folder(path)
}

/// Returns the frame of a record: a header with length and checksums, the record, an end marker.
///
/// # Errors
///
/// Returns an error when the record is too large.
pub fn frame(number: u64, record: &[u8]) -> io::Result<Vec<u8>> {
    if record.len() > MAX_RECORD_BYTES {
        return Err(io::Error::other("the journal record is larger than 1 GiB"));
    }
    let length = u32::try_from(record.len()).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + record.len() + END_MARKER_BYTES);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&checksum(number, record));
    let header = checksum(number, &frame);
    frame.extend_from_slice(&header);
    frame.extend_from_slice(record);
    frame.push(END_MARKER);
    Ok(frame)
}

/// Returns the record of the frame at the start of `bytes`, and the bytes after the frame.
///
/// # Errors
///
/// Returns [`io::ErrorKind::InvalidData`] when the frame is incomplete or damaged.
pub fn unframe(number: u64, bytes: &[u8]) -> io::Result<(&[u8], &[u8])> {
    split(number, bytes).ok_or_else(|| corrupt(number))
}

fn scan(bytes: &[u8]) -> io::Result<(Vec<Vec<u8>>, usize)> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let number = records.len() as u64;
        match split(number, &bytes[at..]) {
            Some((record, rest)) => {
                records.push(record.to_vec());
                at = bytes.len() - rest.len();
            }
            None if is_torn(number, bytes, at) => break,
            None => return Err(corrupt(number)),
        }
    }
    Ok((records, at))
}

fn split(number: u64, bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = length(number, bytes)?;
    let sum = bytes.get(LENGTH_BYTES..LENGTH_BYTES + CHECKSUM_BYTES)?;
    let (record, rest) = bytes[HEADER_BYTES..].split_at_checked(length)?;
    let (end, rest) = rest.split_first()?;
    (checksum(number, record) == sum && *end == END_MARKER).then_some((record, rest))
}

/// Returns the length of the record as the header states it, if the header is undamaged.
fn length(number: u64, bytes: &[u8]) -> Option<usize> {
    let (header, sum) = bytes
        .get(..HEADER_BYTES)?
        .split_at(LENGTH_BYTES + CHECKSUM_BYTES);
    let length = header[..LENGTH_BYTES].try_into().ok()?;
    let whole = checksum(number, header) == sum;
    whole
        .then(|| usize::try_from(u32::from_le_bytes(length)).ok())
        .flatten()
}

/// Returns whether the frame at `at` is the last one and was not completely written.
fn is_torn(number: u64, bytes: &[u8], at: usize) -> bool {
    let rest = &bytes[at..];
    let ends_within = match length(number, rest) {
        Some(length) => rest.len() < HEADER_BYTES + length + END_MARKER_BYTES,
        None => rest.len() < HEADER_BYTES,
    };
    ends_within || ends_in_zeros(bytes, at)
}

/// Returns whether all bytes from `at` on, or from the first sector after `at` on, are zeros.
fn ends_in_zeros(bytes: &[u8], at: usize) -> bool {
    let sector = (at + 1).next_multiple_of(SECTOR_BYTES);
    let zeros = |from: usize| bytes.len() > from && bytes[from..].iter().all(|byte| *byte == 0);
    zeros(at) || zeros(sector)
}

fn checksum(number: u64, bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hash = Sha256::new();
    hash.update(number.to_le_bytes());
    hash.update(bytes);
    let mut sum = [0; CHECKSUM_BYTES];
    sum.copy_from_slice(&hash.finalize()[..CHECKSUM_BYTES]);
    sum
}

fn corrupt(number: u64) -> io::Error {
    let text = format!("journal record {number} is damaged; replace this replica");
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(folder) if !folder.as_os_str().is_empty() => File::open(folder)?.sync_all(),
        _ => Ok(()),
    }
}
