//! How much batch classes raise the tail latency of service classes, learned from reports.
//!
//! The logarithm of a service's p99 is modelled as a sum: a base, a term that grows with its own
//! load and, for each batch class on the same worker, a term that grows with the processor time of
//! the batch tasks and with the load. Each coefficient has a mean and a variance. Each report
//! corrects the coefficients in proportion to their variance (a Kalman filter with a diagonal
//! covariance). The prior assumes that unknown pairs interfere, so that no service is put at risk
//! before there is data. A report contains load, batch usage and p99 of the same window, so its
//! delay does not bias the model. See `docs/POLICY.md`.

use model::Map;

use crate::key::ClassKey;

/// The prior of a pair's coefficient that does not depend on the service's load.
const PAIR_BASE_PRIOR: Coefficient = Coefficient {
    mean: 0.5,
    variance: 0.25,
};
/// The prior of a pair's coefficient that grows with the service's load.
const PAIR_SLOPE_PRIOR: Coefficient = Coefficient {
    mean: 0.5,
    variance: 0.25,
};
/// The prior of a service's load coefficient; 1 corresponds to a queue with random arrivals.
const SERVICE_SLOPE_PRIOR: Coefficient = Coefficient {
    mean: 1.0,
    variance: 0.25,
};
/// The prior of a service's base, relative to the logarithm of its target.
const SERVICE_BASE_PRIOR: Coefficient = Coefficient {
    mean: -1.0,
    variance: 1.0,
};
/// The variance of the noise in the logarithm of a reported p99.
const NOISE_VARIANCE: f64 = 0.02;
/// Added to each variance by each report, so that the model follows changes.
const DRIFT_VARIANCE: f64 = 2e-5;
/// Deviations are clamped to this number of standard deviations, so that outliers have little
/// effect.
const MAX_DEVIATIONS: f64 = 2.5;
/// Higher loads are clamped to this value.
const MAX_LOAD: f64 = 0.97;

/// A normally distributed estimate of a coefficient.
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

/// The coefficients of a service class without batch tasks on the worker.
#[derive(Clone, Copy, Debug)]
struct ServiceModel {
    base: Coefficient,
    slope: Coefficient,
}

/// The coefficients of a service class and a batch class on the same worker.
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

/// The processor time that a batch class uses on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchUsage {
    /// The batch class.
    pub(crate) class: ClassKey,
    /// The fraction of the worker's processor time, from 0 to 1.
    pub(crate) cpu_fraction: f64,
}

/// The load of a service on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    /// The service class.
    pub(crate) class: ClassKey,
    /// The used fraction of its reserved processor time, from 0 to 1.
    pub(crate) load: f64,
    /// Its p99 target in microseconds.
    pub(crate) target_us: u64,
}

/// The learned model of all service classes and pairs.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    services: Map<ClassKey, ServiceModel>,
    pairs: Map<(ClassKey, ClassKey), PairModel>,
}

impl InterferenceModel {
    /// Updates the model with one service of one report.
    pub(crate) fn observe(
        &mut self,
        service: &ServiceLoad,
        batch_usage: &[BatchUsage],
        p99_us: u64,
    ) {
        let expected = self.log_ratio(service, batch_usage, 0.0);
        let measured = (p99_us.max(1) as f64 / service.target_us.max(1) as f64).ln();
        let load_feature = queueing_log_factor(service.load);
        let model = self
            .services
            .entry(service.class)
            .or_insert(UNKNOWN_SERVICE);
        let mut total_variance = NOISE_VARIANCE
            + model.base.variance
            + model.slope.variance * load_feature * load_feature;
        for usage in batch_usage {
            let pair = self
                .pairs
                .entry((service.class, usage.class))
                .or_insert(UNKNOWN_PAIR);
            let interaction = usage.cpu_fraction * service.load;
            total_variance += pair.base.variance * usage.cpu_fraction * usage.cpu_fraction;
            total_variance += pair.slope.variance * interaction * interaction;
        }
        let max_deviation = MAX_DEVIATIONS * total_variance.sqrt();
        let deviation = (measured - expected).clamp(-max_deviation, max_deviation);
        model.base.update(1.0, deviation, total_variance);
        model.slope.update(load_feature, deviation, total_variance);
        for usage in batch_usage {
            if let Some(pair) = self.pairs.get_mut(&(service.class, usage.class)) {
                pair.base
                    .update(usage.cpu_fraction, deviation, total_variance);
                let interaction = usage.cpu_fraction * service.load;
                pair.slope.update(interaction, deviation, total_variance);
                pair.reports += 1;
            }
        }
    }

    /// Predicts the logarithm of a service's p99 over its target. The coefficients of pairs are
    /// raised by `caution` standard deviations.
    pub(crate) fn log_ratio(
        &self,
        service: &ServiceLoad,
        batch_usage: &[BatchUsage],
        caution: f64,
    ) -> f64 {
        let model = self
            .services
            .get(&service.class)
            .unwrap_or(&UNKNOWN_SERVICE);
        let without_batch = model.base.mean + model.slope.mean * queueing_log_factor(service.load);
        let increases = batch_usage
            .iter()
            .map(|usage| self.sensitivity(service, usage.class, caution) * usage.cpu_fraction);
        without_batch + increases.sum::<f64>()
    }

    /// Returns by how much the logarithm of a service's p99 grows if a batch class uses all
    /// processor time of the worker; never below zero. The coefficients are raised by `caution`
    /// standard deviations.
    pub(crate) fn sensitivity(&self, service: &ServiceLoad, batch: ClassKey, caution: f64) -> f64 {
        let pair = self
            .pairs
            .get(&(service.class, batch))
            .unwrap_or(&UNKNOWN_PAIR);
        let load = service.load.min(MAX_LOAD);
        let mean = pair.base.mean + pair.slope.mean * load;
        let deviation = (pair.base.variance + pair.slope.variance * load * load).sqrt();
        (mean + caution * deviation).max(0.0)
    }

    /// Returns the learned pairs of service and batch class, with the factor on the p99 at half
    /// load if the batch class uses a whole worker, and the number of reports.
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

/// Returns the logarithm of the factor by which queueing at this load raises response times.
fn queueing_log_factor(load: f64) -> f64 {
    -(1.0 - load.clamp(0.0, MAX_LOAD)).ln()
}
