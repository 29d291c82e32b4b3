//! How much batch classes lengthen the tail of service classes, learned from reports.
//!
//! The logarithm of a service's p99 is taken to be a sum: a base, a slope over its own load, and for
//! each batch class beside it a part that grows with the processor time the batch takes and with
//! the load. Every coefficient has a mean and a variance and is corrected by each report in
//! proportion to its variance (a Kalman filter with a diagonal covariance). The prior expects
//! unknown pairs to interfere, so that nothing is risked before something is known. A report holds
//! load, batch use and p99 of one window, so its lag does not disturb the learning. See
//! `docs/POLICY.md`.

use model::Map;

use crate::key::ClassKey;

/// The prior of the part of a pair that does not depend on the load.
const PAIR_BASE_PRIOR: Coefficient = Coefficient {
    mean: 0.5,
    variance: 0.25,
};
/// The prior of the part of a pair that grows with the load.
const PAIR_SLOPE_PRIOR: Coefficient = Coefficient {
    mean: 0.5,
    variance: 0.25,
};
/// The prior of the slope over the load; 1 is what a queue with random arrivals shows.
const SERVICE_SLOPE_PRIOR: Coefficient = Coefficient {
    mean: 1.0,
    variance: 0.25,
};
/// The prior of the base, relative to the logarithm of the target.
const SERVICE_BASE_PRIOR: Coefficient = Coefficient {
    mean: -1.0,
    variance: 1.0,
};
/// The variance of the noise of a reported p99's logarithm.
const NOISE_VARIANCE: f64 = 0.02;
/// What each report adds to a variance, so that changes are followed.
const DRIFT_VARIANCE: f64 = 2e-5;
/// Deviations beyond so many standard deviations are cut, so that outliers teach little.
const MAX_DEVIATIONS: f64 = 2.5;
/// Loads above this are taken for it.
const MAX_LOAD: f64 = 0.97;

/// A coefficient: its mean and how uncertain it is.
#[derive(Clone, Copy, Debug)]
struct Coefficient {
    mean: f64,
    variance: f64,
}

impl Coefficient {
    fn update(&mut self, feature: f64, deviation: f64, total_variance: f64) {
        let gain = self.variance * feature / total_variance;
        self.mean += gain * deviation;
        self.variance = (self.variance * (1.0 - gain * feature)).max(1e-6) + DRIFT_VARIANCE;
    }
}

/// What is known of a service class by itself.
#[derive(Clone, Copy, Debug)]
struct ServiceModel {
    base: Coefficient,
    slope: Coefficient,
}

/// What is known of a service class beside a batch class.
#[derive(Clone, Copy, Debug)]
struct PairModel {
    base: Coefficient,
    slope: Coefficient,
    reports: u64,
}

const UNKNOWN_PAIR: PairModel = PairModel {
    base: PAIR_BASE_PRIOR,
    slope: PAIR_SLOPE_PRIOR,
    reports: 0,
};

/// A batch class on a worker and the part of the worker's processor time that it takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchUsage {
    /// The class.
    pub(crate) class: ClassKey,
    /// The part of the worker's processor time, from 0 to 1.
    pub(crate) cpu_fraction: f64,
}

/// A service on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    /// Its class.
    pub(crate) class: ClassKey,
    /// Its load, from 0 to 1.
    pub(crate) load: f64,
    /// Its p99 target in microseconds.
    pub(crate) target_us: u64,
}

/// The learned interference of all pairs.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    services: Map<ClassKey, ServiceModel>,
    pairs: Map<(ClassKey, ClassKey), PairModel>,
}

impl InterferenceModel {
    /// Learns from one service in one report.
    pub(crate) fn observe(&mut self, seat: &ServiceLoad, batch_usage: &[BatchUsage], p99_us: u64) {
        let expected = self.log_ratio(seat, batch_usage, 0.0);
        let measured = (p99_us.max(1) as f64 / seat.target_us.max(1) as f64).ln();
        let load_feature = queueing_log_factor(seat.load);
        let services = self.services.entry(seat.class).or_insert(UNKNOWN_SERVICE);
        let mut total_variance = NOISE_VARIANCE
            + services.base.variance
            + services.slope.variance * load_feature * load_feature;
        for pressure in batch_usage {
            let pair = self
                .pairs
                .entry((seat.class, pressure.class))
                .or_insert(UNKNOWN_PAIR);
            let slope = pressure.cpu_fraction * seat.load;
            total_variance += pair.base.variance * pressure.cpu_fraction * pressure.cpu_fraction;
            total_variance += pair.slope.variance * slope * slope;
        }
        let max_deviation = MAX_DEVIATIONS * total_variance.sqrt();
        let deviation = (measured - expected).clamp(-max_deviation, max_deviation);
        services.base.update(1.0, deviation, total_variance);
        services
            .slope
            .update(load_feature, deviation, total_variance);
        for pressure in batch_usage {
            if let Some(pair) = self.pairs.get_mut(&(seat.class, pressure.class)) {
                pair.base
                    .update(pressure.cpu_fraction, deviation, total_variance);
                let slope = pressure.cpu_fraction * seat.load;
                pair.slope.update(slope, deviation, total_variance);
                pair.reports += 1;
            }
        }
    }

    /// Predicts the logarithm of a service's p99 over its target. With `caution`, pairs count by so
    /// many standard deviations more than they are believed to.
    pub(crate) fn log_ratio(
        &self,
        seat: &ServiceLoad,
        batch_usage: &[BatchUsage],
        caution: f64,
    ) -> f64 {
        let services = self.services.get(&seat.class).unwrap_or(&UNKNOWN_SERVICE);
        let load_feature =
            services.base.mean + services.slope.mean * queueing_log_factor(seat.load);
        let increases = batch_usage.iter().map(|pressure| {
            self.sensitivity(seat, pressure.class, caution) * pressure.cpu_fraction
        });
        load_feature + increases.sum::<f64>()
    }

    /// Returns by how much the logarithm of a service's p99 grows for each whole worker's processor
    /// time that a batch class takes beside it; never below zero.
    pub(crate) fn sensitivity(&self, seat: &ServiceLoad, batch: ClassKey, caution: f64) -> f64 {
        let pair = self
            .pairs
            .get(&(seat.class, batch))
            .unwrap_or(&UNKNOWN_PAIR);
        let load = seat.load.min(MAX_LOAD);
        let mean = pair.base.mean + pair.slope.mean * load;
        let deviation = (pair.base.variance + pair.slope.variance * load * load).sqrt();
        (mean + caution * deviation).max(0.0)
    }

    /// Returns the learned pairs with the factor on the p99 at half load and a whole worker, and the
    /// reports behind it.
    pub(crate) fn pairs(&self) -> impl Iterator<Item = (ClassKey, ClassKey, f64, u64)> + '_ {
        self.pairs.iter().map(|((service, batch), pair)| {
            let log = pair.base.mean + pair.slope.mean * 0.5;
            (*service, *batch, log.max(0.0).exp(), pair.reports)
        })
    }
}

const UNKNOWN_SERVICE: ServiceModel = ServiceModel {
    base: SERVICE_BASE_PRIOR,
    slope: SERVICE_SLOPE_PRIOR,
};

/// Returns the logarithm of the factor by which a queue at this load lengthens.
fn queueing_log_factor(load: f64) -> f64 {
    -(1.0 - load.clamp(0.0, MAX_LOAD)).ln()
}
