//! Large contents of a frame, compressed once for all hosts that receive them.

use std::marker::PhantomData;
use std::rc::Rc;

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::dispatch::MAX_FRAME_BYTES;
use crate::error::Error;

/// Compression level, on the library's scale from 0 to 10.
const COMPRESSION_LEVEL: u8 = 6;

/// A value in its compressed form, which is cheap to clone.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Packed<T> {
    bytes: Rc<[u8]>,
    #[serde(skip)]
    value: PhantomData<T>,
}

impl<T> Packed<T> {
    /// Returns the compressed size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}

impl<T> Clone for Packed<T> {
    fn clone(&self) -> Self {
        Self {
            bytes: Rc::clone(&self.bytes),
            value: PhantomData,
        }
    }
}

impl<T: Serialize> Packed<T> {
    /// Encodes and compresses a value.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the value cannot be encoded.
    pub fn new(value: &T) -> Result<Self, Error> {
        let bytes = postcard::to_stdvec(value);
        let bytes = bytes.map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Self {
            bytes: compress_to_vec(&bytes, COMPRESSION_LEVEL).into(),
            value: PhantomData,
        })
    }
}

impl<T: DeserializeOwned> Packed<T> {
    /// Decompresses and decodes the value.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the bytes are not a value of this type.
    pub fn open(&self) -> Result<T, Error> {
        let bytes = decompress_to_vec_with_limit(&self.bytes, MAX_FRAME_BYTES);
        let bytes = bytes.map_err(|error| Error::Malformed(error.to_string()))?;
        postcard::from_bytes(&bytes).map_err(|error| Error::Malformed(error.to_string()))
    }
}
