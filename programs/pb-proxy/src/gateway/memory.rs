//! The memory that this host holds for answers and request bodies, counted against its budget.
//!
//! A request takes a [`Hold`] for its body and one for its answer; dropping a hold frees what it has. Without
//! a budget holds count nothing and refuse nothing.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use event_listener::Event;
use event_listener::EventListener;
use persimmonbend_core::id::TenantId;
use persimmonbend_core::memory::Bound;
use persimmonbend_core::memory::Budget;

/// The bytes that this host holds.
#[derive(Debug)]
pub struct Memory {
    budget: Option<RefCell<Budget>>,
    freed: Event,
}

impl Memory {
    /// Creates the memory of a host that may hold `limit` bytes, or any number.
    #[must_use]
    pub fn new(limit: Option<u64>) -> Self {
        Self {
            budget: limit.map(|limit| RefCell::new(Budget::new(limit))),
            freed: Event::new(),
        }
    }

    /// Returns whether there is a budget.
    #[must_use]
    pub const fn is_bounded(&self) -> bool {
        self.budget.is_some()
    }

    /// Returns the bytes that are held, and those that may be.
    #[must_use]
    pub fn usage(&self) -> Option<(u64, u64)> {
        let budget = self.budget.as_ref()?.borrow();
        Some((budget.used(), budget.limit()))
    }

    /// Returns a hold of a tenant that has no bytes.
    #[must_use]
    pub fn hold(self: &Rc<Self>, tenant: Option<&TenantId>) -> Hold {
        Hold {
            memory: Rc::clone(self),
            tenant: tenant.cloned().unwrap_or_default(),
            bytes: Cell::new(0),
        }
    }
}

/// The bytes that one body or answer holds.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<Memory>,
    tenant: TenantId,
    bytes: Cell<u64>,
}

impl Hold {
    /// Returns the memory that this is a part of.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Returns the bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// Checks that an answer may hold more bytes.
    ///
    /// # Errors
    ///
    /// Returns the bound that it would exceed.
    pub fn check_answer(&self, more: usize) -> Result<(), Bound> {
        let Some(budget) = &self.memory.budget else {
            return Ok(());
        };
        let budget = budget.borrow();
        budget.check_answer(&self.tenant, self.bytes.get(), more as u64)
    }

    /// Adds bytes of a request body.
    ///
    /// # Errors
    ///
    /// Returns the bound that they would exceed, and adds none then.
    pub fn take_body(&self, bytes: usize) -> Result<(), Bound> {
        if let Some(budget) = &self.memory.budget {
            let budget = budget.borrow();
            budget.check_body(&self.tenant, self.bytes.get(), bytes as u64)?;
        }
        self.add(bytes);
        Ok(())
    }

    /// Adds bytes that are held already.
    pub fn add(&self, bytes: usize) {
        if let Some(budget) = &self.memory.budget {
            budget.borrow_mut().add(&self.tenant, bytes as u64);
            self.bytes.set(self.bytes.get() + bytes as u64);
        }
    }

    /// Frees bytes.
    pub fn give_back(&self, bytes: usize) {
        if let Some(budget) = &self.memory.budget {
            let bytes = self.bytes.get().min(bytes as u64);
            budget.borrow_mut().remove(&self.tenant, bytes);
            self.bytes.set(self.bytes.get() - bytes);
            self.memory.freed.notify(1);
        }
    }

    /// Returns a listener for bytes that are freed, by this hold or another.
    #[must_use]
    pub fn listen_for_freed(&self) -> EventListener {
        self.memory.freed.listen()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.give_back(usize::MAX);
    }
}
