//! Random schedules of faults over several replicas, checked against one committed history.
//!
//! `REPLICA_SEED=N cargo test -p persimmonbend-replica --test simulation` replays one schedule and
//! `REPLICA_SCHEDULES=N` runs the schedules of the seeds below N.

#![allow(clippy::unwrap_used)]

mod disk;
mod world;

use crate::world::World;

/// Steps with faults in each schedule.
const FAULT_STEPS: usize = 3_000;

/// Number of schedules in a run without `REPLICA_SCHEDULES`.
const DEFAULT_SCHEDULES: u64 = 100;

fn schedule(seed: u64) {
    println!("REPLICA_SEED={seed}");
    let mut world = World::new(seed);
    for _ in 0..FAULT_STEPS {
        world.inject_event();
        world.step();
    }
    world.heal();
    world.expect_progress();
    println!("{}", world.summary());
}

#[test]
fn replicas_commit_one_history_under_random_faults() {
    let env_number = |name: &str| std::env::var(name).ok().map(|text| text.parse().unwrap());
    let seeds = match env_number("REPLICA_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("REPLICA_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES),
    };
    for seed in seeds {
        schedule(seed);
    }
}

#[test]
fn a_wiped_disk_bootstraps_no_second_log() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.heal();
        world.expect_progress();
        let bootstrap_host = 0;
        world.wipe(bootstrap_host);
        world.heal();
        world.expect_progress();
        assert!(world.knows_no_members(bootstrap_host), "seed {seed}");
    }
}

#[test]
fn a_replaced_voter_restores_tolerance_to_a_second_loss() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.heal();
        world.expect_progress();
        world.wipe(1);
        world.heal();
        world.replace(1);
        world.wipe(2);
        world.expect_progress();
    }
}
