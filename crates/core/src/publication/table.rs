//! Lookup of the route of a request by host and longest path prefix.

use std::collections::BTreeMap;

use crate::id::RouteId;
use crate::publication::Publication;

/// Routes of a publication by host and prefix.
#[derive(Debug, Clone, Default)]
pub struct Table {
    hosts: BTreeMap<String, BTreeMap<String, RouteId>>,
}

impl Table {
    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// A port after the host and the case of the host are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteId> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut end = path.rfind('/')?;
        loop {
            if let Some(route) = prefixes.get(&path[..=end]) {
                return Some(route);
            }
            end = path[..end].rfind('/')?;
        }
    }
}

impl From<&Publication> for Table {
    fn from(publication: &Publication) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, RouteId>> = BTreeMap::new();
        for (name, route) in &publication.routes {
            let host = route.host.to_ascii_lowercase();
            let prefixes = hosts.entry(host).or_default();
            prefixes.insert(route.prefix.clone(), name.clone());
        }
        Self { hosts }
    }
}

/// Returns whether a path holds a segment `.` or `..`, plain or percent-encoded.
///
/// An upstream may resolve such segments to a path of another route.
#[must_use]
pub fn has_dot_segment(path: &str) -> bool {
    path.split(['/', '\\']).any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        let plain = plain.split("%2f").flat_map(|part| part.split("%5c"));
        plain.into_iter().any(|part| part == "." || part == "..")
    })
}
