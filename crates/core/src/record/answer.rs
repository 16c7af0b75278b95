//! The stored answer to an executed request.

use serde::Deserialize;
use serde::Serialize;

use crate::record::latin1;

/// One header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the header.
    pub name: String,
    /// Value as the upstream sent it.
    #[serde(with = "latin1")]
    pub value: Vec<u8>,
}

/// The complete answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order sent.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(with = "latin1")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the approximate size of the answer in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
