//! Tokens of other hosts, for a host that cannot ask the issuer.
//!
//! The host that lends spends a token of its own, so the rate of the tenant holds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::timeout;
use log::debug;
use persimmonbend_core::quota::Account;
use persimmonbend_wire::error::Error;
use rand::seq::IteratorRandom;

use crate::node::Node;

/// Time for another host to lend.
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);

/// Hosts that are asked for one request.
const HOSTS_ASKED: usize = 2;

/// Requests that borrow at a time.
const MAX_BORROWING: usize = 64;

/// Borrows a token and returns whether one was lent.
pub(super) async fn borrow(node: &Rc<Node>, account: &Account) -> bool {
    let Some(_borrowing) = Borrowing::new(node) else {
        return false;
    };
    for address in others(node) {
        let asked = timeout(BORROW_TIMEOUT, ask(node, address, account)).await;
        match asked.unwrap_or(Err(Error::Timeout)) {
            Ok(true) => return true,
            Ok(false) => {}
            Err(error) => {
                debug!("rates: {address} lends nothing: {error}");
                node.links().remove(address);
            }
        }
    }
    false
}

async fn ask(node: &Rc<Node>, address: SocketAddr, account: &Account) -> Result<bool, Error> {
    let link = node.links().link(node, address).await?;
    link.peer()?.lend(account, BORROW_TIMEOUT).await
}

/// Returns the addresses of some other hosts that are alive.
fn others(node: &Node) -> Vec<SocketAddr> {
    let board = node.board();
    let own = &node.settings().host;
    let others = board
        .hosts()
        .values()
        .filter(|host| host.is_live() && host.announcement.id != *own);
    let addresses = others.map(|host| host.announcement.peers);
    addresses.sample(&mut *node.rng(), HOSTS_ASKED)
}

/// Counts a request that borrows until it is dropped.
struct Borrowing<'a>(&'a Node);

impl<'a> Borrowing<'a> {
    fn new(node: &'a Node) -> Option<Self> {
        let count = &node.rates().borrowing;
        if count.get() >= MAX_BORROWING {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(node))
    }
}

impl Drop for Borrowing<'_> {
    fn drop(&mut self) {
        let count = &self.0.rates().borrowing;
        count.set(count.get() - 1);
    }
}
