//! A near-optimal strategy that knows interference, loads and real job sizes without delay.

use model::Size;

use crate::policy::batch_job::BatchJob;
use crate::policy::batch_job::RunningJob;
use crate::policy::cluster::HOST_CAPACITY;
use crate::policy::cluster::Host;
use crate::policy::cluster::SERVICE_RESERVATION;
use crate::policy::cluster::Service;
use crate::policy::cluster::SimulatedCluster;
use crate::policy::cluster::batch_shares;
use crate::policy::interference::Interference;

/// Minimum net gain in batch CPU for a placement, as a fraction of the job's demand.
const MIN_GAIN: f64 = 0.5;
/// Maximum number of waiting jobs considered per second.
const MAX_CANDIDATES: usize = 20;
const BISECTION_STEPS: u32 = 12;

/// Places waiting jobs where they gain most, and recomputes all CPU limits so that services just
/// meet their targets.
pub fn decide(
    cluster: &mut SimulatedCluster,
    queue: &mut Vec<BatchJob>,
    batch_percent: u64,
    now_s: u64,
) {
    let mut index = 0;
    let mut remaining = MAX_CANDIDATES;
    while index < queue.len() && remaining > 0 {
        remaining -= 1;
        match choose_host(cluster, &queue[index], batch_percent) {
            Some(host) => {
                let job = queue.remove(index);
                let reserved = job.demand;
                let running = RunningJob::new(job, reserved, now_s);
                cluster.hosts[host].jobs.push(running);
            }
            None => index += 1,
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
        let mut candidate = host.clone();
        let before = batch_cpu(&candidate);
        candidate
            .jobs
            .push(RunningJob::new(job.clone(), job.demand, 0));
        throttle_to_targets(&cluster.interference, &mut candidate);
        (batch_cpu(&candidate) - before) / job.demand.cpu_millis as f64
    };
    let gains = cluster.hosts.iter().map(gain).enumerate();
    let best = gains.max_by(|left, right| left.1.total_cmp(&right.1));
    best.filter(|(_, gain)| *gain >= MIN_GAIN)
        .map(|(index, _)| index)
}

fn fits(host: &Host, job: &BatchJob, batch_percent: u64) -> bool {
    let batch: Size = host.jobs.iter().map(|running| running.reserved).sum();
    let batch = batch + job.demand;
    let percent = if host.services.is_empty() {
        100
    } else {
        batch_percent
    };
    let batch_limit = Size::new(
        HOST_CAPACITY.cpu_millis * percent / 100,
        HOST_CAPACITY.memory_mib * percent / 100,
        0,
    );
    let services: Size = host.services.iter().map(|_| SERVICE_RESERVATION).sum();
    batch.fits(&batch_limit) && (batch + services).fits(&HOST_CAPACITY)
}

fn batch_cpu(host: &Host) -> f64 {
    host.jobs.iter().map(RunningJob::cpu).sum()
}

/// Throttles the most interfering jobs first, just far enough for the worst service to meet its
/// target.
fn throttle_to_targets(interference: &Interference, host: &mut Host) {
    for running in &mut host.jobs {
        running.permille = 1000.0;
    }
    let max_coefficient = |class: usize| {
        let coefficients = host
            .services
            .iter()
            .map(|service| interference.coefficient(service.class, class));
        coefficients.fold(0.0, f64::max)
    };
    let mut order: Vec<(f64, usize)> = host
        .jobs
        .iter()
        .enumerate()
        .map(|(index, running)| (max_coefficient(running.job.class), index))
        .collect();
    order.sort_by(|left, right| right.0.total_cmp(&left.0));
    for (_, index) in order {
        if worst_p99(interference, host) <= 1.0 {
            return;
        }
        let (mut low, mut high) = (0.0, 1000.0);
        for _ in 0..BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            host.jobs[index].permille = middle;
            if worst_p99(interference, host) <= 1.0 {
                low = middle;
            } else {
                high = middle;
            }
        }
        host.jobs[index].permille = low;
    }
}

fn worst_p99(interference: &Interference, host: &Host) -> f64 {
    let batch_shares = batch_shares(host);
    let p99_of = |service: &Service| interference.p99(service.class, service.load, &batch_shares);
    host.services.iter().map(p99_of).fold(0.0, f64::max)
}
