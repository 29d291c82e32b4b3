//! The input and the result of a simulation run.

use hdrhistogram::Histogram;

/// Maximum recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 1_000_000_000;
/// Significant digits of a recorded latency.
const DIGITS: u8 = 3;

/// The load and the faults of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    /// Number of daemons in all regions.
    pub daemons: usize,
    /// Number of executors in all regions.
    pub executors: usize,
    /// Number of regions; daemons and executors alternate between them.
    pub regions: usize,
    /// Slots per executor.
    pub slots: u16,
    /// Mean service time in milliseconds. It is exponentially distributed and drawn once per
    /// request, so that a second send of the request takes equally long.
    pub mean_ms: f64,
    /// Fraction of sends that an executor delays, independently of the request's service time.
    pub delayed_fraction: f64,
    /// Factor by which a delayed send takes longer.
    pub delay_factor: f64,
    /// Offered load as a fraction of the capacity of all slots.
    pub load: f64,
    /// Fraction of the requests that always arrive at the first daemon; the others are spread
    /// evenly over all daemons.
    pub skew: Option<f64>,
    /// Number of slow executors.
    pub slow_executors: usize,
    /// Factor by which slow executors are slower.
    pub slow_factor: f64,
    /// Fraction of sends whose connection breaks before the response.
    pub broken_fraction: f64,
    /// Time at which the last daemon is lost, in milliseconds.
    pub daemon_lost_ms: Option<u64>,
    /// Deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: u64,
}

impl Scenario {
    /// RSH's planning service: 65 executors at 80 % of their capacity.
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
    /// Returns the mean service time including the delays of executors, in milliseconds.
    pub(super) fn effective_mean_ms(&self) -> f64 {
        self.mean_ms * (1.0 + self.delayed_fraction * (self.delay_factor - 1.0))
    }
}

/// The counts and latencies of a run.
#[derive(Clone, Debug)]
pub(super) struct SimulationResult {
    /// Latency of the answered requests from arrival to response, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests answered.
    pub answered: u64,
    /// Number of requests refused without being run.
    pub not_run: u64,
    /// Number of requests sent to an executor at least once.
    pub admitted: u64,
    /// Number of requests forwarded to another daemon.
    pub forwarded: u64,
    /// Number of sends to executors.
    pub sends: u64,
    /// Number of sends and forwarded requests that crossed between regions.
    pub cross_region: u64,
    /// Number of sends that found all slots of their executor occupied.
    pub above_slots: u64,
    /// Bytes of the messages with which each daemon borrows slots, by daemon.
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

    /// Returns a percentile of the latency of answered requests, in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "microseconds far below 2^52")]
    pub(super) fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Returns `part / whole`; a `whole` of 0 counts as 1.
#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
