//! Bodies of calls, which are held until they are whole.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest body that has room at any time; larger ones share [`MAX_LARGE_BYTES`].
pub const SMALL_BYTES: usize = 64 * 1024;

/// Most bytes of larger bodies that are held at a time: a configuration of the target size with 6,100 routes takes
/// about 2 MB.
pub const MAX_LARGE_BYTES: usize = 32 * 1024 * 1024;

/// Why a body is not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// It exceeds the limit of its call, or breaks off.
    Unreadable,
    /// Other large bodies are being read.
    NoRoom,
}

/// Counts the bytes of large bodies that are held.
#[derive(Debug, Clone, Default)]
pub(super) struct Bodies {
    held: Rc<Cell<usize>>,
}

/// A body that was read; it counts as held until it is dropped.
#[derive(Debug)]
pub(super) struct Body {
    bytes: Bytes,
    _share: Share,
}

impl Body {
    pub(super) const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// What one body takes of the room for large ones.
#[derive(Debug)]
struct Share {
    held: Rc<Cell<usize>>,
    bytes: usize,
}

impl Share {
    /// Raises the share to a number of bytes, unless there is no room for them.
    fn raise(&mut self, bytes: usize) -> Result<(), Fault> {
        let held = self.held.get() + bytes - self.bytes;
        if held > MAX_LARGE_BYTES {
            return Err(Fault::NoRoom);
        }
        self.held.set(held);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

impl Bodies {
    /// Reads a body of at most `limit` bytes.
    pub(super) async fn read(&self, mut body: Incoming, limit: usize) -> Result<Body, Fault> {
        let mut share = Share {
            held: Rc::clone(&self.held),
            bytes: 0,
        };
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Fault::Unreadable)?.into_data() else {
                continue;
            };
            let length = read.len() + data.len();
            if length > limit {
                return Err(Fault::Unreadable);
            }
            if length > SMALL_BYTES {
                share.raise(length)?;
            }
            read.extend_from_slice(&data);
        }
        Ok(Body {
            bytes: read.freeze(),
            _share: share,
        })
    }
}
