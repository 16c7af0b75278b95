//! The configuration at a revision, built from the changes up to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;

use crate::config::Change;
use crate::config::Entry;
use crate::config::Order;
use crate::config::Outcome;
use crate::config::Service;
use crate::config::Submission;
use crate::config::Summary;
use crate::config::Tenant;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::id::UpstreamId;
use crate::key::Digest;

/// Number of latest changes that the history keeps; resends of these get their first outcome.
const MAX_HISTORY_LINES: usize = 1_024;

/// Number of sets of services kept for a roll-back, the one in force included.
const MAX_KEPT_PUBLICATIONS: usize = 16;

/// Maximum length of the name of a tenant in bytes.
const MAX_TENANT_NAME_BYTES: usize = 128;

/// A key, stored under its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Tenant that uses the key.
    pub tenant: TenantId,
    /// Label that the operator gave to the key.
    pub label: String,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// A set of services with the revision that put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Publication {
    revision: Revision,
    services: Rc<BTreeMap<ServiceId, Service>>,
}

/// The configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    revision: Revision,
    services: Rc<BTreeMap<ServiceId, Service>>,
    tenants: BTreeMap<TenantId, Tenant>,
    keys: BTreeMap<Digest, Key>,
    orders: BTreeMap<UpstreamId, Order>,
    history: VecDeque<Summary>,
    publications: VecDeque<Publication>,
}

impl State {
    /// Returns the revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the services by name.
    #[must_use]
    pub fn services(&self) -> &BTreeMap<ServiceId, Service> {
        &self.services
    }

    /// Returns the tenants by name.
    #[must_use]
    pub const fn tenants(&self) -> &BTreeMap<TenantId, Tenant> {
        &self.tenants
    }

    /// Returns the keys by digest.
    #[must_use]
    pub const fn keys(&self) -> &BTreeMap<Digest, Key> {
        &self.keys
    }

    /// Returns the orders of operators by upstream.
    #[must_use]
    pub const fn orders(&self) -> &BTreeMap<UpstreamId, Order> {
        &self.orders
    }

    /// Returns the latest changes, oldest first.
    #[must_use]
    pub const fn history(&self) -> &VecDeque<Summary> {
        &self.history
    }

    /// Returns the outcome that a submission would have, without applying it.
    ///
    /// A submission that can be applied gets [`Outcome::Accepted`] with the next revision. A resend
    /// of an accepted change gets the revision that the change made.
    #[must_use]
    pub fn evaluate(&self, submission: &Submission) -> Outcome {
        if let Some(earlier) = self
            .history
            .iter()
            .rev()
            .find(|line| line.id == submission.id)
        {
            return Outcome::Accepted {
                revision: earlier.revision,
            };
        }
        if let Some(base) = submission.base
            && base != self.revision
        {
            return self.conflict(base);
        }
        match self.check(&submission.change) {
            Ok(()) => Outcome::Accepted {
                revision: self.revision + 1,
            },
            Err(reason) => Outcome::Invalid { reason },
        }
    }

    /// Applies an entry if its revision is the next one, and returns whether it was.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if entry.revision != self.revision + 1 {
            return false;
        }
        self.revision = entry.revision;
        self.execute(&entry.submission.change);
        self.history.push_back(Summary {
            revision: entry.revision,
            id: entry.submission.id.clone(),
            operator: entry.submission.operator.clone(),
            text: entry.submission.change.describe(),
        });
        if self.history.len() > MAX_HISTORY_LINES {
            self.history.pop_front();
        }
        true
    }

    fn conflict(&self, base: Revision) -> Outcome {
        let since = self.history.iter().filter(|line| line.revision > base);
        Outcome::Conflict {
            revision: self.revision,
            since: since.cloned().collect(),
        }
    }

    fn check(&self, change: &Change) -> Result<(), String> {
        match change {
            Change::Publish { services } => check_services(services),
            Change::Rollback { to } => match self.publication(*to) {
                Some(_) => Ok(()),
                None => Err(format!("the services of revision {to} are not kept")),
            },
            Change::SetTenant { tenant } => check_tenant(tenant),
            Change::RemoveTenant { tenant } | Change::IssueKey { tenant, .. }
                if !self.tenants.contains_key(tenant) =>
            {
                Err(format!("there is no tenant {tenant}"))
            }
            Change::IssueKey { digest, .. } if self.keys.contains_key(digest) => {
                Err("the key exists already".to_owned())
            }
            Change::WithdrawKey { digest } if !self.keys.contains_key(digest) => {
                Err("there is no such key".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn execute(&mut self, change: &Change) {
        match change {
            Change::Publish { services } => {
                let services = services.iter().map(|one| (one.name.clone(), one.clone()));
                self.put_services(Rc::new(services.collect()));
            }
            Change::Rollback { to } => {
                if let Some(services) = self.publication(*to) {
                    self.put_services(services);
                }
            }
            Change::SetTenant { tenant } => {
                self.tenants.insert(tenant.id.clone(), tenant.clone());
            }
            Change::RemoveTenant { tenant } => {
                self.tenants.remove(tenant);
                for key in self.keys.values_mut().filter(|key| &key.tenant == tenant) {
                    key.withdrawn = true;
                }
            }
            Change::IssueKey {
                digest,
                tenant,
                label,
            } => {
                self.keys.entry(*digest).or_insert_with(|| Key {
                    tenant: tenant.clone(),
                    label: label.clone(),
                    withdrawn: false,
                });
            }
            Change::WithdrawKey { digest } => {
                if let Some(key) = self.keys.get_mut(digest) {
                    key.withdrawn = true;
                }
            }
            Change::Steer { upstream, order } => match order {
                Order::Restore => {
                    self.orders.remove(upstream);
                }
                Order::Drain | Order::Eject => {
                    self.orders.insert(upstream.clone(), *order);
                }
            },
        }
    }

    fn put_services(&mut self, services: Rc<BTreeMap<ServiceId, Service>>) {
        self.services = Rc::clone(&services);
        self.publications.push_back(Publication {
            revision: self.revision,
            services,
        });
        if self.publications.len() > MAX_KEPT_PUBLICATIONS {
            self.publications.pop_front();
        }
    }

    fn publication(&self, revision: Revision) -> Option<Rc<BTreeMap<ServiceId, Service>>> {
        let newest_first = self.publications.iter().rev();
        let mut up_to = newest_first.skip_while(|one| one.revision > revision);
        up_to.next().map(|one| Rc::clone(&one.services))
    }
}

fn check_services(services: &[Service]) -> Result<(), String> {
    let mut names = BTreeSet::new();
    let mut prefixes = BTreeMap::new();
    for service in services {
        if !names.insert(&service.name) {
            return Err(format!("service {} comes twice", service.name));
        }
        if !(0.0..=1.0).contains(&service.floor) {
            return Err(format!(
                "service {}: floor must be from 0 to 1",
                service.name
            ));
        }
        for route in &service.routes {
            if let Some(other) = prefixes.insert((&route.prefix, &route.methods), &service.name) {
                return Err(format!(
                    "services {other} and {} both claim {}",
                    service.name, route.prefix
                ));
            }
        }
    }
    Ok(())
}

fn check_tenant(tenant: &Tenant) -> Result<(), String> {
    if tenant.id.is_empty() {
        return Err("the tenant needs a name".to_owned());
    }
    if tenant.id.len() > MAX_TENANT_NAME_BYTES {
        return Err(format!(
            "the name of a tenant has at most {MAX_TENANT_NAME_BYTES} bytes"
        ));
    }
    if !tenant.rate.per_second.is_finite() || tenant.rate.per_second <= 0.0 {
        return Err(format!("tenant {}: per_second must be above 0", tenant.id));
    }
    if tenant.rate.burst == 0 {
        return Err(format!("tenant {}: burst must be at least 1", tenant.id));
    }
    Ok(())
}
