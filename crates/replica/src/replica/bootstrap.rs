//! How a log begins, and how a replica with an empty disk asks to be taken in.
//!
//! A replica without members says hello to all that its settings list, and to the members that it
//! is told of in return. The first of the list
//! founds the log once all others answered it with empty disks of their own; its identity in the
//! answers keeps an answer to an earlier disk from counting. A replica that holds a log remembers
//! the hello as an application and never founds again, so that a wiped disk cannot begin a second
//! log beside the first.

use std::collections::BTreeSet;
use std::time::Instant;

use log::info;
use persimmonbend_core::id::HostId;

use crate::id::Id;
use crate::id::StorageId;
use crate::log::Log;
use crate::members::Member;
use crate::members::Members;
use crate::members::Role;
use crate::message::Body;
use crate::message::Contact;
use crate::message::Message;
use crate::replica::Replica;
use crate::storage::Hard;
use crate::storage::Snapshot;

/// Applications that a replica remembers.
const MAX_JOIN_REQUESTS: usize = 64;

/// Members that a replica without members remembers beyond those of its settings.
const MAX_CONTACTS: usize = 32;

/// A replica with an empty disk.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: Id,
    pub(super) address: String,
    /// When it last asked.
    pub(super) received_at: Instant,
}

impl Request {
    pub(super) fn into_member(self, role: Role) -> Member {
        Member {
            id: self.id,
            address: self.address,
            role,
        }
    }
}

impl Replica {
    pub(super) fn seek_members(&mut self, now: Instant) {
        self.try_bootstrap(now);
        if !self.log.members().is_empty() || now < self.join_due {
            return;
        }
        self.join_due = now + self.settings.limits.heartbeat_interval;
        let listed = self.settings.peers.iter().map(|peer| &peer.host);
        let hosts: BTreeSet<HostId> = listed.chain(&self.contacts).cloned().collect();
        for to in hosts {
            self.outbox.push(Message {
                from: self.id.clone(),
                to,
                storage: None,
                term: self.hard.term,
                body: self.join_body(),
            });
        }
    }

    /// Answers a replica without members.
    ///
    /// One that missed the founding is told committed members, with which it may vote; its empty
    /// log keeps it from winning an election against those who hold the entries before.
    pub(super) fn on_join(&mut self, from: Id, storage: Option<StorageId>, address: String) {
        let request = Request {
            id: from,
            address,
            received_at: self.clock.now(),
        };
        if self.log.members().is_empty() {
            self.record_empty_peer(request, storage.is_some());
            return;
        }
        let settled = &self.log.snapshot().members;
        if self.log.members().get(&request.id).is_none() {
            let host = request.id.host.clone();
            if self.join_requests.len() < MAX_JOIN_REQUESTS
                || self.join_requests.contains_key(&host)
            {
                self.join_requests.insert(host, request.clone());
            }
            let body = Body::Contacts(self.member_contacts());
            self.send(request.id, body);
        } else if settled.get(&request.id).is_some() {
            let body = Body::Bootstrap(settled.clone());
            self.send(request.id, body);
        }
    }

    pub(super) fn on_bootstrap(&mut self, members: Members) {
        if self.log.members().is_empty() && members.get(&self.id).is_some() {
            self.initialize(members);
            self.reset_deadline(self.clock.now());
        }
    }

    /// Remembers members that were told of, so that stale settings do not keep a replica out.
    pub(super) fn on_contacts(&mut self, contacts: Vec<Contact>) {
        for contact in contacts {
            if contact.host != self.id.host && self.contacts.len() < MAX_CONTACTS {
                self.contacts.insert(contact.host);
            }
        }
    }

    fn member_contacts(&self) -> Vec<Contact> {
        let members = self.log.members().list().iter();
        let contacts = members.map(|member| Contact {
            host: member.id.host.clone(),
            address: member.address.clone(),
        });
        contacts.collect()
    }

    fn record_empty_peer(&mut self, request: Request, answers_this_disk: bool) {
        if !self.is_blank() {
            return;
        }
        if answers_this_disk {
            self.empty_peers.insert(request.id.host.clone(), request);
        } else {
            let body = self.join_body();
            self.send(request.id, body);
        }
    }

    fn try_bootstrap(&mut self, now: Instant) {
        if !self.settings.may_bootstrap {
            return;
        }
        let peers = &self.settings.peers;
        let first = peers.iter().all(|peer| self.id.host < peer.host);
        let all = peers
            .iter()
            .all(|peer| self.empty_peers.contains_key(&peer.host));
        if !first || !all || !self.is_blank() {
            return;
        }
        let own = Request {
            id: self.id.clone(),
            address: self.settings.address.clone(),
            received_at: now,
        };
        let others = peers
            .iter()
            .filter_map(|peer| self.empty_peers.get(&peer.host));
        let founders = std::iter::once(own).chain(others.cloned());
        let list = founders.map(|one| one.into_member(Role::Voter)).collect();
        let members = Members::new(list);
        info!("replica: founds a log of {} members", members.list().len());
        self.initialize(members.clone());
        self.deadline = now;
        for member in members.list() {
            if member.id != self.id {
                self.send(member.id.clone(), Body::Bootstrap(members.clone()));
            }
        }
        self.empty_peers.clear();
    }

    fn initialize(&mut self, members: Members) {
        self.log = Log::new(Snapshot {
            members,
            ..Snapshot::default()
        });
        self.unsynced.replace = true;
    }

    fn is_blank(&self) -> bool {
        self.log.members().is_empty() && self.hard == Hard::default()
    }

    fn join_body(&self) -> Body {
        Body::Join {
            address: self.settings.address.clone(),
        }
    }
}
