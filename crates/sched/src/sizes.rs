//! Learned sizes and run times of a class, because declared ones may be wrong.
//!
//! Peak usage of runs is recorded in histograms, both in absolute terms and relative to the
//! declared size; the one with the narrower distribution is used. Two generations of histograms let
//! old runs expire. See `docs/POLICY.md`.

use hdrhistogram::Histogram;
use model::Size;

/// How many runs must be recorded before learned sizes replace declared ones.
const MIN_LEARNED_RUNS: u64 = 8;
/// How many runs one generation of histograms records.
const GENERATION_RUNS: u64 = 32;
/// The precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Larger samples are clamped to this value.
const MAX_SAMPLE: u64 = 1 << 40;
/// The quantile of peak processor usage that is reserved for a service, which has to respond in
/// time.
const SERVICE_CPU_QUANTILE: f64 = 0.90;
/// The quantile of peak processor usage that is reserved for a batch task. A task that needs more
/// only runs slower, while an unused reservation does no work.
const BATCH_CPU_QUANTILE: f64 = 0.50;
/// The quantile of peak memory usage that is reserved. A task that needs more fails, and more is
/// reserved for its next run.
const MEMORY_QUANTILE: f64 = 0.95;
/// The reservation for a batch task as a percentage of the quantile of processor usage.
const BATCH_CPU_MARGIN_PERCENT: u64 = 103;
/// The reservation for a service as a percentage of the quantile of processor usage. At its peak it
/// then runs at a load of 70%; above that its tail latency rises steeply.
const SERVICE_CPU_MARGIN_PERCENT: u64 = 143;
/// The reservation as a percentage of the quantile of memory usage.
const MEMORY_MARGIN_PERCENT: u64 = 108;
/// Usage of at least this percentage of the reservation was probably capped by it.
const CAPPED_PERCENT: u64 = 98;
/// The estimated true usage of a capped run, as a percentage of its measured usage.
const CAPPED_GROWTH_PERCENT: u64 = 125;
/// The same after [`REPEATED_CAP_RUNS`] consecutive capped runs.
const REPEATED_CAP_GROWTH_PERCENT: u64 = 200;
/// How many times narrower the distribution of relative usage must be than that of absolute usage
/// to be preferred.
const MIN_RELATIVE_ADVANTAGE: f64 = 2.0;
/// A capped run counts only if its reservation differs from the current one by at most this
/// percentage.
const RESERVATION_CHANGE_PERCENT: u64 = 10;
/// After this many consecutive capped runs, older runs are discarded.
const REPEATED_CAP_RUNS: u32 = 8;
/// The minimum reservation while no sizes are learned.
const MIN_DECLARED_RESERVATION: Size = Size::new(500, 512, 0);
/// The minimum reservation once sizes are learned.
const MIN_LEARNED_RESERVATION: Size = Size::new(100, 64, 0);

/// Quantiles over the current and the previous generation of samples.
#[derive(Debug)]
struct Quantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Quantiles {
    fn new() -> Self {
        let empty = || Histogram::new(SIGNIFICANT_DIGITS).expect("the precision is valid");
        Self {
            current: empty(),
            previous: empty(),
        }
    }

    fn record(&mut self, sample: u64) {
        if self.current.len() >= GENERATION_RUNS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        // The histogram resizes itself; a sample is lost only if it cannot grow any further.
        let _ = self.current.record(sample.clamp(1, MAX_SAMPLE));
    }

    fn merged(&self) -> Histogram<u32> {
        let mut merged = self.previous.clone();
        if merged.add(&self.current).is_err() {
            return self.current.clone();
        }
        merged
    }
}

/// The samples of one resource: the usage of all runs, the usage of uncapped runs, and the latter
/// in thousandths of the declared size.
#[derive(Debug)]
struct Dimension {
    absolute: Quantiles,
    uncapped: Quantiles,
    relative: Quantiles,
    consecutive_capped: u32,
}

/// The usage of one resource by one run.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// The measured peak.
    used: u64,
    /// Whether the reservation probably capped the usage.
    is_capped: bool,
}

/// A quantile of one resource's usage.
#[derive(Clone, Copy, Debug)]
enum Estimate {
    /// The usage itself.
    Absolute(u64),
    /// Thousandths of the declared size.
    Relative(u64),
}

impl Estimate {
    fn size_for(self, declared: u64, margin_percent: u64) -> u64 {
        let size = match self {
            Self::Absolute(size) => size,
            Self::Relative(permille) => declared.saturating_mul(permille) / 1000,
        };
        size.saturating_mul(margin_percent) / 100
    }
}

impl Dimension {
    fn new() -> Self {
        Self {
            absolute: Quantiles::new(),
            uncapped: Quantiles::new(),
            relative: Quantiles::new(),
            consecutive_capped: 0,
        }
    }

    /// Records a peak; only an uncapped one relates usage to the declared size.
    ///
    /// Consecutive capped runs count only once sizes are learned: before that, an exact declaration
    /// caps every run.
    fn record(&mut self, peak: Sample, declared: u64, is_learned: bool) {
        self.consecutive_capped = match (peak.is_capped, is_learned) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => self.consecutive_capped + 1,
        };
        if self.consecutive_capped % REPEATED_CAP_RUNS == REPEATED_CAP_RUNS - 1 {
            self.absolute = Quantiles::new();
        }
        let growth = match self.consecutive_capped {
            0 => 100,
            1..REPEATED_CAP_RUNS => CAPPED_GROWTH_PERCENT,
            _ => REPEATED_CAP_GROWTH_PERCENT,
        };
        let estimated = peak.used.saturating_mul(growth) / 100;
        self.absolute.record(estimated);
        let permille = peak.used.saturating_mul(1000).checked_div(declared);
        if let Some(permille) = permille.filter(|_| !peak.is_capped) {
            self.uncapped.record(peak.used);
            self.relative.record(permille);
        }
    }

    fn runs(&self) -> u64 {
        self.absolute.current.len() + self.absolute.previous.len()
    }

    fn estimate(&self, quantile: f64) -> Estimate {
        let absolute = self.absolute.merged();
        let relative = self.relative.merged();
        let high = absolute.value_at_quantile(quantile);
        let is_narrower =
            spread(&relative) * MIN_RELATIVE_ADVANTAGE <= spread(&self.uncapped.merged());
        if relative.len() < MIN_LEARNED_RUNS || !is_narrower {
            return Estimate::Absolute(high);
        }
        Estimate::Relative(relative.value_at_quantile(quantile))
    }
}

fn spread(samples: &Histogram<u32>) -> f64 {
    let high = samples.value_at_quantile(0.95);
    let low = samples.value_at_quantile(0.05).max(1);
    high as f64 / low as f64
}

/// The peak usage of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeakUsage {
    /// The highest reported usage; processor usage counts only while the run is not throttled.
    pub(crate) usage: Size,
    /// The declared size.
    pub(crate) declared: Size,
    /// The reserved size.
    pub(crate) reserved: Size,
}

/// Learns the sizes and run times of one class.
#[derive(Debug)]
pub(crate) struct SizeEstimator {
    cpu: Dimension,
    memory: Dimension,
    run_ms: Quantiles,
    /// The number of recorded runs.
    pub(crate) runs: u64,
    estimates: Option<(Estimate, Estimate)>,
    /// Whether the tasks of the class are latency-critical services.
    pub(crate) is_service: bool,
    /// The 90th percentile of the run times in milliseconds, once learned.
    pub(crate) run_p90_ms: Option<u64>,
}

impl SizeEstimator {
    /// Creates an estimator without samples.
    pub(crate) fn new() -> Self {
        Self {
            cpu: Dimension::new(),
            memory: Dimension::new(),
            run_ms: Quantiles::new(),
            runs: 0,
            estimates: None,
            is_service: false,
            run_p90_ms: None,
        }
    }

    /// Records the peak usage of a run. Processor usage is zero if the run was throttled all the
    /// time, and is then skipped.
    ///
    /// The reservation may have capped processor usage. It cannot have capped memory usage, because
    /// a task that needs more memory than it gets fails.
    pub(crate) fn record(&mut self, peak: &PeakUsage) {
        let (current, is_learned) = self.reservation(&peak.declared);
        let (usage, reserved) = (&peak.usage, &peak.reserved);
        let cpu = sample(usage.cpu_millis, reserved.cpu_millis, current.cpu_millis);
        if let Some(cpu) = cpu.filter(|cpu| cpu.used > 0) {
            self.cpu.record(cpu, peak.declared.cpu_millis, is_learned);
        }
        let memory = Sample {
            used: usage.memory_mib,
            is_capped: false,
        };
        self.memory
            .record(memory, peak.declared.memory_mib, is_learned);
        self.runs += 1;
        let has_enough_runs =
            self.cpu.runs() >= MIN_LEARNED_RUNS && self.memory.runs() >= MIN_LEARNED_RUNS;
        if has_enough_runs || self.estimates.is_some() {
            let cpu = self.cpu.estimate(if self.is_service {
                SERVICE_CPU_QUANTILE
            } else {
                BATCH_CPU_QUANTILE
            });
            let memory = self.memory.estimate(MEMORY_QUANTILE);
            self.estimates = Some((cpu, memory));
        }
    }

    /// Records the duration of a successful run.
    pub(crate) fn record_run(&mut self, run_ms: u64) {
        self.run_ms.record(run_ms);
        let merged = self.run_ms.merged();
        if merged.len() >= MIN_LEARNED_RUNS {
            self.run_p90_ms = Some(merged.value_at_quantile(0.9));
        }
    }

    /// Returns the size to reserve for a task, and whether it was learned.
    pub(crate) fn reservation(&self, declared: &Size) -> (Size, bool) {
        match self.estimates {
            None => (declared.max(&MIN_DECLARED_RESERVATION), false),
            Some((cpu, memory)) => {
                let margin_percent = if self.is_service {
                    SERVICE_CPU_MARGIN_PERCENT
                } else {
                    BATCH_CPU_MARGIN_PERCENT
                };
                let cpu = cpu.size_for(declared.cpu_millis, margin_percent);
                let memory = memory.size_for(declared.memory_mib, MEMORY_MARGIN_PERCENT);
                let size = Size::new(cpu, memory, declared.accelerators);
                (size.max(&MIN_LEARNED_RESERVATION), true)
            }
        }
    }
}

/// Returns the usage of a run and whether its reservation capped it. Returns `None` if it was
/// capped and a different size is reserved by now, because counting only some of the runs under old
/// reservations would bias the estimate.
const fn sample(usage: u64, reserved: u64, current_reserved: u64) -> Option<Sample> {
    let is_capped = usage.saturating_mul(100) >= reserved.saturating_mul(CAPPED_PERCENT);
    let differs = reserved.abs_diff(current_reserved) * 100 > reserved * RESERVATION_CHANGE_PERCENT;
    if is_capped && differs {
        return None;
    }
    Some(Sample {
        used: usage,
        is_capped,
    })
}
