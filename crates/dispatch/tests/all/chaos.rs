//! Seeded random series of faults. The owner, the store and executors fail one after another and at
//! the same time while jobs are submitted. No task may run twice and all accepted jobs have to
//! succeed.

use std::time::Duration;

use dispatch::api::SubmitOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::store::StoreFault;
use crate::world::World;
use crate::world::job;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const EXECUTORS: usize = 4;
/// Number of faults in a series.
const FAULTS_PER_SERIES: usize = 6;
/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;
/// Time limit for the jobs after all faults are cleared; leases of unreachable executors have to
/// expire first.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

fn store_fault(rng: &mut SmallRng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Refuses,
        1 => StoreFault::Silent,
        2 => StoreFault::LosesAnswers,
        _ => StoreFault::DelaysWrites(Duration::from_millis(rng.random_range(500..6_000))),
    }
}

fn inject_fault(world: &World, rng: &mut SmallRng) {
    let host = HOSTS[rng.random_range(0..HOSTS.len())];
    let target = match world.owner() {
        Some(owner) if rng.random_bool(0.6) => owner,
        _ => host.to_owned(),
    };
    let executor = world.fleet.executor(rng.random_range(1..=EXECUTORS));
    match rng.random_range(0..6) {
        0 => {
            world.kill(&target);
            world.start(&target);
        }
        1 => world.host(&target).frozen.set(true),
        2 => world.host(&target).store_fault.set(store_fault(rng)),
        3 => executor.reachable.set(false),
        4 => {
            let delay = Duration::from_millis(rng.random_range(800..12_000));
            executor.command_delay.set(Some(delay));
        }
        _ => world.store.drop_history(),
    }
}

fn clear_faults(world: &World) {
    for name in HOSTS {
        let host = world.host(name);
        host.frozen.set(false);
        host.store_fault.set(StoreFault::None);
    }
    for number in 1..=EXECUTORS {
        let executor = world.fleet.executor(number);
        executor.reachable.set(true);
        executor.command_delay.set(None);
    }
}

async fn run_series(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let world = World::new(EXECUTORS);
    for name in HOSTS {
        world.start(name);
    }
    world.advance(Duration::from_secs(1)).await;
    let mut accepted = Vec::new();
    for number in 0..FAULTS_PER_SERIES as u64 {
        let host = HOSTS[rng.random_range(0..HOSTS.len())];
        if !world.host(host).frozen.get() {
            let tasks = rng.random_range(1..6);
            if world.submit(host, number, job(tasks)).await == SubmitOutcome::Accepted {
                accepted.push(number);
            }
        }
        let pause = Duration::from_millis(rng.random_range(1..MAX_PAUSE_MS));
        world.advance(pause).await;
        inject_fault(&world, &mut rng);
        if rng.random_bool(0.3) {
            clear_faults(&world);
        }
    }
    clear_faults(&world);
    world
        .wait_until_succeeded("a", &accepted, RECOVERY_LIMIT)
        .await;
    // Delayed commands may still arrive.
    world.advance(Duration::from_secs(13)).await;
    world.assert_no_violations();
}

#[tokio::test(start_paused = true)]
async fn no_series_of_faults_runs_a_task_twice_or_loses_a_job() {
    let seeds = std::env::var("FIREFLYNOTCH_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(12);
    for seed in 20_261_204..20_261_204 + seeds {
        println!("seed {seed}");
        run_series(seed).await;
    }
}
