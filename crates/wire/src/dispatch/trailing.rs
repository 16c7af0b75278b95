//! Fields that were appended to a frame after the first build that sends it.
//!
//! Postcard ignores bytes behind a value, so an older build reads a frame with appended fields as before. A
//! frame of an older build ends before them; `#[serde(deserialize_with = "trailing::or_default")]` then
//! leaves their default. Only the last fields of a frame may be appended ones.

use serde::Deserialize;
use serde::Deserializer;

/// Reads a field, or returns its default where the frame ends before it.
pub fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
