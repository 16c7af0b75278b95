//! Links to other proxies, opened on demand and closed when idle.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use persimmonbend_wire::error::Error;
use persimmonbend_wire::link::Link;

use crate::node::Node;

/// Time after which an unused link is closed.
const IDLE_LIFETIME: Duration = Duration::from_secs(30);

/// Most links that are kept open.
const MAX_LINKS: usize = 128;

/// Links by the address of the proxy.
#[derive(Default)]
pub struct Links {
    entries: RefCell<BTreeMap<SocketAddr, Entry>>,
}

struct Entry {
    link: Rc<Link>,
    last_used: Instant,
}

impl Links {
    /// Creates an empty set of links.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of links, some of which may have been closed by the other side.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns the link to a proxy, and opens one if there is none.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn link(&self, node: &Node, address: SocketAddr) -> Result<Rc<Link>, Error> {
        if let Some(link) = self.reuse(address, node.now()) {
            return Ok(link);
        }
        let settings = node.settings();
        let link = Rc::new(Link::connect(address, &settings.host, &settings.secret).await?);
        let entry = Entry {
            link: Rc::clone(&link),
            last_used: node.now(),
        };
        let mut entries = self.entries.borrow_mut();
        entries.insert(address, entry);
        if entries.len() > MAX_LINKS {
            remove_least_recently_used(&mut entries);
        }
        Ok(link)
    }

    /// Closes the link to a proxy.
    pub fn remove(&self, address: SocketAddr) {
        self.entries.borrow_mut().remove(&address);
    }

    /// Removes links that are closed or have been idle for too long.
    pub fn remove_expired(&self, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, entry| {
            entry.link.is_open() && now.duration_since(entry.last_used) < IDLE_LIFETIME
        });
    }

    /// Returns the link to a proxy if it is still open.
    fn reuse(&self, address: SocketAddr, now: Instant) -> Option<Rc<Link>> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&address)?;
        if !entry.link.is_open() {
            entries.remove(&address);
            return None;
        }
        entry.last_used = now;
        Some(Rc::clone(&entry.link))
    }
}

impl fmt::Debug for Links {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Links")
            .field("count", &self.count())
            .finish()
    }
}

fn remove_least_recently_used(entries: &mut BTreeMap<SocketAddr, Entry>) {
    let oldest = entries.iter().min_by_key(|(_, entry)| entry.last_used);
    if let Some(address) = oldest.map(|(address, _)| *address) {
        entries.remove(&address);
    }
}
