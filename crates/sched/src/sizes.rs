//! Learned sizes and run times of a class, because declared ones are claims.
//!
//! Peaks of finished runs are kept as quantiles, both absolute and in proportion to what was
//! declared; the one that predicts more narrowly is used. Two generations of histograms forget old
//! runs. See `docs/POLICY.md`.

use hdrhistogram::Histogram;
use model::Size;

/// How many runs are needed before learned sizes replace declared ones.
const MIN_RUNS: u64 = 8;
/// How many runs one generation of histograms holds.
const GENERATION_RUNS: u64 = 32;
/// The precision of the histograms in significant digits.
const DIGITS: u8 = 2;
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
const CUT_OFF_PERCENT: u64 = 98;
/// What a use that was cut off is taken for, in percent of it.
const CUT_OFF_GROWTH_PERCENT: u64 = 125;
/// The same once [`CUT_OFF_RUNS`] in a row were cut off again.
const CUT_OFF_AGAIN_GROWTH_PERCENT: u64 = 200;
/// By which factor use in proportion to the declared size has to spread less than use itself to be
/// preferred.
const RELATIVE_ADVANTAGE: f64 = 2.0;
/// By how much a reservation may differ from the present one to count if it cut use off, in percent.
const OUTDATED_PERCENT: u64 = 10;
/// After so many runs in a row that were cut off, older ones no longer count.
const CUT_OFF_RUNS: u32 = 8;
/// The least that is reserved while nothing is known but the claim.
const SAFE_START: Size = Size::new(500, 512, 0);
/// The least that is ever reserved.
const MIN_RESERVATION: Size = Size::new(100, 64, 0);

/// Quantiles over the last one to two generations of samples.
#[derive(Debug)]
struct Quantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Quantiles {
    fn new() -> Self {
        let empty = || Histogram::new(DIGITS).expect("the precision is valid");
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

    fn all(&self) -> Histogram<u32> {
        let mut all = self.previous.clone();
        if all.add(&self.current).is_err() {
            return self.current.clone();
        }
        all
    }
}

/// One dimension: all peaks, those that nothing cut off, and the latter in thousandths of what was
/// declared.
#[derive(Debug)]
struct Dimension {
    absolute: Quantiles,
    uncut: Quantiles,
    relative: Quantiles,
    cut_in_a_row: u32,
}

/// What was seen of a run in one dimension.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// What it used.
    at_least: u64,
    /// Whether its reservation cut it off.
    is_cut: bool,
}

/// What a dimension's quantile is taken from.
#[derive(Clone, Copy, Debug)]
enum Learned {
    /// The size itself.
    Absolute(u64),
    /// Thousandths of the declared size.
    Relative(u64),
}

impl Learned {
    fn of(self, declared: u64, margin_percent: u64) -> u64 {
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
            uncut: Quantiles::new(),
            relative: Quantiles::new(),
            cut_in_a_row: 0,
        }
    }

    /// Records a peak; only one that nothing cut off says how it relates to the declared size.
    ///
    /// Runs in a row that were cut off count only once something was learned: before, a claim that
    /// is exact cuts off every run.
    fn record(&mut self, peak: Seen, declared: u64, has_learned: bool) {
        self.cut_in_a_row = match (peak.is_cut, has_learned) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => self.cut_in_a_row + 1,
        };
        if self.cut_in_a_row % CUT_OFF_RUNS == CUT_OFF_RUNS - 1 {
            self.absolute = Quantiles::new();
        }
        let growth = match self.cut_in_a_row {
            0 => 100,
            1..CUT_OFF_RUNS => CUT_OFF_GROWTH_PERCENT,
            _ => CUT_OFF_AGAIN_GROWTH_PERCENT,
        };
        let grown = peak.at_least.saturating_mul(growth) / 100;
        self.absolute.record(grown);
        let permille = peak.at_least.saturating_mul(1000).checked_div(declared);
        if let Some(permille) = permille.filter(|_| !peak.is_cut) {
            self.uncut.record(peak.at_least);
            self.relative.record(permille);
        }
    }

    fn runs(&self) -> u64 {
        self.absolute.current.len() + self.absolute.previous.len()
    }

    fn learned(&self, quantile: f64) -> Learned {
        let absolute = self.absolute.all();
        let relative = self.relative.all();
        let high = absolute.value_at_quantile(quantile);
        let narrow = spread(&relative) * RELATIVE_ADVANTAGE <= spread(&self.uncut.all());
        if relative.len() < MIN_RUNS || !narrow {
            return Learned::Absolute(high);
        }
        Learned::Relative(relative.value_at_quantile(quantile))
    }
}

fn spread(samples: &Histogram<u32>) -> f64 {
    let high = samples.value_at_quantile(0.95);
    let low = samples.value_at_quantile(0.05).max(1);
    high as f64 / low as f64
}

/// What a run used at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peak {
    /// The highest use seen while it was not throttled.
    pub(crate) usage: Size,
    /// What was declared.
    pub(crate) declared: Size,
    /// What was reserved.
    pub(crate) reserved: Size,
}

/// The learned sizes and run times of one class.
#[derive(Debug)]
pub(crate) struct Sizes {
    cpu: Dimension,
    memory: Dimension,
    run_ms: Quantiles,
    /// How many runs were recorded.
    pub(crate) runs: u64,
    learned: Option<(Learned, Learned)>,
    /// Whether its tasks serve requests.
    pub(crate) is_service: bool,
    /// The ninth decile of the run times in milliseconds.
    pub(crate) run_high_ms: Option<u64>,
}

impl Sizes {
    /// Makes sizes that have learned nothing.
    pub(crate) fn new() -> Self {
        Self {
            cpu: Dimension::new(),
            memory: Dimension::new(),
            run_ms: Quantiles::new(),
            runs: 0,
            learned: None,
            is_service: false,
            run_high_ms: None,
        }
    }

    /// Records the peaks of a run; no processor use was seen where it was always throttled.
    ///
    /// Processor use may have been cut off by the reservation. Memory use was not, because a task
    /// that wants more than it gets fails.
    pub(crate) fn record(&mut self, peak: &Peak) {
        let (now, has_learned) = self.reservation(&peak.declared);
        let (usage, reserved) = (&peak.usage, &peak.reserved);
        let cpu = seen(usage.cpu_millis, reserved.cpu_millis, now.cpu_millis);
        if let Some(cpu) = cpu.filter(|cpu| cpu.at_least > 0) {
            self.cpu.record(cpu, peak.declared.cpu_millis, has_learned);
        }
        let memory = Seen {
            at_least: usage.memory_mib,
            is_cut: false,
        };
        self.memory
            .record(memory, peak.declared.memory_mib, has_learned);
        self.runs += 1;
        let enough = self.cpu.runs() >= MIN_RUNS && self.memory.runs() >= MIN_RUNS;
        if enough || self.learned.is_some() {
            let cpu = self.cpu.learned(if self.is_service {
                SERVICE_CPU_QUANTILE
            } else {
                BATCH_CPU_QUANTILE
            });
            let memory = self.memory.learned(MEMORY_QUANTILE);
            self.learned = Some((cpu, memory));
        }
    }

    /// Records how long a run that succeeded took.
    pub(crate) fn record_run(&mut self, run_ms: u64) {
        self.run_ms.record(run_ms);
        let all = self.run_ms.all();
        if all.len() >= MIN_RUNS {
            self.run_high_ms = Some(all.value_at_quantile(0.9));
        }
    }

    /// Returns what to reserve for a task, and whether it was learned.
    pub(crate) fn reservation(&self, declared: &Size) -> (Size, bool) {
        match self.learned {
            None => (declared.max(&SAFE_START), false),
            Some((cpu, memory)) => {
                let margin_percent = if self.is_service {
                    SERVICE_CPU_MARGIN_PERCENT
                } else {
                    BATCH_CPU_MARGIN_PERCENT
                };
                let cpu = cpu.of(declared.cpu_millis, margin_percent);
                let memory = memory.of(declared.memory_mib, MEMORY_MARGIN_PERCENT);
                let size = Size::new(cpu, memory, declared.accelerators);
                (size.max(&MIN_RESERVATION), true)
            }
        }
    }
}

/// Returns what a run used and whether its reservation cut that off; `None` if it did and another
/// size is reserved by now, because counting only some of the old sizes would lead astray.
const fn seen(usage: u64, reserved: u64, reserved_by_now: u64) -> Option<Seen> {
    let is_cut = usage.saturating_mul(100) >= reserved.saturating_mul(CUT_OFF_PERCENT);
    let differs = reserved.abs_diff(reserved_by_now) * 100 > reserved * OUTDATED_PERCENT;
    if is_cut && differs {
        return None;
    }
    Some(Seen {
        at_least: usage,
        is_cut,
    })
}
