//! Property tests that get the same generated inputs in every run.
//!
//! [`properties!`] replaces the macro of `quickcheck`, whose seed changes from run to run. Each test
//! prints its seed; the environment variable `PB_SEED` sets another one.
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

/// Environment variable that sets the seed.
pub const SEED_VARIABLE: &str = "PB_SEED";

/// Seed of tests unless [`SEED_VARIABLE`] sets another one.
const DEFAULT_SEED: u64 = 20_261_203;

/// Size of generated values, such as the greatest length of a list.
const GENERATED_SIZE: usize = 100;

/// Tests a property and prints the seed.
///
/// # Panics
///
/// Panics when the property does not hold, with the smallest failing input that it finds.
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
    QuickCheck::new().rng(Gen::from_size_and_seed(GENERATED_SIZE, seed))
}

/// Defines a test for each property.
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
