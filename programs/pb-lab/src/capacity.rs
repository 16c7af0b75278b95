//! What a fleet of the target's size would need, worked out from measured slopes.
//!
//! [`measure`] measures the slopes that one process can show; [`Slopes`] reads the file that holds
//! all of them; [`tables`] multiplies them with the sizes of the target.

mod fit;
mod measure;
mod samples;
mod slopes;
mod tables;

pub use fit::slope;
pub use measure::Content;
pub use measure::fill;
pub use measure::measure;
pub use slopes::File;
pub use slopes::Slope;
pub use slopes::Slopes;
pub use tables::tables;
