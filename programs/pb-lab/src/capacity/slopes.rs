//! The file of measured slopes and its validation.

use std::collections::BTreeMap;

use persimmonbend_core::fault::Faults;
use serde::Deserialize;

/// The file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    slopes: Vec<Slope>,
}

/// The cost of one more item or call.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Unique name.
    pub name: String,
    /// Value, or `None` if the slope has not been measured.
    pub value: Option<f64>,
    /// Unit of the value.
    pub unit: String,
    /// Command that measures the slope.
    pub command: String,
}

/// Slopes by name.
#[derive(Debug, Clone, PartialEq)]
pub struct Slopes(BTreeMap<String, Slope>);

impl Slopes {
    /// Returns all slopes by name.
    #[must_use]
    pub const fn all(&self) -> &BTreeMap<String, Slope> {
        &self.0
    }

    /// Returns the value of a slope, or `None` if it is unknown or has not been measured.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<f64> {
        self.0.get(name)?.value
    }
}

impl TryFrom<File> for Slopes {
    type Error = Faults;

    fn try_from(file: File) -> Result<Self, Self::Error> {
        let mut faults = Faults::new();
        let mut slopes = BTreeMap::new();
        for (index, slope) in file.slopes.into_iter().enumerate() {
            let field = format!("slopes[{index}].value");
            let usable = slope
                .value
                .is_none_or(|value| value.is_finite() && value >= 0.0);
            faults.require(usable, &field, "must be a number from 0");
            let again = slopes.insert(slope.name.clone(), slope);
            faults.require(
                again.is_none(),
                &format!("slopes[{index}].name"),
                "duplicate name",
            );
        }
        faults.into_result(Some(Self(slopes)))
    }
}
