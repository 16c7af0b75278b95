//! Rates of tenants, counted over the whole fleet.
//!
//! The leader of control runs the [`Issuer`], each proxy a [`Holder`]. A holder asks in a
//! [`Batch`], the issuer answers with a [`Reply`] that carries [`Grant`]s of tokens that lapse.
//! For every [`Account`] the issuer keeps `level + outstanding <= burst`, where outstanding counts
//! the tokens that were granted and have neither been settled nor lapsed.
//!
//! Every registered host has a [`Seat`], and each seat a fixed [`Share`] of every account. A
//! holder that has heard nothing for [`CUT_OFF_TIMEOUT`] lives on its share. The issuer withholds the
//! share of a seat that has been silent for [`SILENCE_TIMEOUT`], which is early enough for all grants to
//! lapse before a share can be in use. Silence is judged by the [`Timestamp`]s of replies that come
//! back in later batches, so a batch that was delayed on its way cannot make a host look alive.

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

/// Time for which a granted token can be spent.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(400);

/// Time after its last known reply from which the share of a seat is withheld.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Room for clocks that run at different speeds.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(100);

/// Time without a reply after which a holder uses the share of its seat.
pub const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two batches of a holder that has nothing to ask for.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Most asks in one batch.
pub const MAX_DEMANDS: usize = 256;

const _: () = assert!(
    CUT_OFF_TIMEOUT.as_millis()
        >= SILENCE_TIMEOUT.as_millis() + TOKEN_LIFETIME.as_millis() + MAX_CLOCK_DRIFT.as_millis(),
    "a share must not be in use before all grants have lapsed"
);
