//! A disk in memory that fails on demand.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use persimmonbend_replica::id::Id;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;

/// Which part of a write reaches the disk before the write fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing reaches the disk.
    Before,
    /// Only the first part does: the snapshot, if the write replaces snapshot and journal.
    Within,
    /// Everything does, but the writer gets an error.
    After,
}

/// A disk that outlives the crash of its replica; clones share the contents.
#[derive(Debug, Clone)]
pub struct Disk {
    contents: Rc<RefCell<Contents>>,
    failure: Rc<RefCell<Option<Failure>>>,
}

impl Disk {
    pub fn new(host: &str, storage: u64) -> Self {
        let contents = Contents {
            id: Id {
                host: host.to_owned(),
                storage,
            },
            snapshot: Snapshot::default(),
            records: Vec::new(),
        };
        Self {
            contents: Rc::new(RefCell::new(contents)),
            failure: Rc::new(RefCell::new(None)),
        }
    }

    pub fn contents(&self) -> Contents {
        self.contents.borrow().clone()
    }

    pub fn set_failure(&self, failure: Option<Failure>) {
        *self.failure.borrow_mut() = failure;
    }

    fn outcome(&self) -> io::Result<()> {
        match *self.failure.borrow() {
            Some(_) => Err(io::Error::other("the disk failed")),
            None => Ok(()),
        }
    }

    fn reaches(&self, cases: &[Failure]) -> bool {
        self.failure.borrow().is_none_or(|one| cases.contains(&one))
    }
}

impl Storage for Disk {
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if self.reaches(&[Failure::After]) {
            self.contents
                .borrow_mut()
                .records
                .extend_from_slice(records);
        }
        self.outcome()
    }

    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()> {
        if self.reaches(&[Failure::Within, Failure::After]) {
            self.contents.borrow_mut().snapshot = snapshot.clone();
        }
        if self.reaches(&[Failure::After]) {
            self.contents.borrow_mut().records = records.to_vec();
        }
        self.outcome()
    }
}
