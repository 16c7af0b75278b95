//! Recovery of a replica whose storage fails for a while.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use pb_control::node::Halt;
use pb_control::node::Node;
use pb_control::node::opener::Opener;
use pb_control::settings::Settings;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::dispatch::Balance;
use persimmonbend_core::dispatch::Policy;
use persimmonbend_core::dispatch::Retries;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Published;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::settings::Limits;
use persimmonbend_replica::storage::Contents;
use persimmonbend_replica::storage::Record;
use persimmonbend_replica::storage::Snapshot;
use persimmonbend_replica::storage::Storage;
use persimmonbend_wire::handshake::Secret;

/// In-memory storage that can be made full.
#[derive(Debug, Clone)]
struct Disk {
    contents: Rc<RefCell<Contents>>,
    full: Rc<Cell<bool>>,
}

impl Disk {
    fn new() -> Self {
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

fn settings() -> Settings {
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
            initial_balance: Balance::Share(1.0),
            is_first_dispatcher: true,
            floor: 0.7,
            hedge_share: None,
        },
        zones: BTreeSet::new(),
        limits: Limits::default(),
    }
}

fn publication(version: Version) -> Command {
    let publication = Publication {
        version,
        ..Publication::default()
    };
    Command::Publish {
        published: Rc::new(Published {
            publication: Rc::new(publication),
            document: format!("document {version}"),
        }),
    }
}

fn advance_for(node: &Node, clock: &Manual, time: Duration) -> Result<(), Halt> {
    let step = Duration::from_millis(20);
    let mut passed = Duration::ZERO;
    while passed < time {
        clock.advance(step);
        passed += step;
        node.advance()?;
    }
    Ok(())
}

fn version(node: &Node) -> Version {
    node.read(|machine| machine.published().publication.version)
}

async fn publish(node: &Node, clock: &Manual, version: Version) {
    let proposing = node.propose(publication(version));
    let advancing = async {
        advance_for(node, clock, Duration::from_millis(100)).expect("the storage works");
    };
    let (reply, ()) = futures_util::join!(proposing, advancing);
    assert!(reply.is_ok(), "{reply:?}");
}

#[compio::test]
async fn a_replica_resumes_when_its_full_disk_has_space_again() {
    let clock = Rc::new(Manual::new());
    let disk = Disk::new();
    let shared: Rc<dyn Clock> = Rc::clone(&clock) as Rc<dyn Clock>;
    let node =
        Node::open_with(Box::new(disk.clone()), &settings(), shared).expect("the storage works");
    advance_for(&node, &clock, Duration::from_secs(3)).expect("the storage works");
    assert!(node.is_leader());
    publish(&node, &clock, 5).await;
    assert_eq!(version(&node), 5);

    disk.full.set(true);
    let halt = {
        let proposing = node.propose(publication(6));
        let advancing = async { advance_for(&node, &clock, Duration::from_millis(100)) };
        let (reply, result) = futures_util::join!(proposing, advancing);
        assert!(reply.is_err(), "what was not synced is not acknowledged");
        result.unwrap_err()
    };
    assert!(halt.is_recoverable(), "{halt}");
    assert!(!node.is_leader());
    assert!(node.reopen().is_err(), "the disk is still full");

    disk.full.set(false);
    node.reopen().expect("the storage works again");
    advance_for(&node, &clock, Duration::from_secs(5)).expect("the storage works again");
    assert!(node.is_leader());
    assert_eq!(version(&node), 5);
    publish(&node, &clock, 7).await;
    assert_eq!(version(&node), 7);
}

#[test]
fn damaged_storage_is_not_recoverable() {
    let damaged = Halt::Storage(io::ErrorKind::InvalidData.into());
    assert!(!damaged.is_recoverable());
    assert!(Halt::Removed.is_recoverable());
}
