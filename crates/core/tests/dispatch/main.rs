//! The dispatcher under load: which requests are placed, queued and refused.

mod budget;
mod cut_off;
mod grey;
mod limits;
mod load;
mod overload;
mod pace;
mod paced;
mod queueing;
mod size;
mod statements;
mod world;
