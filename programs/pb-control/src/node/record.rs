//! Encoding of commands as records of the log.
//!
//! Large commands are compressed: a publication contains its document as sent, thousands of bytes
//! that shrink to a tenth and are written to the disk of every replica.

use anyhow::Context;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use persimmonbend_core::machine::Command;

/// Size of a command from which on it is compressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// Largest size of a command after decompression.
const MAX_COMMAND_BYTES: usize = 256 * 1024 * 1024;

/// Compression level, the default of the library.
const COMPRESSION_LEVEL: u8 = 6;

/// First byte of a compressed record; uncompressed records are JSON objects and begin with `{`.
const COMPRESSED_MARK: u8 = 1;

/// Encodes a command as a record.
///
/// # Errors
///
/// Returns an error when the command cannot be written as JSON.
pub fn write(command: &Command) -> serde_json::Result<Vec<u8>> {
    let json = serde_json::to_vec(command)?;
    if json.len() < COMPRESSION_THRESHOLD_BYTES {
        return Ok(json);
    }
    let mut record = vec![COMPRESSED_MARK];
    record.extend(compress_to_vec(&json, COMPRESSION_LEVEL));
    Ok(record)
}

/// Decodes the command of a record.
///
/// # Errors
///
/// Returns an error when the record cannot be decompressed or is not a command.
pub fn read(record: &[u8]) -> anyhow::Result<Command> {
    let Some((&COMPRESSED_MARK, compressed)) = record.split_first() else {
        return serde_json::from_slice(record).context("unreadable command");
    };
    let json = decompress_to_vec_with_limit(compressed, MAX_COMMAND_BYTES);
    let json = json.ok().context("cannot decompress the command")?;
    serde_json::from_slice(&json).context("unreadable command")
}
