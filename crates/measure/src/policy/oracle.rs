//! The best that could be done by one who knows interference, loads and true sizes without any lag.

use model::Size;

use crate::policy::world::CAPACITY;
use crate::policy::world::Hidden;
use crate::policy::world::Host;
use crate::policy::world::Job;
use crate::policy::world::Running;
use crate::policy::world::SERVICE;
use crate::policy::world::World;
use crate::policy::world::parts;

/// The part of a job's demand that it has to get, counting what others lose, to be worth its place.
const WORTHWHILE: f64 = 0.5;
/// How many waiting jobs are considered in one second.
const LOOKAHEAD: usize = 20;
const STEPS: u32 = 12;

/// Places what fits best and sets every cap anew, so that services just keep their targets.
pub fn act(world: &mut World, queue: &mut Vec<Job>, batch_percent: u64, now_s: u64) {
    let mut at = 0;
    let mut left = LOOKAHEAD;
    while at < queue.len() && left > 0 {
        left -= 1;
        match best_host(world, &queue[at], batch_percent) {
            Some(host) => {
                let job = queue.remove(at);
                let reserved = job.demand;
                let running = Running::new(job, reserved, now_s);
                world.hosts[host].jobs.push(running);
            }
            None => at += 1,
        }
    }
    let hidden = world.hidden.clone();
    for host in &mut world.hosts {
        cap(&hidden, host);
    }
}

fn best_host(world: &World, job: &Job, batch_percent: u64) -> Option<usize> {
    let gain = |host: &Host| {
        if !fits(host, job, batch_percent) {
            return 0.0;
        }
        let mut with = host.clone();
        let before = batch_cpu(&with);
        with.jobs.push(Running::new(job.clone(), job.demand, 0));
        cap(&world.hidden, &mut with);
        (batch_cpu(&with) - before) / job.demand.cpu_millis as f64
    };
    let gains = world.hosts.iter().map(gain).enumerate();
    let best = gains.max_by(|left, right| left.1.total_cmp(&right.1));
    best.filter(|(_, gain)| *gain >= WORTHWHILE)
        .map(|(at, _)| at)
}

fn fits(host: &Host, job: &Job, batch_percent: u64) -> bool {
    let batch: Size = host.jobs.iter().map(|running| running.reserved).sum();
    let batch = batch + job.demand;
    let percent = if host.services.is_empty() {
        100
    } else {
        batch_percent
    };
    let most = Size::new(
        CAPACITY.cpu_millis * percent / 100,
        CAPACITY.memory_mib * percent / 100,
        0,
    );
    let services: Size = host.services.iter().map(|_| SERVICE).sum();
    batch.fits(&most) && (batch + services).fits(&CAPACITY)
}

fn batch_cpu(host: &Host) -> f64 {
    host.jobs.iter().map(Running::cpu).sum()
}

/// Caps the jobs that harm most, just so far that the worst service keeps its target.
fn cap(hidden: &Hidden, host: &mut Host) {
    for running in &mut host.jobs {
        running.permille = 1000.0;
    }
    let harm = |class: usize| {
        let harms = host
            .services
            .iter()
            .map(|service| hidden.pair(service.class, class));
        harms.fold(0.0, f64::max)
    };
    let mut order: Vec<(f64, usize)> = host
        .jobs
        .iter()
        .enumerate()
        .map(|(at, running)| (harm(running.job.class), at))
        .collect();
    order.sort_by(|left, right| right.0.total_cmp(&left.0));
    for (_, at) in order {
        if worst(hidden, host) <= 1.0 {
            return;
        }
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..STEPS {
            let middle = (low + high) / 2.0;
            host.jobs[at].permille = middle;
            if worst(hidden, host) <= 1.0 {
                low = middle;
            } else {
                high = middle;
            }
        }
        host.jobs[at].permille = low;
    }
}

fn worst(hidden: &Hidden, host: &Host) -> f64 {
    let parts = parts(host);
    let of =
        |service: &crate::policy::world::Service| hidden.p99(service.class, service.load, &parts);
    host.services.iter().map(of).fold(0.0, f64::max)
}
