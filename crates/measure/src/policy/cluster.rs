//! A few fake workers: services whose tail depends on load and neighbours, batch jobs, and reports.

use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The workers.
pub const HOSTS: usize = 20;
/// Of so many workers, one runs no service.
const BATCH_ONLY_EVERY: usize = 5;
/// What a worker has.
pub const HOST_CAPACITY: Size = Size::new(64_000, 256_000, 0);
/// What is reserved for a service.
pub const SERVICE_RESERVATION: Size = Size::new(14_000, 40_000, 0);
/// The service and batch classes.
pub const SERVICE_CLASSES: usize = 2;
pub const BATCH_CLASSES: usize = 4;
/// The noisiest batch class, which comes in waves.
const NOISY_CLASS: usize = 3;
/// The seconds of one report's window.
pub const REPORT_WINDOW_S: u64 = 5;
/// The seconds after which a job that got too little memory is ended by the worker's guards.
const OUT_OF_MEMORY_AFTER_S: u64 = 10;
/// The seconds after which a restarted job makes progress again.
pub const RESTART_DELAY_S: u64 = 30;
/// The spread of a reported p99 around the true one.
const P99_NOISE: f64 = 0.08;
/// How many reports of a hundred are missing.
const MISSING_PERCENT: u32 = 10;
/// The latest that a report comes beside its lag, in seconds.
const MAX_JITTER_S: u64 = 6;

/// What happens in a trial.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Whether loads jump.
    pub load_shifts: bool,
    /// Whether noisy jobs come in waves.
    pub noisy_waves: bool,
    /// Whether declared sizes are far off.
    pub wrong_sizes: bool,
    /// The lag of reports in seconds.
    pub lag_s: u64,
}

impl Scenario {
    /// A scenario in which nothing out of the ordinary happens.
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

/// The interference that no policy is told.
#[derive(Clone, Debug)]
pub struct Interference {
    base: [f64; SERVICE_CLASSES],
    steepness: [f64; SERVICE_CLASSES],
    coefficients: [[f64; BATCH_CLASSES]; SERVICE_CLASSES],
}

impl Interference {
    /// Draws the interference of one seed; each pair has its own.
    fn draw(rng: &mut SmallRng) -> Self {
        let mut coefficients = [[0.0; BATCH_CLASSES]; SERVICE_CLASSES];
        for row in &mut coefficients {
            for (batch, coefficient) in row.iter_mut().enumerate() {
                let scale = [0.1, 0.5, 1.0, 3.0][batch];
                *coefficient = scale * rng.random_range(0.5..1.6);
            }
        }
        Self {
            base: [rng.random_range(0.25..0.32), rng.random_range(0.2..0.3)],
            steepness: [rng.random_range(0.6..0.8), rng.random_range(0.8..1.0)],
            coefficients,
        }
    }

    /// Returns a service's p99 over its target beside batch that takes these parts of the worker.
    pub fn p99(&self, service: usize, load: f64, batch_shares: &[f64; BATCH_CLASSES]) -> f64 {
        let alone = self.base[service] / (1.0 - load.min(0.98)).powf(self.steepness[service]);
        let beside = self.coefficients[service].iter().zip(batch_shares);
        let factors =
            beside.map(|(coefficient, part)| 1.0 + coefficient * part * (0.4 + 1.6 * load * load));
        alone * factors.product::<f64>()
    }

    /// Returns how much a batch class adds to the tail of a service.
    pub const fn coefficient(&self, service: usize, batch: usize) -> f64 {
        self.coefficients[service][batch]
    }
}

/// A batch job.
#[derive(Clone, Debug)]
pub struct BatchJob {
    /// Its number, which names it.
    pub number: usize,
    /// Its class.
    pub class: usize,
    /// What it really uses.
    pub demand: Size,
    /// What is declared.
    pub declared: Size,
    /// The seconds of unthrottled run time that it takes.
    pub work_s: f64,
    /// The seconds that are done.
    pub done_s: f64,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it failed for want of memory.
    pub failures: u32,
}

/// A job on a worker.
#[derive(Clone, Debug)]
pub struct RunningJob {
    /// The job.
    pub job: BatchJob,
    /// What is reserved for it, which the worker's guards hold it to.
    pub reserved: Size,
    /// The cap on its processor time in thousandths of what is reserved.
    pub permille: f64,
    /// When it starts to make progress.
    pub progress_from_s: u64,
    /// When it stops, if it is being evicted.
    pub stops_at_s: Option<u64>,
    window_cpu: f64,
}

impl RunningJob {
    /// Starts a job.
    pub fn new(job: BatchJob, reserved: Size, now_s: u64) -> Self {
        let restart = if job.evictions > 0 {
            RESTART_DELAY_S
        } else {
            0
        };
        Self {
            job,
            reserved,
            permille: 1000.0,
            progress_from_s: now_s + restart,
            stops_at_s: None,
            window_cpu: 0.0,
        }
    }

    /// Returns the processor time it takes, in thousandths of a core.
    pub fn cpu(&self) -> f64 {
        let limit = self.reserved.cpu_millis as f64 * self.permille / 1000.0;
        limit.min(self.job.demand.cpu_millis as f64)
    }
}

/// A service on a worker.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its class.
    pub class: usize,
    /// Its load now, as a part of its reservation.
    pub load: f64,
    phase: f64,
    shift: f64,
    window_load: f64,
    window_p99: f64,
}

/// A fake worker.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its services.
    pub services: Vec<Service>,
    /// Its jobs.
    pub jobs: Vec<RunningJob>,
}

/// One run as a report has it: the job's number or the service's index, and what it used.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// The job's number, or the service's place on the host.
    pub id: Result<usize, usize>,
    /// What it used.
    pub usage: Size,
    /// Its p99 over the target.
    pub p99: Option<f64>,
    /// Its progress in milliseconds.
    pub progress_ms: u64,
    /// Its cap.
    pub permille: u16,
}

/// A report on its way.
#[derive(Clone, Debug)]
pub struct Report {
    /// Which host.
    pub host: usize,
    /// Its number.
    pub sequence: u64,
    /// When its window began.
    pub window_start_s: u64,
    /// When it arrives.
    pub arrives_at_s: u64,
    /// What it says.
    pub runs: Vec<RunReport>,
}

/// The jobs that ended in one second.
#[derive(Clone, Debug, Default)]
pub struct EndedJobs {
    /// They did their work.
    pub succeeded: Vec<BatchJob>,
    /// They got too little memory.
    pub failed: Vec<BatchJob>,
    /// They were evicted.
    pub stopped: Vec<BatchJob>,
}

/// The workers, what arrives and what is reported.
#[derive(Clone, Debug)]
pub struct SimulatedCluster {
    scenario: Scenario,
    /// The interference.
    pub interference: Interference,
    /// The workers.
    pub hosts: Vec<Host>,
    /// Jobs that have arrived and not yet been taken.
    arrivals: SmallRng,
    loads: SmallRng,
    noise: SmallRng,
    next_job: usize,
    reports: Vec<Report>,
}

impl SimulatedCluster {
    /// Makes a world; arrivals and loads depend on the seed and not on what a policy does.
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
                (0..2).map(|at| service(number + at, &mut loads)).collect()
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
        let noisy = rng.random_range(0.0..1.0) < if is_wave { 0.7 } else { 0.15 };
        let class = if noisy {
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

    /// Lets a second pass: loads move, jobs progress and windows fill.
    pub fn advance(&mut self, now_s: u64) -> EndedJobs {
        let mut ends = EndedJobs::default();
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
                    ends.succeeded.push(running.job.clone());
                } else if has_failed {
                    ends.failed.push(running.job.clone());
                } else if is_stopped {
                    ends.stopped.push(running.job.clone());
                }
                !is_done && !is_stopped && !has_failed
            });
        }
        if (now_s + 1).is_multiple_of(REPORT_WINDOW_S) {
            self.close_windows(now_s);
        }
        ends
    }

    /// Returns the reports that arrive now, not always in the order in which they were made.
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
            let late = self.noise.random_range(0..MAX_JITTER_S);
            let lost = self.noise.random_range(0..100) < MISSING_PERCENT;
            if !lost {
                self.reports.push(Report {
                    host: number,
                    sequence: now_s,
                    window_start_s: now_s + 1 - REPORT_WINDOW_S,
                    arrives_at_s: now_s + 1 + self.scenario.lag_s
                        - REPORT_WINDOW_S.min(self.scenario.lag_s)
                        + late,
                    runs,
                });
            }
        }
    }
}

/// Returns the part of a worker's processor time that each batch class takes.
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
    for (at, service) in host.services.iter_mut().enumerate() {
        let deviation: f64 = (0..4).map(|_| noise.random_range(-0.866..0.866)).sum();
        runs.push(RunReport {
            id: Err(at),
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
            id: Ok(running.job.number),
            usage: Size::new(running.window_cpu as u64, memory, 0),
            p99: None,
            progress_ms: (running.job.done_s * 1000.0) as u64,
            permille: running.permille as u16,
        });
        running.window_cpu = 0.0;
    }
    runs
}
