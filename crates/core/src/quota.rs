//! Rate limits of tenants over the whole fleet.
//!
//! The leader of control runs the [`Issuer`], each proxy a [`Holder`]. A holder sends its
//! [`Demand`]s in a [`Batch`]; the issuer answers with a [`Reply`] whose [`Grant`]s hold tokens
//! that expire. For every [`Account`] the issuer keeps `level + outstanding <= burst`, where
//! outstanding counts the granted tokens that have not expired and that the holder has reported
//! neither as spent nor as returned.
//!
//! Every registered host has a [`Seat`], and each seat a fixed [`Share`] of every account. A
//! holder that has received no reply for [`CUT_OFF_TIMEOUT`] spends its share. The issuer withholds
//! the share of a seat whose host has been silent for [`SILENCE_TIMEOUT`], which leaves time for
//! all grants to expire before the share can be spent. The issuer measures silence by the
//! [`Timestamp`]s of its replies that later batches return, so that a delayed batch cannot make a
//! silent host seem connected.

mod account;
mod bucket;
mod holder;
mod holding;
mod issuer;
mod message;
mod pool;
mod seat;

use std::time::Duration;

pub use account::Account;
pub use bucket::Bucket;
pub use holder::Admission;
pub use holder::Holder;
pub use issuer::Issuer;
pub use message::Batch;
pub use message::Demand;
pub use message::Grant;
pub use message::Reply;
pub use message::Timestamp;
pub use seat::Seat;
pub use seat::Seats;
pub use seat::Share;

/// Time for which the holder may spend a granted token, from when it sent the batch.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(400);

/// Time after the last acknowledged reply to a host at which the share of its seat is withheld.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tolerance for the clocks of issuer and holder running at different speeds.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(100);

/// Time without a reply after which a holder uses the share of its seat.
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two batches of a holder without demand.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Upper bound of the demands in one batch.
pub const MAX_DEMANDS: usize = 256;

const _: () = assert!(
    CUT_OFF_TIMEOUT.as_millis()
        >= SILENCE_TIMEOUT.as_millis() + TOKEN_LIFETIME.as_millis() + MAX_CLOCK_DRIFT.as_millis(),
    "a share must not be in use before all grants have expired"
);
