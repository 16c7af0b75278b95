//! Seats of hosts, each of which has a fixed share of every account.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Rate;
use crate::id::HostId;
use crate::quota::Account;
use crate::rendezvous;

/// The right of one host to a fixed share of every account; the number of seats is fixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// Number of the seat, counted from 0.
    pub number: u32,
    /// Number of all seats, taken or not.
    pub of: u32,
}

impl Seat {
    /// Returns the share of an account that belongs to this seat.
    ///
    /// The shares of all seats add up to the rate and the burst. Tokens of the burst that cannot
    /// be split evenly go to seats that differ from account to account.
    #[must_use]
    pub fn share(self, account: &Account, rate: Rate) -> Share {
        if self.of == 0 || rate.burst == 0 {
            return Share::default();
        }
        let service = account.service.as_deref().unwrap_or_default();
        let first = rendezvous::weight(&account.tenant, service) % u64::from(self.of);
        let offset = (u64::from(self.number) + u64::from(self.of) - first) % u64::from(self.of);
        let extra = offset < u64::from(rate.burst % self.of);
        let burst = rate.burst / self.of + u32::from(extra);
        Share {
            burst,
            per_second: rate.per_second * f64::from(burst) / f64::from(rate.burst),
        }
    }
}

/// The share of a rate and burst that belongs to a seat.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Share {
    /// Whole tokens of the burst.
    pub burst: u32,
    /// Tokens per second.
    pub per_second: f64,
}

/// The seats of a fleet, kept in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Seats {
    size: u32,
    version: u64,
    hosts: BTreeMap<HostId, u32>,
}

impl Seats {
    /// Returns the number of all seats, taken or not; 0 before the first one is taken.
    #[must_use]
    pub const fn size(&self) -> u32 {
        self.size
    }

    /// Returns a number that rises with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hosts that have a seat, with its number.
    #[must_use]
    pub const fn hosts(&self) -> &BTreeMap<HostId, u32> {
        &self.hosts
    }

    /// Returns the seat of a host.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<Seat> {
        let number = *self.hosts.get(host)?;
        Some(Seat {
            number,
            of: self.size,
        })
    }

    /// Gives a host the first free seat unless it has one; the first call fixes the size.
    ///
    /// Returns `None` when all seats are taken.
    pub fn take(&mut self, host: &str, size: u32) -> Option<Seat> {
        if self.size == 0 {
            self.size = size;
        }
        if !self.hosts.contains_key(host) {
            let taken: BTreeSet<u32> = self.hosts.values().copied().collect();
            let free = (0..self.size).find(|number| !taken.contains(number))?;
            self.hosts.insert(host.to_owned(), free);
            self.version += 1;
        }
        self.get(host)
    }

    /// Frees the seat of a host that has stopped.
    pub fn vacate(&mut self, host: &str) {
        if self.hosts.remove(host).is_some() {
            self.version += 1;
        }
    }
}
