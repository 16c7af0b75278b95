//! Bytes of the requests that an upstream holds, and whether one more fits.
//!
//! Answers the load of large bodies beside small ones: an upstream that holds the bodies of all requests
//! that it runs can run out of memory long before it runs out of slots. An upstream may always hold one
//! request, whatever its size, since no other choice would serve that one better.
//!
//! ```
//! use persimmonbend_core::dispatch::Held;
//!
//! let mut held = Held::default();
//! held.take(70_000);
//! assert!(held.fits(30_000, Some(100_000)) && !held.fits(30_001, Some(100_000)));
//! held.give_back(70_000);
//! assert!(held.fits(200_000, Some(100_000)));
//! ```

/// Most bytes of requests that an upstream can bear; `None` where no bound is set.
pub type Bound = Option<u64>;

/// The requests that one upstream holds, and the request that it is earmarked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Held {
    requests: u32,
    bytes: u64,
    /// Size of the queued request that the upstream is earmarked for.
    earmark: Option<u32>,
}

impl Held {
    /// Records a request that the upstream begins to hold.
    pub fn take(&mut self, bytes: u32) {
        self.requests += 1;
        self.bytes += u64::from(bytes);
    }

    /// Records that the upstream no longer holds a request.
    pub fn give_back(&mut self, bytes: u32) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(u64::from(bytes));
    }

    /// Returns the bytes of all requests that the upstream holds.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Keeps the upstream for a queued request of a size, or for none.
    pub const fn earmark(&mut self, bytes: Option<u32>) {
        self.earmark = bytes;
    }

    /// Returns whether the upstream is earmarked for a queued request.
    #[must_use]
    pub const fn is_earmarked(&self) -> bool {
        self.earmark.is_some()
    }

    /// Returns whether a request of a size fits that the upstream is not earmarked for: those that it holds, the
    /// one that it is earmarked for and this one stay within the bound. One without a body delays none that is
    /// within the bound, whatever is held before it.
    #[must_use]
    pub fn fits(&self, bytes: u32, bound: Bound) -> bool {
        let earmark = self.earmark.map_or(0, u64::from);
        let is_alone = self.requests == 0 && self.earmark.is_none();
        let is_harmless = bytes == 0 && is_within(self.bytes.max(earmark), bound);
        is_alone || is_harmless || is_within(self.bytes + earmark + u64::from(bytes), bound)
    }

    /// Returns whether the request fits that the upstream is earmarked for.
    #[must_use]
    pub fn fits_earmarked(&self, bytes: u32, bound: Bound) -> bool {
        self.requests == 0 || is_within(self.bytes + u64::from(bytes), bound)
    }

    /// Returns the size of the largest request that fits now.
    #[must_use]
    pub fn room(&self, bound: Bound) -> u32 {
        let Some(bound) = bound.filter(|_| self.requests > 0 || self.earmark.is_some()) else {
            return u32::MAX;
        };
        let used = self.bytes + self.earmark.map_or(0, u64::from);
        u32::try_from(bound.saturating_sub(used)).unwrap_or(u32::MAX)
    }
}

fn is_within(bytes: u64, bound: Bound) -> bool {
    bound.is_none_or(|bound| bytes <= bound)
}
