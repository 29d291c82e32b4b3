//! Learned sizes and run times of a class, because declared ones are claims.
//!
//! Peaks of finished runs are kept as quantiles, both absolute and in proportion to what was
//! declared; the one that predicts more narrowly is used. Two generations of histograms forget old
//! runs. See `docs/POLICY.md`.

use hdrhistogram::Histogram;
use model::Size;

/// How many runs are needed before learned sizes replace declared ones.
const MIN_LEARNED_RUNS: u64 = 8;
/// How many runs one generation of histograms holds.
const GENERATION_RUNS: u64 = 32;
/// The precision of the histograms in significant digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Larger samples are taken for this.
const MAX_SAMPLE: u64 = 1 << 40;
/// The quantile of peak processor use that is reserved for a service, which has to answer in time.
const SERVICE_CPU_QUANTILE: f64 = 0.90;
/// The quantile of peak processor use that is reserved for a batch task; one that needs more is only
/// slower, and what is reserved in vain does no work.
const BATCH_CPU_QUANTILE: f64 = 0.50;
/// The quantile of peak memory use that is reserved; a task that needs more fails and gets more at
/// its next run.
const MEMORY_QUANTILE: f64 = 0.95;
/// What of the quantile of a batch task's processor use is reserved, in percent.
const BATCH_CPU_MARGIN_PERCENT: u64 = 103;
/// What of the quantile of a service's processor use is reserved, in percent; at its peak it then
/// runs at a load of 70%, as its tail grows steeply beyond.
const SERVICE_CPU_MARGIN_PERCENT: u64 = 143;
/// What of the quantile of memory use is reserved, in percent.
const MEMORY_MARGIN_PERCENT: u64 = 108;
/// A use of this part of the reservation, in percent, was probably cut off by it.
const CAPPED_PERCENT: u64 = 98;
/// What a use that was cut off is taken for, in percent of it.
const CAPPED_GROWTH_PERCENT: u64 = 125;
/// The same once [`CUT_OFF_RUNS`] in a row were cut off again.
const REPEATED_CAP_GROWTH_PERCENT: u64 = 200;
/// By which factor use in proportion to the declared size has to spread less than use itself to be
/// preferred.
const MIN_RELATIVE_ADVANTAGE: f64 = 2.0;
/// By how much a reservation may differ from the present one to count if it cut use off, in percent.
const RESERVATION_CHANGE_PERCENT: u64 = 10;
/// After so many runs in a row that were cut off, older ones no longer count.
const REPEATED_CAP_RUNS: u32 = 8;
/// The least that is reserved while nothing is known but the claim.
const MIN_DECLARED_RESERVATION: Size = Size::new(500, 512, 0);
/// The least that is ever reserved.
const MIN_LEARNED_RESERVATION: Size = Size::new(100, 64, 0);

/// Quantiles over the last one to two generations of samples.
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
        // The histogram resizes itself, so that a sample is only lost where it cannot grow further.
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

/// One dimension: all peaks, those that nothing cut off, and the latter in thousandths of what was
/// declared.
#[derive(Debug)]
struct Dimension {
    absolute: Quantiles,
    uncapped: Quantiles,
    relative: Quantiles,
    consecutive_capped: u32,
}

/// What was seen of a run in one dimension.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// What it used.
    used: u64,
    /// Whether its reservation cut it off.
    is_capped: bool,
}

/// What a dimension's quantile is taken from.
#[derive(Clone, Copy, Debug)]
enum Estimate {
    /// The size itself.
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

    /// Records a peak; only one that nothing cut off says how it relates to the declared size.
    ///
    /// Runs in a row that were cut off count only once something was learned: before, a claim that
    /// is exact cuts off every run.
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
        let grown = peak.used.saturating_mul(growth) / 100;
        self.absolute.record(grown);
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
        let narrow = spread(&relative) * MIN_RELATIVE_ADVANTAGE <= spread(&self.uncapped.merged());
        if relative.len() < MIN_LEARNED_RUNS || !narrow {
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

/// What a run used at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeakUsage {
    /// The highest use seen while it was not throttled.
    pub(crate) usage: Size,
    /// What was declared.
    pub(crate) declared: Size,
    /// What was reserved.
    pub(crate) reserved: Size,
}

/// The learned sizes and run times of one class.
#[derive(Debug)]
pub(crate) struct SizeEstimator {
    cpu: Dimension,
    memory: Dimension,
    run_ms: Quantiles,
    /// How many runs were recorded.
    pub(crate) runs: u64,
    estimates: Option<(Estimate, Estimate)>,
    /// Whether its tasks serve requests.
    pub(crate) is_service: bool,
    /// The ninth decile of the run times in milliseconds.
    pub(crate) run_p90_ms: Option<u64>,
}

impl SizeEstimator {
    /// Makes sizes that have learned nothing.
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

    /// Records the peaks of a run; no processor use was seen where it was always throttled.
    ///
    /// Processor use may have been cut off by the reservation. Memory use was not, because a task
    /// that wants more than it gets fails.
    pub(crate) fn record(&mut self, peak: &PeakUsage) {
        let (now, is_learned) = self.reservation(&peak.declared);
        let (usage, reserved) = (&peak.usage, &peak.reserved);
        let cpu = sample(usage.cpu_millis, reserved.cpu_millis, now.cpu_millis);
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

    /// Records how long a run that succeeded took.
    pub(crate) fn record_run(&mut self, run_ms: u64) {
        self.run_ms.record(run_ms);
        let merged = self.run_ms.merged();
        if merged.len() >= MIN_LEARNED_RUNS {
            self.run_p90_ms = Some(merged.value_at_quantile(0.9));
        }
    }

    /// Returns what to reserve for a task, and whether it was learned.
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

/// Returns what a run used and whether its reservation cut that off; `None` if it did and another
/// size is reserved by now, because counting only some of the old sizes would lead astray.
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
