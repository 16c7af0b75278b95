//! Rendezvous hashing: every process ranks a set of names for a subject in the same order.
//!
//! When a name is added or removed, only the subjects for which it ranks first get another name.
//!
//! ```
//! use persimmonbend_core::rendezvous;
//!
//! let first = rendezvous::first("herd", ["host-1", "host-2", "host-3"]);
//! assert_eq!(first, rendezvous::first("herd", ["host-3", "host-2", "host-1"]));
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a name for a subject; the highest ranks first.
#[must_use]
pub fn weight(subject: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(subject.as_bytes(), 0))
}

/// Returns the name that ranks first for a subject.
pub fn first<'a, I>(subject: &str, names: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    names
        .into_iter()
        .max_by_key(|name| (weight(subject, name), *name))
}

/// Returns the names ordered by their rank for a subject.
#[must_use]
pub fn rank<'a, I>(subject: &str, names: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<&str> = names.into_iter().collect();
    ranked.sort_by_key(|name| std::cmp::Reverse((weight(subject, name), *name)));
    ranked
}
