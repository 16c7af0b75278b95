//! The data folder of a replica: identity, snapshot and journal.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::path::Path;
use std::path::PathBuf;

use persimmonbend_check::properties;
use persimmonbend_replica::entry::Entry;
use persimmonbend_replica::entry::Payload;
use persimmonbend_replica::files::Files;
use persimmonbend_replica::storage::Hard;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("files-{:016x}", rand::random::<u64>());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![7; 40]),
    })
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 1,
        term: 1,
        data: b"state".to_vec(),
        ..Snapshot::default()
    }
}

fn filled(folder: &Path) {
    let (mut files, _) = Files::open(folder, "a", 1).unwrap();
    files
        .write(&[Record::Hard(Hard::default()), entry(1)])
        .unwrap();
    files.replace(&snapshot(), &[entry(2)]).unwrap();
    files.write(&[entry(3)]).unwrap();
}

#[test]
fn returns_what_was_written_under_the_first_identity() {
    let folder = Folder::new();
    filled(&folder.0);
    let (_, contents) = Files::open(&folder.0, "a", 2).unwrap();
    assert_eq!(contents.id.storage, 1);
    assert_eq!(contents.snapshot, snapshot());
    assert_eq!(contents.records, [entry(2), entry(3)]);
}

#[test]
fn refuses_a_folder_that_lost_a_part() {
    for name in ["identity", "snapshot", "journal"] {
        let folder = Folder::new();
        filled(&folder.0);
        std::fs::remove_file(folder.0.join(name)).unwrap();
        let error = Files::open(&folder.0, "a", 2).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::InvalidData, "without {name}");
    }
}

#[test]
fn refuses_a_damaged_part() {
    for name in ["identity", "snapshot", "journal"] {
        let folder = Folder::new();
        filled(&folder.0);
        let file = folder.0.join(name);
        let mut bytes = std::fs::read(&file).unwrap();
        bytes[10] ^= 4;
        std::fs::write(&file, bytes).unwrap();
        let error = Files::open(&folder.0, "a", 2).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::InvalidData, "damaged {name}");
    }
}

#[test]
fn refuses_the_folder_of_another_host() {
    let folder = Folder::new();
    filled(&folder.0);
    let error = Files::open(&folder.0, "b", 2).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::InvalidData);
}

properties! {
    fn a_folder_with_a_damaged_file_is_refused_or_read_as_it_was(
        name: u8,
        at: usize,
        bit: u8,
        cut: Option<usize>,
        garbage: Vec<u8>
    ) -> bool {
        let folder = Folder::new();
        filled(&folder.0);
        let file = folder.0.join(["identity", "snapshot", "journal"][usize::from(name % 3)]);
        let mut bytes = std::fs::read(&file).unwrap();
        match cut {
            Some(cut) => bytes.truncate(cut % bytes.len()),
            None if garbage.len() > 40 => bytes.clone_from(&garbage),
            None => {
                let at = at % bytes.len();
                bytes[at] ^= 1 << (bit % 8);
            }
        }
        std::fs::write(&file, &bytes).unwrap();
        match Files::open(&folder.0, "a", 2) {
            // A journal may end within its last record, which was not acknowledged.
            Ok((_, contents)) => {
                let whole = [entry(2), entry(3)];
                contents.id.storage == 1
                    && contents.snapshot == snapshot()
                    && whole.starts_with(&contents.records)
                    && name % 3 == 2
            }
            Err(error) => error.kind() != ErrorKind::NotFound,
        }
    }
}
