//! A simulated cluster: workers with services, whose p99 depends on their load and on the batch jobs
//! beside them, the batch jobs, and the usage reports of the workers.

use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::policy::batch_job::BatchJob;
use crate::policy::batch_job::RunningJob;
use crate::policy::interference::BATCH_CLASSES;
use crate::policy::interference::Interference;
use crate::policy::interference::SERVICE_CLASSES;

/// Number of workers.
pub const HOSTS: usize = 20;
/// One in this many workers runs no service.
const BATCH_ONLY_EVERY: usize = 5;
/// Capacity of each worker.
pub const HOST_CAPACITY: Size = Size::new(64_000, 256_000, 0);
/// Resources reserved for each service.
pub const SERVICE_RESERVATION: Size = Size::new(14_000, 40_000, 0);
/// The batch class with the strongest interference, which may arrive in waves.
const NOISY_CLASS: usize = 3;
/// Length of the window that a report covers, in seconds.
pub const REPORT_WINDOW_S: u64 = 5;
/// Time after which the worker kills a job whose reserved memory is too small, in seconds.
const OUT_OF_MEMORY_AFTER_S: u64 = 10;
/// Standard deviation of the logarithm of a reported p99 around the true value.
const P99_NOISE: f64 = 0.08;
/// Percentage of reports that are lost.
const MISSING_PERCENT: u32 = 10;
/// Upper bound, exclusive, of a report's random delay on top of its lag, in seconds.
const MAX_JITTER_S: u64 = 6;

/// The conditions of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name, as part of the names of its figures.
    pub name: &'static str,
    /// Whether service loads change abruptly.
    pub load_shifts: bool,
    /// Whether jobs of the noisiest class arrive in waves.
    pub noisy_waves: bool,
    /// Whether declared job sizes differ from the real demand.
    pub wrong_sizes: bool,
    /// Delay of usage reports in seconds.
    pub lag_s: u64,
}

impl Scenario {
    /// Creates a scenario with steady loads and correct sizes.
    pub const fn named(name: &'static str) -> Self {
        Self {
            name,
            load_shifts: false,
            noisy_waves: false,
            wrong_sizes: false,
            lag_s: 15,
        }
    }
}

/// A service on a worker.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service class.
    pub class: usize,
    /// Current load as a fraction of the reservation.
    pub load: f64,
    phase: f64,
    shift: f64,
    window_load: f64,
    window_p99: f64,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct Host {
    /// The services it runs.
    pub services: Vec<Service>,
    /// The batch jobs it runs.
    pub jobs: Vec<RunningJob>,
}

/// What an entry of a usage report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunId {
    /// The batch job with this number.
    Job(usize),
    /// The service with this index on the reporting host.
    Service(usize),
}

/// The entry of a usage report for one service or batch job.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// The service or job that the entry is about.
    pub id: RunId,
    /// Mean resource use over the window.
    pub usage: Size,
    /// The service's p99 relative to its target, with measurement noise; `None` for a job.
    pub p99: Option<f64>,
    /// Completed work in milliseconds.
    pub progress_ms: u64,
    /// CPU limit in thousandths of the reserved CPU.
    pub permille: u16,
}

/// A usage report in transit.
#[derive(Clone, Debug)]
pub struct Report {
    /// Index of the reporting host.
    pub host: usize,
    /// Sequence number; later reports have higher numbers.
    pub sequence: u64,
    /// Start of the reported window, in seconds.
    pub window_start_s: u64,
    /// Time of arrival at the scheduler, in seconds.
    pub arrives_at_s: u64,
    /// Entries for the services and jobs of the host.
    pub runs: Vec<RunReport>,
}

/// The jobs that ended in one second.
#[derive(Clone, Debug, Default)]
pub struct EndedJobs {
    /// Jobs that completed their work.
    pub succeeded: Vec<BatchJob>,
    /// Jobs killed because their reserved memory was too small.
    pub failed: Vec<BatchJob>,
    /// Jobs that were evicted.
    pub stopped: Vec<BatchJob>,
}

/// The workers, the arriving jobs and the reports in transit.
#[derive(Clone, Debug)]
pub struct SimulatedCluster {
    scenario: Scenario,
    /// The interference, unknown to the scheduling policy.
    pub interference: Interference,
    /// The workers with their services and jobs.
    pub hosts: Vec<Host>,
    /// Random source of arriving jobs.
    arrivals: SmallRng,
    loads: SmallRng,
    noise: SmallRng,
    next_job: usize,
    reports: Vec<Report>,
}

impl SimulatedCluster {
    /// Creates a cluster. Arrivals and loads depend only on the seed, not on the strategy.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut loads = SmallRng::seed_from_u64(seed);
        let interference = Interference::draw(&mut loads);
        let service = |number: usize, loads: &mut SmallRng| Service {
            class: number % SERVICE_CLASSES,
            load: 0.4,
            phase: loads.random_range(0.0..1.0),
            shift: 0.0,
            window_load: 0.0,
            window_p99: 0.0,
        };
        let mut host = |number: usize| Host {
            services: if number.is_multiple_of(BATCH_ONLY_EVERY) {
                Vec::new()
            } else {
                (0..2)
                    .map(|index| service(number + index, &mut loads))
                    .collect()
            },
            jobs: Vec::new(),
        };
        let hosts = (0..HOSTS).map(&mut host).collect();
        Self {
            scenario: *scenario,
            interference,
            hosts,
            arrivals: SmallRng::seed_from_u64(seed + 1000),
            loads,
            noise: SmallRng::seed_from_u64(seed + 2000),
            next_job: 0,
            reports: Vec::new(),
        }
    }

    /// Returns the next job that arrives.
    pub fn next_arrival(&mut self, now_s: u64) -> BatchJob {
        let rng = &mut self.arrivals;
        let is_wave = self.scenario.noisy_waves && (now_s / 300) % 3 == 1;
        let is_noisy = rng.random_range(0.0..1.0) < if is_wave { 0.7 } else { 0.15 };
        let class = if is_noisy {
            NOISY_CLASS
        } else {
            rng.random_range(0..NOISY_CLASS)
        };
        let demand = Size::new(
            rng.random_range(2_000..8_000),
            rng.random_range(4_000..20_000),
            0,
        );
        let factor = rng.random_range(-1.2_f64..1.2).exp();
        let declared = if self.scenario.wrong_sizes {
            let scaled = |size: u64| (size as f64 * factor) as u64;
            Size::new(scaled(demand.cpu_millis), scaled(demand.memory_mib), 0)
        } else {
            demand
        };
        self.next_job += 1;
        BatchJob {
            number: self.next_job,
            class,
            demand,
            declared,
            work_s: rng.random_range(120.0..900.0),
            done_s: 0.0,
            evictions: 0,
            failures: 0,
        }
    }

    /// Advances the simulation by one second and returns the jobs that ended.
    pub fn advance(&mut self, now_s: u64) -> EndedJobs {
        let mut ended_jobs = EndedJobs::default();
        for host in &mut self.hosts {
            for service in &mut host.services {
                update_load(service, &self.scenario, now_s, &mut self.loads);
            }
            for running in &mut host.jobs {
                running.window_cpu += running.cpu() / REPORT_WINDOW_S as f64;
                if now_s >= running.progress_from_s {
                    running.job.done_s += running.cpu() / running.job.demand.cpu_millis as f64;
                }
            }
            let batch_shares = batch_shares(host);
            for service in &mut host.services {
                let p99 = self
                    .interference
                    .p99(service.class, service.load, &batch_shares);
                service.window_load += service.load / REPORT_WINDOW_S as f64;
                service.window_p99 += p99 / REPORT_WINDOW_S as f64;
            }
            host.jobs.retain(|running| {
                let is_done = running.job.done_s >= running.job.work_s;
                let is_stopped = running.stops_at_s.is_some_and(|stops_at| stops_at <= now_s);
                let is_out_of_memory = running.job.demand.memory_mib > running.reserved.memory_mib;
                let has_failed =
                    is_out_of_memory && now_s >= running.progress_from_s + OUT_OF_MEMORY_AFTER_S;
                if is_done {
                    ended_jobs.succeeded.push(running.job.clone());
                } else if has_failed {
                    ended_jobs.failed.push(running.job.clone());
                } else if is_stopped {
                    ended_jobs.stopped.push(running.job.clone());
                }
                !is_done && !is_stopped && !has_failed
            });
        }
        if (now_s + 1).is_multiple_of(REPORT_WINDOW_S) {
            self.close_windows(now_s);
        }
        ended_jobs
    }

    /// Removes and returns the reports that have arrived, possibly out of order.
    pub fn take_due_reports(&mut self, now_s: u64) -> Vec<Report> {
        let is_due = |report: &Report| report.arrives_at_s <= now_s;
        let due = self.reports.iter().filter(|report| is_due(report)).cloned();
        let due = due.collect();
        self.reports.retain(|report| !is_due(report));
        due
    }

    fn close_windows(&mut self, now_s: u64) {
        for number in 0..self.hosts.len() {
            let host = &mut self.hosts[number];
            let runs = close_window(host, &mut self.noise);
            let delay = self.noise.random_range(0..MAX_JITTER_S);
            let is_lost = self.noise.random_range(0..100) < MISSING_PERCENT;
            if !is_lost {
                self.reports.push(Report {
                    host: number,
                    sequence: now_s,
                    window_start_s: now_s + 1 - REPORT_WINDOW_S,
                    arrives_at_s: now_s + 1 + self.scenario.lag_s
                        - REPORT_WINDOW_S.min(self.scenario.lag_s)
                        + delay,
                    runs,
                });
            }
        }
    }
}

/// Returns the share of a worker's CPU that each batch class uses.
pub fn batch_shares(host: &Host) -> [f64; BATCH_CLASSES] {
    let mut batch_shares = [0.0; BATCH_CLASSES];
    for running in &host.jobs {
        batch_shares[running.job.class] += running.cpu() / HOST_CAPACITY.cpu_millis as f64;
    }
    batch_shares
}

fn update_load(service: &mut Service, scenario: &Scenario, now_s: u64, rng: &mut SmallRng) {
    let cycle = now_s as f64 / 2400.0 + service.phase;
    let base_load = 0.45 + 0.15 * (cycle * std::f64::consts::TAU).sin();
    if scenario.load_shifts && rng.random_range(0..400) == 0 {
        service.shift = if service.shift > 0.0 {
            0.0
        } else {
            rng.random_range(0.1..0.22)
        };
    }
    service.load = base_load + service.shift;
}

fn close_window(host: &mut Host, noise: &mut SmallRng) -> Vec<RunReport> {
    let mut runs = Vec::new();
    for (index, service) in host.services.iter_mut().enumerate() {
        let deviation: f64 = (0..4).map(|_| noise.random_range(-0.866..0.866)).sum();
        runs.push(RunReport {
            id: RunId::Service(index),
            usage: Size::new(
                (service.window_load * SERVICE_RESERVATION.cpu_millis as f64) as u64,
                SERVICE_RESERVATION.memory_mib / 2,
                0,
            ),
            p99: Some(service.window_p99 * (P99_NOISE * deviation).exp()),
            progress_ms: 0,
            permille: 1000,
        });
        service.window_load = 0.0;
        service.window_p99 = 0.0;
    }
    for running in &mut host.jobs {
        let memory = running
            .job
            .demand
            .memory_mib
            .min(running.reserved.memory_mib);
        runs.push(RunReport {
            id: RunId::Job(running.job.number),
            usage: Size::new(running.window_cpu as u64, memory, 0),
            p99: None,
            progress_ms: (running.job.done_s * 1000.0) as u64,
            permille: running.permille as u16,
        });
        running.window_cpu = 0.0;
    }
    runs
}
