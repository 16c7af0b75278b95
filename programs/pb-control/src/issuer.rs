//! Grants of rate tokens to hosts, issued by the leader.
//!
//! A seat gives one host a fixed share of every account; see [`persimmonbend_core::quota::Seat`].

use std::cell::RefCell;
use std::rc::Rc;

use log::info;
use persimmonbend_core::clock::Clock;
use persimmonbend_core::id::Incarnation;
use persimmonbend_core::machine::Command;
use persimmonbend_core::quota;
use persimmonbend_core::quota::Batch;
use persimmonbend_core::quota::Reply;
use serde_json::json;

use crate::error::Error;
use crate::leadership::Leadership;
use crate::leadership::Term;
use crate::node::Node;

/// The leader's answers to requests of hosts for rate tokens.
#[derive(Debug)]
pub struct Issuer {
    node: Rc<Node>,
    clock: Rc<dyn Clock>,
    seats: u32,
    current: RefCell<Option<Current>>,
}

/// The issuer of the current term.
#[derive(Debug)]
struct Current {
    /// Term of the replicated log.
    term: Term,
    issuer: quota::Issuer,
}

impl Issuer {
    /// Creates an issuer for a fleet of at most `seats` hosts.
    #[must_use]
    pub const fn new(node: Rc<Node>, clock: Rc<dyn Clock>, seats: u32) -> Self {
        Self {
            node,
            clock,
            seats,
            current: RefCell::new(None),
        }
    }

    /// Answers a host's batch of demands; gives the host a seat if it has none and one is free.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or cannot commit the seat of the host.
    pub async fn answer(&self, batch: &Batch) -> Result<Reply, Error> {
        self.node.require_leader()?;
        self.ensure_seat(&batch.host).await?;
        let Leadership::Leader { term, .. } = self.node.leadership() else {
            return Err(Error::NotLeader(self.node.leader_hint()));
        };
        let now = self.clock.now();
        let mut current = self.current.borrow_mut();
        let reply = self.node.read(|machine| {
            let seats = machine.seats();
            if current.as_ref().is_none_or(|known| known.term != term) {
                info!("rates: grants of term {term} begin");
                // A single replica keeps its term over a restart, so the issuer is told apart from
                // its predecessor by a random number.
                let issuer = quota::Issuer::new(rand::random(), seats.clone(), now);
                *current = Some(Current { term, issuer });
            }
            let issuer = &mut current.as_mut()?.issuer;
            issuer.set_seats(seats, machine.config(), now);
            Some(issuer.answer(batch, machine.config(), now))
        });
        reply.ok_or(Error::Unknown)
    }

    /// Frees the seat of a host, unless a later incarnation of the host has called.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or cannot commit the change.
    pub async fn vacate(&self, host: &str, incarnation: Incarnation) -> Result<(), Error> {
        self.node.require_leader()?;
        if self.incarnation(host) != Some(incarnation) {
            return Ok(());
        }
        let host = host.to_owned();
        self.node.propose(Command::Vacate { host }).await?;
        Ok(())
    }

    /// Returns the seats, the number of active accounts and the withheld shares as JSON.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let current = self.current.borrow();
        let issuer = current.as_ref().map(|current| &current.issuer);
        self.node.read(|machine| {
            json!({
                "seats": machine.seats().size(),
                "seats_taken": machine.seats().hosts(),
                "accounts_active": issuer.map_or(0, quota::Issuer::active_accounts),
                "shares_withheld": issuer.map(|issuer| issuer.withheld(now).collect::<Vec<_>>()),
            })
        })
    }

    fn incarnation(&self, host: &str) -> Option<Incarnation> {
        let current = self.current.borrow();
        current.as_ref()?.issuer.incarnation(host)
    }

    /// Gives a host a seat if it has none and one is free.
    async fn ensure_seat(&self, host: &str) -> Result<(), Error> {
        let needs_seat = self.node.read(|machine| {
            let seats = machine.seats();
            let is_full = seats.size() > 0 && seats.hosts().len() >= seats.size() as usize;
            !is_full && seats.get(host).is_none()
        });
        if needs_seat {
            let host = host.to_owned();
            let of = self.seats;
            self.node.propose(Command::Seat { host, of }).await?;
        }
        Ok(())
    }
}
