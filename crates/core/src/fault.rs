//! Faults found by the validation of documents, such as service files and settings.
//!
//! Validation collects every [`Fault`] of a document; the code that reads the document adds the
//! file and the line.

use std::fmt;
use std::net::SocketAddr;

/// An invalid field of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, as in `routes[2].prefix`.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.reason)
    }
}

/// The faults of a document.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Returns the faults in the order in which they were found.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.0
    }

    /// Adds a fault.
    pub fn add<F: Into<String>, R: Into<String>>(&mut self, field: F, reason: R) {
        self.0.push(Fault {
            field: field.into(),
            reason: reason.into(),
        });
    }

    /// Adds a fault unless `holds` is true.
    pub fn require(&mut self, holds: bool, field: &str, reason: &str) {
        if !holds {
            self.add(field, reason);
        }
    }

    /// Parses a value from text and adds a fault if that fails.
    pub fn parse<T: std::str::FromStr>(
        &mut self,
        text: &str,
        field: &str,
        reason: &str,
    ) -> Option<T> {
        let parsed = text.parse().ok();
        self.require(parsed.is_some(), field, reason);
        parsed
    }

    /// Parses an address with a port and adds a fault if that fails.
    pub fn address(&mut self, text: &str, field: &str) -> Option<SocketAddr> {
        self.parse(text, field, "must be an IP address with a port")
    }

    /// Parses a list of addresses and adds a fault for each that is malformed or a duplicate.
    pub fn addresses(&mut self, texts: &[String], field: &str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            let field = format!("{field}[{index}]");
            let Some(address) = self.address(text, &field) else {
                continue;
            };
            self.require(!addresses.contains(&address), &field, "duplicate address");
            addresses.push(address);
        }
        addresses
    }

    /// Returns `value` unless faults were found.
    ///
    /// # Errors
    ///
    /// Returns the faults.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}
