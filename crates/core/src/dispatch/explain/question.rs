//! What operators ask, and the error about a name that is not known.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::RouteId;
use crate::id::TenantId;
use crate::id::Zone;

/// Most known names that an error lists.
const MAX_LISTED: usize = 20;

/// A request whose placement is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Question {
    /// Route of the request.
    pub route: RouteId,
    /// Tenant of the request, if a key would come with it.
    #[serde(default)]
    pub tenant: Option<TenantId>,
    /// Zone of the host that the request arrives at; none if it is unknown.
    #[serde(default)]
    pub zone: Option<Zone>,
    /// Host that the request arrives at; without it, what concerns single hosts is left out.
    #[serde(default)]
    pub host: Option<HostId>,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: u32,
    /// Whether an upstream has received the request before.
    #[serde(default)]
    pub is_repeat: bool,
}

/// A name in a question that is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    /// What the name stands for, such as "route".
    pub subject: &'static str,
    /// The name.
    pub value: String,
    /// Known names, not more than an error lists.
    pub known: Vec<String>,
    /// Number of further known names.
    pub others: usize,
}

impl Unknown {
    /// Creates the error about a name that is none of the known ones.
    pub fn new<'a, I>(subject: &'static str, value: &str, known: I) -> Self
    where
        I: IntoIterator<Item = &'a String>,
    {
        let mut known = known.into_iter();
        let listed = known.by_ref().take(MAX_LISTED).cloned().collect();
        Self {
            subject,
            value: value.to_owned(),
            known: listed,
            others: known.count(),
        }
    }
}

impl fmt::Display for Unknown {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (subject, value) = (self.subject, &self.value);
        write!(formatter, "{subject} {value} is unknown; ")?;
        if self.known.is_empty() {
            return write!(formatter, "no {subject} is known");
        }
        write!(formatter, "expected one of: {}", self.known.join(", "))?;
        if self.others > 0 {
            write!(formatter, " and {} more", self.others)?;
        }
        Ok(())
    }
}

impl std::error::Error for Unknown {}
