//! The journal after torn and corrupt writes.

#![allow(clippy::unwrap_used)]

use std::path::PathBuf;

use persimmonbend_replica::journal::Journal;
use quickcheck::quickcheck;

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

quickcheck! {
    fn what_was_synced_before_the_damage_stays(records: Vec<Vec<u8>>, at: usize, flip: bool) -> bool {
        let folder = Folder::new();
        let (mut journal, _) = Journal::open(&folder.file()).unwrap();
        let mut ends = Vec::new();
        for record in &records {
            journal.append(record).unwrap();
            ends.push(std::fs::metadata(folder.file()).unwrap().len() as usize);
        }
        drop(journal);
        let mut bytes = std::fs::read(folder.file()).unwrap();
        if bytes.is_empty() {
            return true;
        }
        let at = at % bytes.len();
        if flip {
            bytes[at] ^= 1;
        } else {
            bytes.truncate(at);
        }
        std::fs::write(folder.file(), &bytes).unwrap();
        let (_, found) = Journal::open(&folder.file()).unwrap();
        let whole = ends.iter().filter(|end| **end <= at).count();
        found.len() >= whole && found[..whole] == records[..whole] && found == records[..found.len()]
    }
}
