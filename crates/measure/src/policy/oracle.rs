//! The best that could be done by one who knows interference, loads and true sizes without any lag.

use model::Size;

use crate::policy::cluster::BatchJob;
use crate::policy::cluster::HOST_CAPACITY;
use crate::policy::cluster::Host;
use crate::policy::cluster::Interference;
use crate::policy::cluster::RunningJob;
use crate::policy::cluster::SERVICE_RESERVATION;
use crate::policy::cluster::SimulatedCluster;
use crate::policy::cluster::batch_shares;

/// The part of a job's demand that it has to get, counting what others lose, to be worth its place.
const MIN_GAIN: f64 = 0.5;
/// How many waiting jobs are considered in one second.
const MAX_CANDIDATES: usize = 20;
const BISECTION_STEPS: u32 = 12;

/// Places what fits best and sets every cap anew, so that services just keep their targets.
pub fn decide(
    cluster: &mut SimulatedCluster,
    queue: &mut Vec<BatchJob>,
    batch_percent: u64,
    now_s: u64,
) {
    let mut at = 0;
    let mut left = MAX_CANDIDATES;
    while at < queue.len() && left > 0 {
        left -= 1;
        match choose_host(cluster, &queue[at], batch_percent) {
            Some(host) => {
                let job = queue.remove(at);
                let reserved = job.demand;
                let running = RunningJob::new(job, reserved, now_s);
                cluster.hosts[host].jobs.push(running);
            }
            None => at += 1,
        }
    }
    let interference = cluster.interference.clone();
    for host in &mut cluster.hosts {
        throttle_to_targets(&interference, host);
    }
}

fn choose_host(cluster: &SimulatedCluster, job: &BatchJob, batch_percent: u64) -> Option<usize> {
    let gain = |host: &Host| {
        if !fits(host, job, batch_percent) {
            return 0.0;
        }
        let mut with = host.clone();
        let before = batch_cpu(&with);
        with.jobs.push(RunningJob::new(job.clone(), job.demand, 0));
        throttle_to_targets(&cluster.interference, &mut with);
        (batch_cpu(&with) - before) / job.demand.cpu_millis as f64
    };
    let gains = cluster.hosts.iter().map(gain).enumerate();
    let best = gains.max_by(|left, right| left.1.total_cmp(&right.1));
    best.filter(|(_, gain)| *gain >= MIN_GAIN).map(|(at, _)| at)
}

fn fits(host: &Host, job: &BatchJob, batch_percent: u64) -> bool {
    let batch: Size = host.jobs.iter().map(|running| running.reserved).sum();
    let batch = batch + job.demand;
    let percent = if host.services.is_empty() {
        100
    } else {
        batch_percent
    };
    let most = Size::new(
        HOST_CAPACITY.cpu_millis * percent / 100,
        HOST_CAPACITY.memory_mib * percent / 100,
        0,
    );
    let services: Size = host.services.iter().map(|_| SERVICE_RESERVATION).sum();
    batch.fits(&most) && (batch + services).fits(&HOST_CAPACITY)
}

fn batch_cpu(host: &Host) -> f64 {
    host.jobs.iter().map(RunningJob::cpu).sum()
}

/// Caps the jobs that harm most, just so far that the worst service keeps its target.
fn throttle_to_targets(interference: &Interference, host: &mut Host) {
    for running in &mut host.jobs {
        running.permille = 1000.0;
    }
    let harm = |class: usize| {
        let harms = host
            .services
            .iter()
            .map(|service| interference.coefficient(service.class, class));
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
        if worst_p99(interference, host) <= 1.0 {
            return;
        }
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            host.jobs[at].permille = middle;
            if worst_p99(interference, host) <= 1.0 {
                low = middle;
            } else {
                high = middle;
            }
        }
        host.jobs[at].permille = low;
    }
}

fn worst_p99(interference: &Interference, host: &Host) -> f64 {
    let batch_shares = batch_shares(host);
    let of = |service: &crate::policy::cluster::Service| {
        interference.p99(service.class, service.load, &batch_shares)
    };
    host.services.iter().map(of).fold(0.0, f64::max)
}
