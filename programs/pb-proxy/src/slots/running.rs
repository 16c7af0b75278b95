//! Running reservations of this host, and the stewards that count them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use persimmonbend_core::health::Evidence;
use persimmonbend_core::id::HostId;
use persimmonbend_core::id::ServiceId;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::id::UpstreamId;
use persimmonbend_core::id::Zone;
use persimmonbend_core::steward::Hold;
use persimmonbend_wire::slots::Frame;

use crate::slots::Criteria;
use crate::slots::Report;

/// The slot that a running reservation uses.
#[derive(Debug, Clone)]
pub struct Allocation {
    /// Service of the upstream.
    pub service: ServiceId,
    /// Tenant of the request, if a key came with it.
    pub tenant: Option<TenantId>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Stewards that count the slot as used: one that granted it, and those it was reported to.
    pub reported_to: Vec<HostId>,
}

impl Allocation {
    /// Creates the allocation of a slot that a steward granted.
    #[must_use]
    pub fn granted(criteria: &Criteria<'_>, upstream: UpstreamId, steward: &HostId) -> Self {
        Self {
            reported_to: vec![steward.clone()],
            ..Self::unreported(criteria, upstream)
        }
    }

    /// Creates the allocation of a slot that no steward counts yet.
    #[must_use]
    pub fn unreported(criteria: &Criteria<'_>, upstream: UpstreamId) -> Self {
        Self {
            service: criteria.service.to_owned(),
            tenant: criteria.tenant.map(str::to_owned),
            upstream,
            reported_to: Vec::new(),
        }
    }

    /// Returns the frame that reports the slot to a steward on another host.
    #[must_use]
    pub fn frame(&self, number: u32) -> Frame {
        Frame::Hold {
            number,
            service: self.service.clone(),
            tenant: self.tenant.clone(),
            upstream: self.upstream.clone(),
        }
    }

    /// Returns the report of the slot to a steward on this host.
    #[must_use]
    pub fn hold(&self, zone: &Zone) -> Hold {
        Hold {
            zone: zone.clone(),
            tenant: self.tenant.clone(),
            upstream: self.upstream.clone(),
        }
    }

    /// Returns the outcome of the attempt as evidence on the upstream.
    #[must_use]
    pub fn evidence(&self, zone: &Zone, report: Report, latency: Duration) -> Evidence {
        Evidence {
            upstream: self.upstream.clone(),
            zone: zone.clone(),
            tenant: self.tenant.clone(),
            outcome: report.outcome,
            latency,
            reused: report.reused,
        }
    }
}

/// Running reservations by their number.
#[derive(Debug, Default)]
pub struct Running {
    allocations: RefCell<BTreeMap<u32, Allocation>>,
}

impl Running {
    /// Returns a reservation.
    #[must_use]
    pub fn get(&self, number: u32) -> Option<Allocation> {
        self.allocations.borrow().get(&number).cloned()
    }

    /// Returns the numbers of all reservations.
    #[must_use]
    pub fn numbers(&self) -> Vec<u32> {
        self.allocations.borrow().keys().copied().collect()
    }

    /// Returns whether a steward counts reservations of this host.
    #[must_use]
    pub fn any_reported_to(&self, steward: &HostId) -> bool {
        let allocations = self.allocations.borrow();
        allocations
            .values()
            .any(|allocation| allocation.reported_to.contains(steward))
    }

    /// Adds a reservation.
    pub fn insert(&self, number: u32, allocation: Allocation) {
        self.allocations.borrow_mut().insert(number, allocation);
    }

    /// Removes a reservation.
    pub fn remove(&self, number: u32) -> Option<Allocation> {
        self.allocations.borrow_mut().remove(&number)
    }

    /// Adds a steward to those that count a reservation.
    pub fn mark_reported(&self, number: u32, steward: &HostId) {
        if let Some(allocation) = self.allocations.borrow_mut().get_mut(&number) {
            allocation.reported_to.push(steward.clone());
        }
    }

    /// Removes a steward from those that count reservations, since its link was lost or is new.
    pub fn mark_unreported(&self, steward: &HostId) {
        for allocation in self.allocations.borrow_mut().values_mut() {
            allocation.reported_to.retain(|other| other != steward);
        }
    }
}
