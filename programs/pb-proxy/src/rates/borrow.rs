//! Borrowing of tokens from other hosts while the issuer does not reply.
//!
//! The lending host spends one of its own tokens, so the tenant stays within its rate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use log::debug;
use persimmonbend_core::quota::Account;
use persimmonbend_wire::error::Error;
use rand::seq::IteratorRandom;

use crate::node::Node;

/// Time limit for the answer of another host.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);

/// Most hosts that are asked to lend a token for one request.
const MAX_HOSTS_ASKED: usize = 2;

/// Most requests that borrow a token at the same time.
const MAX_BORROWING: usize = 64;

/// Asks other hosts for a token and returns whether one was lent.
pub(super) async fn borrow(node: &Rc<Node>, account: &Account) -> bool {
    let Some(_permit) = Permit::new(node) else {
        return false;
    };
    for address in sample_hosts(node) {
        let asked = timeout(BORROW_TIMEOUT, request_token(node, address, account)).await;
        match asked.unwrap_or(Err(Error::Timeout)) {
            Ok(true) => return true,
            Ok(false) => {}
            Err(error) => {
                debug!("rates: cannot borrow a token from {address}: {error}");
                node.links().remove(address);
            }
        }
    }
    false
}

async fn request_token(
    node: &Rc<Node>,
    address: SocketAddr,
    account: &Account,
) -> Result<bool, Error> {
    let link = node.links().link(node, address).await?;
    link.peer()?.lend(account, BORROW_TIMEOUT).await
}

/// Returns the addresses of a random sample of other live hosts.
fn sample_hosts(node: &Node) -> Vec<SocketAddr> {
    let board = node.board();
    let own = &node.settings().host;
    let others = board
        .hosts()
        .values()
        .filter(|host| host.is_live() && host.announcement.id != *own);
    let addresses = others.map(|host| host.announcement.peers);
    addresses.sample(&mut *node.rng(), MAX_HOSTS_ASKED)
}

/// Permission to borrow, counted against [`MAX_BORROWING`] until dropped.
struct Permit<'a>(&'a Node);

impl<'a> Permit<'a> {
    fn new(node: &'a Node) -> Option<Self> {
        let count = &node.rates().borrowing;
        if count.get() >= MAX_BORROWING {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(node))
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let count = &self.0.rates().borrowing;
        count.set(count.get() - 1);
    }
}
