//! Lookup of the routes of a request by path prefix.

use std::collections::BTreeMap;

use crate::config::Route;
use crate::config::State;
use crate::id::ServiceId;

/// A route together with the service that owns it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Service whose upstreams run the request.
    pub service: ServiceId,
    /// The route.
    pub route: Route,
}

/// Routes by path prefix; the longest prefix that ends at a segment boundary wins.
#[derive(Debug, Clone, Default)]
pub struct Table {
    prefixes: BTreeMap<String, Vec<Target>>,
}

impl Table {
    /// Returns the routes with the longest prefix of `path`.
    ///
    /// Routes with different methods can share a prefix.
    #[must_use]
    pub fn find(&self, path: &str) -> &[Target] {
        let mut prefix = path;
        loop {
            if let Some(targets) = self.prefixes.get(prefix) {
                return targets;
            }
            prefix = match prefix.rfind('/') {
                Some(0) if prefix.len() > 1 => "/",
                Some(cut) if cut > 0 => &prefix[..cut],
                _ => return &[],
            };
        }
    }
}

impl From<&State> for Table {
    fn from(state: &State) -> Self {
        let mut prefixes: BTreeMap<String, Vec<Target>> = BTreeMap::new();
        for service in state.services().values() {
            for route in &service.routes {
                let target = Target {
                    service: service.name.clone(),
                    route: route.clone(),
                };
                prefixes
                    .entry(normal(&route.prefix))
                    .or_default()
                    .push(target);
            }
        }
        Self { prefixes }
    }
}

fn normal(prefix: &str) -> String {
    match prefix.trim_end_matches('/') {
        "" => "/".to_owned(),
        trimmed => trimmed.to_owned(),
    }
}
