//! Recovery of a replica whose storage fails for a while.

mod disk;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use pb_control::node::Halt;
use pb_control::node::Node;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::clock::Manual;
use persimmonbend_core::machine::Command;
use persimmonbend_core::machine::Published;
use persimmonbend_core::publication::Publication;
use persimmonbend_core::publication::Version;

use crate::disk::Disk;

fn publication(version: Version) -> Command {
    let publication = Publication {
        version: Some(version),
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

fn version(node: &Node) -> Option<Version> {
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
    let node = Node::open_with(Box::new(disk.clone()), &disk::settings(), shared)
        .expect("the storage works");
    advance_for(&node, &clock, Duration::from_secs(3)).expect("the storage works");
    assert!(node.is_leader());
    publish(&node, &clock, 5).await;
    assert_eq!(version(&node), Some(5));

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
    assert_eq!(version(&node), Some(5));
    publish(&node, &clock, 7).await;
    assert_eq!(version(&node), Some(7));
}

#[test]
fn damaged_storage_is_not_recoverable() {
    let damaged = Halt::Storage(io::ErrorKind::InvalidData.into());
    assert!(!damaged.is_recoverable());
    assert!(Halt::Removed.is_recoverable());
}
