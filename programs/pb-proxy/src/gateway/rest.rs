//! The rest of a large answer, behind the part that is read before the client gets anything.

use std::io;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::spawn;
use compio::time::timeout;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyDataStream;
use hyper::body::Frame;
use hyper::body::Incoming;
use persimmonbend_core::health::Outcome;

use crate::gateway::end_check;
use crate::gateway::end_check::Interruption;
use crate::gateway::exchange;
use crate::gateway::exchange::Way;
use crate::gateway::placement::Reservation;
use crate::gateway::state::State;
use crate::pool::Connection;

/// The rest of a body, which is read from the upstream only as fast as it is taken.
///
/// The upstream's slot is in use until the end of the body. Dropping the rest, since the client has
/// left, releases the slot and closes the connection to the upstream.
pub(super) struct Rest {
    pub(super) state: Rc<State>,
    pub(super) body: BodyDataStream<Incoming>,
    pub(super) connection: Connection,
    pub(super) way: Way,
    /// Whether only the end of the connection ends the body.
    pub(super) is_open_ended: bool,
    /// The request, if the upstream breaks it off here.
    pub(super) interruption: Interruption,
    pub(super) reservation: Reservation,
    /// Outcome of the attempt if the body arrives complete.
    pub(super) outcome: Outcome,
    pub(super) bytes: usize,
    pub(super) deadline: Instant,
}

impl Rest {
    /// Returns the frames of the body. A body that is cut off or not complete by the deadline ends
    /// with an error, which aborts the connection of the client.
    pub(super) fn into_stream(self) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
        stream::unfold(Some(self), |rest| async move { rest?.next().await })
    }

    /// Reads the next frame; returns it with the rest behind it, if the body goes on.
    async fn next(mut self) -> Option<(io::Result<Frame<Bytes>>, Option<Self>)> {
        let left = self.deadline.saturating_duration_since(self.state.now());
        let error = match timeout(left, self.body.next()).await {
            Ok(Some(Ok(data))) => {
                self.bytes += data.len();
                return Some((Ok(Frame::data(data)), Some(self)));
            }
            Ok(None) if !self.is_whole().await => {
                self.reservation.end(Outcome::Truncated, self.bytes);
                spawn(end_check::run(self.state, self.interruption)).detach();
                io::ErrorKind::UnexpectedEof.into()
            }
            Ok(None) => {
                self.complete();
                return None;
            }
            Ok(Some(Err(error))) => {
                let interruption = &self.interruption;
                exchange::log_malformed(Some(&interruption.request), interruption.address, &error);
                self.reservation.end(Outcome::Truncated, self.bytes);
                spawn(end_check::run(self.state, self.interruption)).detach();
                io::Error::other(error)
            }
            Err(_) => {
                self.reservation.end(Outcome::TimedOut, self.bytes);
                io::ErrorKind::TimedOut.into()
            }
        };
        Some((Err(error), None))
    }

    /// Returns whether a body is whole that has come to its end.
    async fn is_whole(&self) -> bool {
        let Interruption {
            upstream, address, ..
        } = &self.interruption;
        !self.is_open_ended || end_check::is_alive(&self.state, *upstream, *address).await
    }

    /// Ends the reservation and keeps the connection for another request.
    fn complete(self) {
        self.reservation.end(self.outcome, self.bytes);
        let now = self.state.now();
        let content = self.interruption.content;
        self.state.placer().note_answer(|| content, now);
        self.state
            .pool()
            .put_back(self.way.address(), self.connection, now);
    }
}
