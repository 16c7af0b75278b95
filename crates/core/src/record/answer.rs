//! The stored answer of an execution.

use serde::Deserialize;
use serde::Serialize;

use crate::record::latin1;

/// One header of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value as sent.
    #[serde(with = "latin1")]
    pub value: Vec<u8>,
}

/// The whole answer that an upstream gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(with = "latin1")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the bytes that the answer takes up, roughly.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
