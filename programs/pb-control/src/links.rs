//! Messages to the other replicas.
//!
//! Each other replica has a queue and a task that sends the queue in batches over one link. A batch
//! that is not acknowledged in time closes the link, so that a silent connection is dialled again.
//! Messages may be lost; the replication protocol sends them again where needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use compio::runtime::spawn;
use event_listener::Event;
use log::info;
use persimmonbend_core::id::HostId;
use persimmonbend_core::machine::OWN_COMMANDS;
use persimmonbend_replica::message::Body;
use persimmonbend_replica::message::Message;
use persimmonbend_wire::control::Client;
use persimmonbend_wire::error::Error;
use persimmonbend_wire::handshake::Secret;
use persimmonbend_wire::link::Link;

use crate::node::Node;
use crate::settings::Settings;

/// Most messages queued for one replica; the oldest are dropped first.
const MAX_QUEUE: usize = 256;

/// Most addresses kept of replicas that are in neither the settings nor the member list.
const MAX_LEARNED_ADDRESSES: usize = 256;

/// Time within which a batch must be acknowledged.
const BATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause before a failed link is dialled again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Links to the other replicas.
pub struct Links {
    node: Rc<Node>,
    secret: Secret,
    host: HostId,
    configured: BTreeMap<HostId, SocketAddr>,
    learned: RefCell<BTreeMap<HostId, SocketAddr>>,
    queues: RefCell<BTreeMap<HostId, Rc<Queue>>>,
}

struct Queue {
    messages: RefCell<VecDeque<Message>>,
    filled: Event,
    _sender: RefCell<Option<JoinHandle<()>>>,
}

impl Links {
    /// Creates the links; each is dialled when its first message is queued.
    #[must_use]
    pub fn new(node: Rc<Node>, settings: &Settings) -> Self {
        let configured = settings.replicas.iter();
        Self {
            node,
            secret: settings.secret.clone(),
            host: settings.host.clone(),
            configured: configured
                .map(|replica| (replica.host.clone(), replica.address))
                .collect(),
            learned: RefCell::new(BTreeMap::new()),
            queues: RefCell::new(BTreeMap::new()),
        }
    }

    /// Records the address in a join request, or those of members that a contact list names.
    pub fn record_addresses(&self, message: &Message) {
        match &message.body {
            Body::Join { address } => self.record_address(&message.from.host, address),
            Body::Contacts(contacts) => {
                for contact in contacts {
                    self.record_address(&contact.host, &contact.address);
                }
            }
            _ => {}
        }
    }

    fn record_address(&self, host: &HostId, address: &str) {
        let mut learned = self.learned.borrow_mut();
        if let Ok(address) = address.parse()
            && (learned.len() < MAX_LEARNED_ADDRESSES || learned.contains_key(host))
        {
            learned.insert(host.clone(), address);
        }
    }

    /// Queues a message for the replica that it is addressed to.
    pub fn send(self: &Rc<Self>, message: Message) {
        let queue = self.queue(&message.to);
        let mut messages = queue.messages.borrow_mut();
        if messages.len() >= MAX_QUEUE {
            messages.pop_front();
        }
        messages.push_back(message);
        queue.filled.notify(usize::MAX);
    }

    fn queue(self: &Rc<Self>, host: &HostId) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get(host) {
            return Rc::clone(queue);
        }
        let queue = Rc::new(Queue {
            messages: RefCell::new(VecDeque::new()),
            filled: Event::new(),
            _sender: RefCell::new(None),
        });
        let sender = Rc::clone(self).run_queue(host.clone(), Rc::clone(&queue));
        *queue._sender.borrow_mut() = Some(spawn(sender));
        queues.insert(host.clone(), Rc::clone(&queue));
        queue
    }

    async fn run_queue(self: Rc<Self>, host: HostId, queue: Rc<Queue>) {
        let mut is_connected = false;
        loop {
            let error = match self.address(&host) {
                Some(address) => self.run_link(address, &queue, &mut is_connected).await,
                None => Error::Role,
            };
            if is_connected {
                info!("control: lost replica {host}: {error}");
                is_connected = false;
            }
            queue.messages.borrow_mut().clear();
            compio::time::sleep(RETRY_PAUSE).await;
            queue.wait_for_message().await;
        }
    }

    async fn run_link(&self, address: SocketAddr, queue: &Queue, is_connected: &mut bool) -> Error {
        let link = match Link::connect(address, &self.host, &self.secret).await {
            Ok(link) => link,
            Err(error) => return error,
        };
        let control = match link.control() {
            Ok(control) => control,
            Err(error) => return error,
        };
        loop {
            queue.wait_for_message().await;
            let batch = std::mem::take(&mut *queue.messages.borrow_mut());
            match self.send_batch(&control, &batch).await {
                Ok(()) => *is_connected = true,
                Err(error) => return error,
            }
        }
    }

    async fn send_batch(&self, control: &Client, batch: &VecDeque<Message>) -> Result<(), Error> {
        let batch = postcard::to_stdvec(&(batch, OWN_COMMANDS)).map_err(malformed)?;
        let reply = control.replicate(&batch, BATCH_TIMEOUT).await?;
        if !reply.is_empty() {
            let (reports, rest) = postcard::take_from_bytes(&reply).map_err(malformed)?;
            self.node.merge_reports(reports);
            // An older build sends nothing behind its reports.
            if !rest.is_empty() {
                let words = postcard::from_bytes(rest).map_err(malformed)?;
                self.node.merge_words(words);
            }
        }
        Ok(())
    }

    /// Returns the address of a replica from the settings, else from messages, else from the member
    /// list of the log.
    fn address(&self, host: &str) -> Option<SocketAddr> {
        if let Some(address) = self.configured.get(host) {
            return Some(*address);
        }
        if let Some(address) = self.learned.borrow().get(host) {
            return Some(*address);
        }
        let members = self.node.member_addresses();
        let member = members.iter().find(|(member, _)| member == host)?;
        member.1.parse().ok()
    }
}

impl Queue {
    async fn wait_for_message(&self) {
        while self.messages.borrow().is_empty() {
            let listener = self.filled.listen();
            if self.messages.borrow().is_empty() {
                listener.await;
            }
        }
    }
}

fn malformed<E: std::fmt::Display>(error: E) -> Error {
    Error::Malformed(error.to_string())
}
