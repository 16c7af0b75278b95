//! The dispatcher under load: which requests are placed, queued and refused.

mod budget;
mod cut_off;
mod dead;
mod grey;
mod limits;
mod pace;
mod paced;
mod queueing;
mod size;
mod statements;
mod uneven;
mod world;
