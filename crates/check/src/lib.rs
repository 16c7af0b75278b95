//! Properties that are tried with the same inputs in every run.
//!
//! Use [`properties!`] in tests in place of the macro of `quickcheck`, whose seeds change from run to
//! run. The seed is printed; the variable `PB_SEED` sets another one.
//!
//! ```
//! persimmonbend_check::properties! {
//!     fn reversing_twice_changes_nothing(list: Vec<u8>) -> bool {
//!         let mut twice = list.clone();
//!         twice.reverse();
//!         twice.reverse();
//!         twice == list
//!     }
//! }
//! ```

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Name of the variable that sets the seed.
pub const SEED_VARIABLE: &str = "PB_SEED";

/// Seed unless the variable sets another one.
const DEFAULT_SEED: u64 = 20_261_203;

/// Size of generated values.
const SIZE: usize = 100;

/// Tries a property and prints the seed.
///
/// # Panics
///
/// Panics when the property does not hold, with the smallest failing input that was found.
pub fn run<T: Testable>(name: &str, property: T) {
    tester(name).quickcheck(property);
}

/// Returns a tester whose seed is printed under `name`.
#[must_use]
pub fn tester(name: &str) -> QuickCheck {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed = seed
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("{name}: seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}

/// Makes a test of each property.
#[macro_export]
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty $body:block)*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($argument: $type),*) -> $result $body
                $crate::run(stringify!($name), property as fn($($type),*) -> $result);
            }
        )*
    };
}
