//! Commands as the log holds them.
//!
//! A publication carries its document as sent, thousands of bytes of which compression leaves a
//! tenth; each goes to every replica and its disk.

use anyhow::Context;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use persimmonbend_core::machine::Command;

/// Bytes of a command from which on it is compressed.
const COMPRESSION_THRESHOLD_BYTES: usize = 1_024;

/// Largest command in bytes.
const MAX_COMMAND_BYTES: usize = 256 * 1024 * 1024;

/// Level of compression, the library's middle.
const COMPRESSION_LEVEL: u8 = 6;

/// First byte of a compressed command; the others are JSON objects.
const COMPRESSED_MARK: u8 = 1;

/// Writes a command.
///
/// # Errors
///
/// Returns an error when the command has no JSON form.
pub fn write(command: &Command) -> serde_json::Result<Vec<u8>> {
    let json = serde_json::to_vec(command)?;
    if json.len() < COMPRESSION_THRESHOLD_BYTES {
        return Ok(json);
    }
    let mut record = vec![COMPRESSED_MARK];
    record.extend(compress_to_vec(&json, COMPRESSION_LEVEL));
    Ok(record)
}

/// Reads a command.
///
/// # Errors
///
/// Returns an error when the record is no command.
pub fn read(record: &[u8]) -> anyhow::Result<Command> {
    let Some((&COMPRESSED_MARK, compressed)) = record.split_first() else {
        return serde_json::from_slice(record).context("unreadable command");
    };
    let json = decompress_to_vec_with_limit(compressed, MAX_COMMAND_BYTES);
    let json = json.ok().context("a command that cannot be unpacked")?;
    serde_json::from_slice(&json).context("unreadable command")
}
