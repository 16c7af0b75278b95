//! Serializes bytes as Latin-1 text with one character per byte, which keeps text readable.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;

pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
    serializer.serialize_str(&text)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = text.chars().map(u8::try_from);
    bytes
        .collect::<Result<Vec<u8>, _>>()
        .map_err(|_| D::Error::custom("a character is outside of Latin-1"))
}
