//! Message schema, codecs and authenticated links between the processes of a fleet.
//!
//! A process calls others through [`link::Link`] and accepts calls by [`listener::Listener`]. Both
//! sides prove that they know the fleet secret before the first RPC message, see [`handshake`].
//!
//! ```no_run
//! # async fn example() -> Result<(), persimmonbend_wire::error::Error> {
//! use persimmonbend_wire::handshake::Secret;
//! use persimmonbend_wire::link::Link;
//!
//! let secret = Secret::from("a long fleet secret".to_owned());
//! let link = Link::connect("127.0.0.1:7400".parse().unwrap(), "host-1", &secret).await?;
//! let control = link.control()?;
//! control.ping().await?;
//! # Ok(())
//! # }
//! ```

pub mod admission;
pub mod channel;
pub mod control;
pub mod dispatch;
pub mod error;
pub mod gossip;
pub mod handshake;
pub mod link;
pub mod listener;
pub mod members;
pub mod meter;
pub mod peer;
pub mod quota;
pub mod record;
pub mod slots;
pub mod update;

#[allow(clippy::all, clippy::pedantic, clippy::restriction, missing_docs)]
#[rustfmt::skip]
pub mod fleet_capnp;
