//! The fleet secret, which stands in a file of its own.

use std::path::Path;

use persimmonbend_core::fault::Faults;

/// Shortest fleet secret in bytes.
pub const MIN_BYTES: usize = 16;

/// Reads the fleet secret and adds a fault where it cannot be used.
pub fn read(faults: &mut Faults, field: &str, file: &Path) -> Option<String> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text.trim().to_owned(),
        Err(error) => {
            faults.add(field, format!("{} cannot be read: {error}", file.display()));
            return None;
        }
    };
    let reason = format!("the secret must have at least {MIN_BYTES} bytes");
    faults.require(text.len() >= MIN_BYTES, field, &reason);
    Some(text)
}
