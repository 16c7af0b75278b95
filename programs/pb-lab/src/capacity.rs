//! Estimates of the resources that a fleet of the target size needs, from measured slopes.
//!
//! A slope is the cost of one more item or call. [`measure()`] measures the slopes that a single
//! process can measure; [`Slopes`] reads the file of all slopes; [`tables()`] multiplies them by the
//! target sizes.

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
