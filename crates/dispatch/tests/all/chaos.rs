//! Random series of faults, seeded: owners, the store and executors fail one after another and at the
//! same time, while jobs are submitted; no task may run twice, and all jobs have to end well.

use std::time::Duration;

use dispatch::entry::Submitted;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::store::Fault;
use crate::world::World;
use crate::world::job;

const HOSTS: [&str; 3] = ["a", "b", "c"];
const EXECUTORS: usize = 4;
/// How many faults a series has.
const FAULTS: usize = 6;
/// The longest pause between two faults.
const PAUSE_MS: u64 = 1_500;
/// How long jobs may take once everything works again: leases that nobody answers for have to lapse.
const LIMIT: Duration = Duration::from_secs(30);

fn store_fault(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::Refuses,
        1 => Fault::Silent,
        2 => Fault::LosesAnswers,
        _ => Fault::Late(Duration::from_millis(rng.random_range(500..6_000))),
    }
}

fn strike(world: &World, rng: &mut SmallRng) {
    let host = HOSTS[rng.random_range(0..HOSTS.len())];
    let target = match world.owner() {
        Some(owner) if rng.random_bool(0.6) => owner,
        _ => host.to_owned(),
    };
    let machine = world.fleet.machine(rng.random_range(1..=EXECUTORS));
    match rng.random_range(0..6) {
        0 => {
            world.kill(&target);
            world.start(&target);
        }
        1 => world.host(&target).gone.set(true),
        2 => world.host(&target).store.set(store_fault(rng)),
        3 => machine.reachable.set(false),
        4 => {
            let delay = Duration::from_millis(rng.random_range(800..12_000));
            machine.late.set(Some(delay));
        }
        _ => world.memory.forget_history(),
    }
}

fn heal(world: &World) {
    for name in HOSTS {
        let host = world.host(name);
        host.gone.set(false);
        host.store.set(Fault::None);
    }
    for number in 1..=EXECUTORS {
        let machine = world.fleet.machine(number);
        machine.reachable.set(true);
        machine.late.set(None);
    }
}

async fn series(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let world = World::new(EXECUTORS);
    for name in HOSTS {
        world.start(name);
    }
    world.pass(Duration::from_secs(1)).await;
    let mut accepted = Vec::new();
    for number in 0..FAULTS as u64 {
        let host = HOSTS[rng.random_range(0..HOSTS.len())];
        if !world.host(host).gone.get() {
            let tasks = rng.random_range(1..6);
            if world.submit(host, number, job(tasks)).await == Submitted::Accepted {
                accepted.push(number);
            }
        }
        let pause = Duration::from_millis(rng.random_range(1..PAUSE_MS));
        world.pass(pause).await;
        strike(&world, &mut rng);
        if rng.random_bool(0.3) {
            heal(&world);
        }
    }
    heal(&world);
    world.finish("a", &accepted, LIMIT).await;
    // Orders that are late may still arrive.
    world.pass(Duration::from_secs(13)).await;
    world.check();
}

#[tokio::test(start_paused = true)]
async fn no_series_of_faults_runs_a_task_twice_or_loses_a_job() {
    let seeds = std::env::var("FIREFLYNOTCH_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(12);
    for seed in 20_261_204..20_261_204 + seeds {
        println!("seed {seed}");
        series(seed).await;
    }
}
