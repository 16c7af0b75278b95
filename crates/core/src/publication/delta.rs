//! The difference between two publications.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::RouteId;
use crate::id::ServiceId;
use crate::id::TenantId;
use crate::publication::Limits;
use crate::publication::Publication;
use crate::publication::Route;
use crate::publication::Service;
use crate::publication::Tenant;
use crate::publication::Terms;
use crate::publication::Version;

/// Added or changed items by name; `None` stands for a removed item.
pub type Changes<T> = BTreeMap<String, Option<T>>;

/// The changes that lead from one publication to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta applies to if `has_base` is set, and 0 otherwise.
    from: Version,
    to: Version,
    routes: Changes<Route>,
    services: Changes<Service>,
    tenants: Changes<Tenant>,
    limits: Option<Limits>,
    /// Builds before this field neither send nor read it, nor what follows.
    #[serde(with = "terms")]
    terms: Changes<Terms>,
    /// Whether the delta applies to a publication. Builds before this field send none; a delta of theirs from
    /// version 0 applies before the first publication.
    #[serde(deserialize_with = "flag::or_unset")]
    has_base: bool,
}

impl Delta {
    /// Returns the changes that lead from `old` to `new`, or `None` if nothing was published with `new`.
    #[must_use]
    pub fn between(old: &Publication, new: &Publication) -> Option<Self> {
        Some(Self {
            from: old.version.unwrap_or_default(),
            to: new.version?,
            routes: changes::<RouteId, _>(&old.routes, &new.routes),
            services: changes::<ServiceId, _>(&old.services, &new.services),
            tenants: changes::<TenantId, _>(&old.tenants, &new.tenants),
            limits: (old.limits != new.limits).then_some(new.limits),
            terms: changes::<ServiceId, _>(&old.terms, &new.terms),
            has_base: old.version.is_some(),
        })
    }

    /// Returns the version that the delta applies to, `None` for one from before the first publication.
    #[must_use]
    pub const fn base(&self) -> Option<Version> {
        if self.has_base || self.from > 0 {
            Some(self.from)
        } else {
            None
        }
    }

    /// Returns the version that the delta leads to.
    #[must_use]
    pub const fn to(&self) -> Version {
        self.to
    }

    /// Applies the delta to `old` and returns the new publication.
    ///
    /// Returns `None` if the delta starts from another version or leads to no higher one.
    #[must_use]
    pub fn apply(self, old: &Publication) -> Option<Publication> {
        if self.base() != old.version || Some(self.to) <= old.version {
            return None;
        }
        let mut new = old.clone();
        new.version = Some(self.to);
        merge(&mut new.routes, self.routes);
        merge(&mut new.services, self.services);
        merge(&mut new.tenants, self.tenants);
        new.limits = self.limits.unwrap_or(new.limits);
        merge(&mut new.terms, self.terms);
        Some(new)
    }
}

fn changes<K, T>(old: &BTreeMap<K, T>, new: &BTreeMap<K, T>) -> Changes<T>
where
    K: Ord + Clone + Into<String>,
    T: Clone + PartialEq,
{
    let put = new
        .iter()
        .filter(|(name, item)| old.get(*name) != Some(*item));
    let put = put.map(|(name, item)| (name.clone().into(), Some(item.clone())));
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    let gone = gone.map(|name| (name.clone().into(), None));
    put.chain(gone).collect()
}

fn merge<T>(items: &mut BTreeMap<String, T>, changes: Changes<T>) {
    for (name, change) in changes {
        match change {
            Some(item) => {
                items.insert(name, item);
            }
            None => {
                items.remove(&name);
            }
        }
    }
}

/// A flag behind the fields of builds that do not send it.
mod flag {
    use serde::Deserialize;
    use serde::Deserializer;

    /// Reads a flag; it is not set where a delta of an older build ends before it.
    pub fn or_unset<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
        Ok(bool::deserialize(deserializer).unwrap_or_default())
    }
}

/// The encoding of changed terms: text that names its fields.
mod terms {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error as _;
    use serde::ser::Error as _;

    use super::Changes;
    use super::Terms;

    pub fn serialize<S: Serializer>(
        terms: &Changes<Terms>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let text = serde_json::to_string(terms).map_err(S::Error::custom)?;
        serializer.serialize_str(&text)
    }

    /// Reads changed terms; there are none where a delta of an older build ends before them.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Changes<Terms>, D::Error> {
        let Ok(text) = String::deserialize(deserializer) else {
            return Ok(Changes::new());
        };
        serde_json::from_str(&text).map_err(D::Error::custom)
    }
}
