//! Bootstrap of a log, and requests to join one by replicas with empty disks.
//!
//! A replica without members sends a join request to all peers of its settings, and to the members
//! that it gets in answer. The peer whose host sorts first bootstraps the log once all others
//! answered from empty disks. Each answer names the storage that sent the request, so that an
//! answer does not count once that disk was wiped. A replica that has members records the request
//! and never bootstraps again, so that a wiped disk cannot begin a second log beside the first.

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

/// Largest number of hosts whose join requests a replica remembers.
const MAX_JOIN_REQUESTS: usize = 64;

/// Largest number of hosts that a replica without members asks beside the peers of its settings.
const MAX_CONTACTS: usize = 32;

/// The newest join request of a replica without members.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: Id,
    pub(super) address: String,
    /// When the request arrived.
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
    /// Bootstraps a log if all peers are ready, else sends join requests when they are due.
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

    /// Answers the join request of a replica without members.
    ///
    /// A member that missed the bootstrap gets the members of the snapshot, which are committed,
    /// and may vote with them. Its empty log keeps it from winning an election against replicas
    /// that hold earlier entries.
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
        let committed = &self.log.snapshot().members;
        if self.log.members().get(&request.id).is_none() {
            let host = request.id.host.clone();
            if self.join_requests.len() < MAX_JOIN_REQUESTS
                || self.join_requests.contains_key(&host)
            {
                self.join_requests.insert(host, request.clone());
            }
            let body = Body::Contacts(self.member_contacts());
            self.send(request.id, body);
        } else if committed.get(&request.id).is_some() {
            let body = Body::Bootstrap(committed.clone());
            self.send(request.id, body);
        }
    }

    pub(super) fn on_bootstrap(&mut self, members: Members) {
        if self.log.members().is_empty() && members.get(&self.id).is_some() {
            self.initialize(members);
            self.reset_deadline(self.clock.now());
        }
    }

    /// Remembers the hosts of members, so that a replica whose settings list old peers can join.
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

    fn record_empty_peer(&mut self, request: Request, is_answer: bool) {
        if !self.is_uninitialized() {
            return;
        }
        if is_answer {
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
        let sorts_first = peers.iter().all(|peer| self.id.host < peer.host);
        let all_answered = peers
            .iter()
            .all(|peer| self.empty_peers.contains_key(&peer.host));
        if !sorts_first || !all_answered || !self.is_uninitialized() {
            return;
        }
        let own_request = Request {
            id: self.id.clone(),
            address: self.settings.address.clone(),
            received_at: now,
        };
        let others = peers
            .iter()
            .filter_map(|peer| self.empty_peers.get(&peer.host));
        let initial_members = std::iter::once(own_request).chain(others.cloned());
        let list = initial_members
            .map(|one| one.into_member(Role::Voter))
            .collect();
        let members = Members::new(list);
        info!(
            "replica: bootstraps a log of {} members",
            members.list().len()
        );
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

    fn is_uninitialized(&self) -> bool {
        self.log.members().is_empty() && self.hard == Hard::default()
    }

    fn join_body(&self) -> Body {
        Body::Join {
            address: self.settings.address.clone(),
        }
    }
}
