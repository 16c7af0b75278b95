//! The dispatcher under load: which requests are placed, queued and refused.

mod budget;
mod cut_off;
mod grey;
mod hedge;
mod hedge_load;
mod limits;
mod pace;
mod paced;
mod queueing;
mod size;
mod statements;
mod world;
