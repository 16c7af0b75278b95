//! Decision logic of the proxy fleet, without I/O and without timers.
//!
//! This crate decides which configuration is in force, which tenant a key belongs to, which
//! upstream gets a request and how a failure is answered to a client. A program does the I/O,
//! writes received state to a [`board::Board`] and calls the controllers, which read the board
//! and write their decisions to it. Time comes from a [`clock::Clock`] and randomness from a
//! seeded generator, so every decision can be replayed in a test.
//!
//! ```
//! use std::rc::Rc;
//!
//! use persimmonbend_core::board::Board;
//! use persimmonbend_core::clock::Manual;
//!
//! let board = Board::new(Rc::new(Manual::new()));
//! assert_eq!(board.config().revision(), 0);
//! ```

pub mod board;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod error;
pub mod event;
pub mod explain;
pub mod fault;
pub mod health;
pub mod host;
pub mod id;
pub mod key;
pub mod machine;
pub mod membership;
pub mod memory;
pub mod poison;
pub mod publication;
pub mod quota;
pub mod reach;
pub mod record;
pub mod rendezvous;
pub mod retry;
pub mod roster;
pub mod route;
pub mod routing;
pub mod statement;
pub mod steward;
pub mod throttle;
pub mod traffic;
pub mod upstream;
