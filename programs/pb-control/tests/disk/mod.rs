//! Storage in memory, and the settings of a replica that uses it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use pb_control::node::opener::Opener;
use pb_control::settings::Settings;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::roster::admission::Bounds;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::settings::Limits;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;
use persimmonbend_wire::handshake::Secret;

/// In-memory storage that can be made full.
#[derive(Debug, Clone)]
pub struct Disk {
    pub contents: Rc<RefCell<Contents>>,
    pub full: Rc<Cell<bool>>,
}

impl Disk {
    pub fn new() -> Self {
        let id = Id {
            host: "control-1".to_owned(),
            storage: 7,
        };
        Self {
            contents: Rc::new(RefCell::new(Contents {
                id,
                snapshot: Snapshot::default(),
                records: Vec::new(),
            })),
            full: Rc::default(),
        }
    }

    fn check(&self) -> io::Result<()> {
        if self.full.get() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl Opener for Disk {
    fn open(&self) -> io::Result<(Box<dyn Storage>, Contents)> {
        Ok((Box::new(self.clone()), self.contents.borrow().clone()))
    }

    fn discard(&self) -> io::Result<()> {
        self.check()
    }
}

impl Storage for Disk {
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        self.check()?;
        self.contents
            .borrow_mut()
            .records
            .extend_from_slice(records);
        Ok(())
    }

    fn replace(&mut self, snapshot: &Snapshot, records: &[Record]) -> io::Result<()> {
        self.check()?;
        let mut contents = self.contents.borrow_mut();
        contents.snapshot = snapshot.clone();
        contents.records = records.to_vec();
        Ok(())
    }
}

pub fn settings() -> Settings {
    Settings {
        host: "control-1".to_owned(),
        zone: None,
        listen: "127.0.0.1:1".parse().expect("a valid address"),
        data: "unused".into(),
        secret: Secret::from("a secret of the test".to_owned()),
        seats: 1,
        replicas: Vec::new(),
        may_bootstrap: true,
        voters: None,
        policy: Policy {
            retries: Retries {
                ratio: 0.1,
                burst: 1.0,
            },
            max_silence: Duration::from_secs(6),
            contact: Duration::from_secs(3),
            initial_balance: Balance::Share(1.0),
            is_first_dispatcher: true,
            floor: 0.7,
            hedge_share: None,
        },
        announcements: Bounds::default(),
        zones: BTreeSet::new(),
        limits: Limits::default(),
    }
}
