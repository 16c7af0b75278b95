//! The dispatcher under load: which requests are placed, queued and refused.

mod absence;
mod budget;
mod cut_off;
mod dead;
mod evacuation;
mod explain;
mod fleet;
mod grey;
mod hedge;
mod hedge_load;
mod held;
mod limits;
mod load;
mod overload;
mod pace;
mod paced;
mod queueing;
mod recovery;
mod resend;
mod shed;
mod size;
mod statements;
mod timeline;
mod uneven;
mod warmup;
mod world;
