//! The journal on files with torn tails and flipped bits.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::path::PathBuf;

use persimmonbend_check::properties;
use persimmonbend_replica::journal::Journal;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("journal-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("journal")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

properties! {
    fn a_torn_tail_is_cut_off(records: Vec<Vec<u8>>, at: usize, zeros: u16) -> bool {
        let folder = Folder::new();
        let (bytes, ends) = write(&folder, &records);
        let at = at % (bytes.len() + 1);
        let zeros = vec![0; usize::from(zeros)];
        std::fs::write(folder.file(), [&bytes[..at], &zeros].concat()).unwrap();
        let whole = ends.iter().filter(|end| **end <= at).count();
        let torn_at_end = at == ends[..whole].last().copied().unwrap_or(0);
        match Journal::open(&folder.file()) {
            Ok((_, found)) => found == records[..whole] && reopens(&folder, &found),
            // Zeros that begin within a sector cannot be told apart from damage.
            Err(_) => !torn_at_end && !zeros.is_empty(),
        }
    }

    fn a_flipped_bit_is_refused(records: Vec<Vec<u8>>, at: usize, bit: u8) -> bool {
        let folder = Folder::new();
        let (mut bytes, _) = write(&folder, &records);
        if bytes.is_empty() {
            return true;
        }
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        std::fs::write(folder.file(), &bytes).unwrap();
        let error = Journal::open(&folder.file()).unwrap_err();
        error.kind() == ErrorKind::InvalidData && std::fs::read(folder.file()).unwrap() == bytes
    }

    fn a_replaced_journal_holds_the_new_records(old: Vec<Vec<u8>>, new: Vec<Vec<u8>>) -> bool {
        let folder = Folder::new();
        write(&folder, &old);
        let mut journal = Journal::replace(&folder.file(), &new).unwrap();
        journal.append(b"next").unwrap();
        let (_, found) = Journal::open(&folder.file()).unwrap();
        found[..new.len()] == new && found[new.len()..] == [b"next"]
    }
}

fn write(folder: &Folder, records: &[Vec<u8>]) -> (Vec<u8>, Vec<usize>) {
    let (mut journal, _) = Journal::open(&folder.file()).unwrap();
    let mut ends = Vec::new();
    for record in records {
        journal.append(record).unwrap();
        ends.push(std::fs::metadata(folder.file()).unwrap().len() as usize);
    }
    (std::fs::read(folder.file()).unwrap(), ends)
}

fn reopens(folder: &Folder, records: &[Vec<u8>]) -> bool {
    let (mut journal, found) = Journal::open(&folder.file()).unwrap();
    journal.append(b"after").unwrap();
    let (_, more) = Journal::open(&folder.file()).unwrap();
    found == records && more.len() == records.len() + 1
}
