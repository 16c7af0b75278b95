//! The dispatcher under load: who is placed where, who waits and who is refused.

mod grey;
mod limits;
mod queueing;
mod world;
