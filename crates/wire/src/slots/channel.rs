//! Connections that carry frames of the slot protocol.

use compio::net::TcpStream;

use crate::channel;
use crate::channel::Decode;
use crate::channel::Encode;
use crate::channel::Leveled;
use crate::error::Error;
use crate::slots::Decoder;
use crate::slots::Encoder;
use crate::slots::Frame;

/// Queues frames for a connection.
pub type Sender = channel::Sender<Frame>;

/// Reads frames from a connection.
pub type Receiver = channel::Receiver<Decoder>;

/// Writes the queued frames to a connection.
pub type Writer = channel::Writer<Encoder, Frame>;

/// Splits an authenticated connection.
///
/// Frames are only written while [`channel::Writer::run`] is polled.
#[must_use]
pub fn split(stream: TcpStream) -> (Sender, Writer, Receiver) {
    channel::split(stream, Encoder::new(), Decoder::new())
}

/// The slot protocol has one level.
impl Leveled for Frame {
    fn for_level(self, _level: u32) -> Option<Self> {
        Some(self)
    }
}

impl Encode<Frame> for Encoder {
    fn encode(&mut self, frame: &Frame, bytes: &mut Vec<u8>) -> Result<(), Error> {
        Self::encode(self, frame, bytes)
    }
}

impl Decode<Frame> for Decoder {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, Error> {
        Self::feed(self, bytes)
    }
}
