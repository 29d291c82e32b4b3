//! What a run of the discrete loop is about, and what it found.

use hdrhistogram::Histogram;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 1_000_000_000;
/// The significant digits of a latency.
const DIGITS: u8 = 3;

/// The load and the faults of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    /// Daemons in all regions.
    pub daemons: usize,
    /// Executors in all regions.
    pub executors: usize,
    /// Regions; daemons and executors alternate between them.
    pub regions: usize,
    /// Slots of an executor.
    pub slots: u16,
    /// The mean service time in milliseconds. It is exponentially distributed and belongs to the
    /// request, so that a second send of it takes as long.
    pub mean_ms: f64,
    /// The part of sends that an executor delays, apart from the request's own time.
    pub delayed_fraction: f64,
    /// How many times longer a delayed send takes.
    pub delay_factor: f64,
    /// Requests offered, as a part of what all slots can serve.
    pub load: f64,
    /// The part of the requests that arrive at the first daemon; the rest is spread evenly.
    pub skew: Option<f64>,
    /// How many executors are slow.
    pub slow_executors: usize,
    /// How many times slower these are.
    pub slow_factor: f64,
    /// The part of sends whose connection breaks half-way.
    pub broken_fraction: f64,
    /// When the last daemon is lost, in milliseconds.
    pub daemon_lost_ms: Option<u64>,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// How long the run is, in milliseconds.
    pub duration_ms: u64,
}

impl Scenario {
    /// RSH's planning service with its 65 executors at four fifths of its load.
    pub(super) const fn usual() -> Self {
        Self {
            daemons: 7,
            executors: 65,
            regions: 1,
            slots: 8,
            mean_ms: 100.0,
            delayed_fraction: 0.01,
            delay_factor: 5.0,
            load: 0.8,
            skew: None,
            slow_executors: 0,
            slow_factor: 1.0,
            broken_fraction: 0.0,
            daemon_lost_ms: None,
            deadline_ms: 10_000,
            duration_ms: 30_000,
        }
    }
}

impl Scenario {
    /// Returns the mean time of a send with the delays of the executors.
    pub(super) fn effective_mean_ms(&self) -> f64 {
        self.mean_ms * (1.0 + self.delayed_fraction * (self.delay_factor - 1.0))
    }
}

/// What a run found.
#[derive(Clone, Debug)]
pub(super) struct SimulationResult {
    /// Microseconds from arrival to answer, of the answered requests.
    pub latency: Histogram<u64>,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests sent at least once.
    pub admitted: u64,
    /// Requests passed to another daemon.
    pub forwarded: u64,
    /// Sends to executors.
    pub sends: u64,
    /// Sends to executors of another region, and requests passed to one of its daemons.
    pub cross_region: u64,
    /// Sends that found all slots of their executor taken.
    pub above_slots: u64,
    /// Bytes of the messages by which each daemon borrows slots.
    pub lending_bytes: Vec<u64>,
}

impl SimulationResult {
    pub(super) fn new(daemons: usize) -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
                .expect("the bounds and digits are supported"),
            requests: 0,
            answered: 0,
            not_run: 0,
            admitted: 0,
            forwarded: 0,
            sends: 0,
            cross_region: 0,
            above_slots: 0,
            lending_bytes: vec![0; daemons],
        }
    }

    /// Returns a percentile of the answered requests in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "microseconds far below 2^52")]
    pub(super) fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Returns the ratio of two counts.
#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
