//! Codes of values by their position in a list.

use persimmonbend_core::health::Outcome;

use crate::error::Error;

/// Outcomes of attempts, ordered by code.
pub const OUTCOMES: [Outcome; 8] = [
    Outcome::Answered,
    Outcome::Failed,
    Outcome::Truncated,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::Shed,
    Outcome::Cancelled,
    Outcome::Moved,
];

/// Returns the position of an item as its code.
#[must_use]
pub fn position<T: PartialEq>(items: &[T], item: &T) -> u8 {
    let found = items.iter().position(|candidate| candidate == item);
    found
        .and_then(|index| u8::try_from(index).ok())
        .unwrap_or(0)
}

/// Returns the item at the position that a code gives.
///
/// # Errors
///
/// Returns [`Error::Malformed`] for a code without an item.
pub fn item<T: Copy>(items: &[T], code: u8) -> Result<T, Error> {
    let unknown = || Error::Malformed(format!("unknown code {code}"));
    items.get(usize::from(code)).copied().ok_or_else(unknown)
}
