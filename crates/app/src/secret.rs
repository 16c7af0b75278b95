//! The fleet secret, which is read from a file of its own.

use std::path::Path;

use persimmonbend_core::fault::Faults;

/// Least length of the fleet secret in bytes.
pub const MIN_BYTES: usize = 16;

/// Reads the fleet secret from `file`, without the white space around it.
///
/// Adds a fault to the setting `field` if the file cannot be read or the secret is too short.
pub fn read(faults: &mut Faults, field: &str, file: &Path) -> Option<String> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text.trim().to_owned(),
        Err(error) => {
            faults.add(field, format!("{} cannot be read: {error}", file.display()));
            return None;
        }
    };
    let reason = format!("must name a file whose secret has at least {MIN_BYTES} bytes");
    faults.require(text.len() >= MIN_BYTES, field, &reason);
    Some(text)
}
