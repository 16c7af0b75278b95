//! The budget of repeats of one service over the whole fleet.

/// Part of what operators allow that is handed out here; the rest is room for hosts that place
/// requests on their own while the dispatcher is away.
const OWN_PART: f64 = 0.8;

/// What operators allow beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Repeats for one request in the long run.
    pub ratio: f64,
    /// Repeats that may come at once beyond that.
    pub extra: f64,
}

impl Default for Bounds {
    /// Returns a tenth of the requests and twenty at once, as the proxies' own budget.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            extra: 20.0,
        }
    }
}

/// Repeats that are left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Repeats {
    left: f64,
}

impl Repeats {
    /// Creates a full budget.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            left: bounds.extra * OWN_PART,
        }
    }

    /// Adds the share of one request.
    pub fn earn(&mut self, bounds: &Bounds) {
        let most = bounds.extra * OWN_PART;
        self.left = (self.left + bounds.ratio * OWN_PART).min(most);
    }

    /// Takes one repeat and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.left >= 1.0;
        if affordable {
            self.left -= 1.0;
        }
        affordable
    }
}
