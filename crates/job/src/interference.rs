//! Online estimates of how much best-effort tasks increase the tail latency of services, by pair of
//! images.
//!
//! The model is linear: the logarithm of a service's tail latency changes by a weight of the pair
//! times the fraction of the executor's CPU that the best-effort image uses. The service's own load
//! also affects its tail latency, but slowly. Weights are therefore learned from the difference
//! between two consecutive reports: a best-effort task that starts, ends or changes its CPU share
//! shows at once. Each weight has a mean and a variance (a Kalman filter with a diagonal
//! covariance). See "Interference" in `docs/JOBS.md` for why `sched::interference`, which needs the
//! services' loads, does not fit here.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::ExecutorKey;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// The prior mean of a pair's weight.
const PRIOR_MEAN: f64 = 0.3;
/// The prior variance of a pair's weight.
const PRIOR_VARIANCE: f64 = 9.0;
/// The variance of the change of a log tail latency between two reports without interference.
const NOISE_VARIANCE: f64 = 0.15 * 0.15;
/// Process noise: the variance added to a weight for each observation.
const DRIFT_VARIANCE: f64 = 0.002;
/// The variance added to a weight that is restored from a previous owner.
const RESTORE_VARIANCE: f64 = 0.1;
/// Reports that are closer together than this have overlapping measurement windows.
const MIN_INTERVAL: Duration = Duration::from_millis(450);
/// Reports that are farther apart than this also differ by the service's own load.
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);
/// Changes of CPU usage below this fraction of an executor are ignored.
const MIN_USAGE_CHANGE: f64 = 0.01;

/// A compact identifier of an image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u16);

/// The estimated weight of one pair of images.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight {
    /// The estimate.
    pub mean: f64,
    /// The variance of the estimate.
    pub variance: f64,
}

impl Default for Weight {
    fn default() -> Self {
        Self {
            mean: PRIOR_MEAN,
            variance: PRIOR_VARIANCE,
        }
    }
}

/// The estimated weights of all pairs of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: Map<Arc<str>, ImageKey>,
    pairs: Map<(ImageKey, ImageKey), Weight>,
}

/// The estimated weight of one pair of images, as stored for the next owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedPair {
    /// The image of the service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// The image of the best-effort task.
    #[serde(rename = "f")]
    pub best_effort: Arc<str>,
    /// The estimated weight.
    #[serde(rename = "m")]
    pub mean: f64,
    /// The variance of the estimate.
    #[serde(rename = "v")]
    pub variance: f64,
}

/// The measurements of an executor that the next report is compared with.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    at: Mono,
    tail_logs: Map<TaskKey, f64>,
    usage: Map<ImageKey, f64>,
}

impl Interference {
    /// Returns the identifier of an image, assigning one if the image is new.
    pub fn intern_image(&mut self, name: &Arc<str>) -> ImageKey {
        if let Some(key) = self.images.get(name) {
            return *key;
        }
        let next = ImageKey(u16::try_from(self.images.len()).unwrap_or(u16::MAX));
        *self.images.entry(name.clone()).or_insert(next)
    }

    /// Returns by how much the logarithm of a service's tail latency rises when the best-effort
    /// image uses all CPU of an executor. Nothing is known of tasks without an image.
    #[must_use]
    pub fn weight(&self, service: Option<&Arc<str>>, best_effort: Option<&Arc<str>>) -> f64 {
        self.estimate(service, best_effort).mean.max(0.0)
    }

    /// Returns the identifier of an image, or `None` if nothing is known of it.
    pub(crate) fn image_key(&self, name: &Arc<str>) -> Option<ImageKey> {
        self.images.get(name).copied()
    }

    /// Like [`Self::weight`], for a best-effort image of which something may be known.
    pub(crate) fn weight_of(&self, service: ImageKey, best_effort: Option<ImageKey>) -> f64 {
        let weight = best_effort.and_then(|best_effort| self.pairs.get(&(service, best_effort)));
        weight.copied().unwrap_or_default().mean.max(0.0)
    }

    /// Returns an upper bound of the pair's weight: its mean plus one standard deviation.
    #[must_use]
    pub fn upper_bound(&self, service: Option<&Arc<str>>, best_effort: Option<&Arc<str>>) -> f64 {
        let weight = self.estimate(service, best_effort);
        weight.mean.max(0.0) + weight.variance.sqrt()
    }

    fn estimate(&self, service: Option<&Arc<str>>, best_effort: Option<&Arc<str>>) -> Weight {
        let service = service.and_then(|image| self.images.get(image));
        let best_effort = best_effort.and_then(|image| self.images.get(image));
        service
            .zip(best_effort)
            .and_then(|(service, best_effort)| self.pairs.get(&(*service, *best_effort)))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the estimates of all observed pairs, sorted by image names.
    #[must_use]
    pub fn learned(&self) -> Vec<LearnedPair> {
        let names: Map<ImageKey, &Arc<str>> =
            self.images.iter().map(|(name, key)| (*key, name)).collect();
        let mut learned: Vec<LearnedPair> = self
            .pairs
            .iter()
            .filter_map(|((service, best_effort), weight)| {
                Some(LearnedPair {
                    service: (*names.get(service)?).clone(),
                    best_effort: (*names.get(best_effort)?).clone(),
                    mean: rounded(weight.mean),
                    variance: rounded(weight.variance),
                })
            })
            .collect();
        sort_by_images(&mut learned);
        learned
    }

    /// Returns the estimates that fit `max_bytes` when they are serialised as JSON, sorted by image
    /// names. Pairs with the least information, which is the largest variance, are left out first.
    #[must_use]
    pub fn learned_within(&self, max_bytes: usize) -> Vec<LearnedPair> {
        let mut learned = self.learned();
        learned.sort_by(|left, right| left.variance.total_cmp(&right.variance));
        // The brackets of the list; each pair is followed by a comma or the closing bracket.
        let mut bytes = 1;
        let fitting = learned.iter().take_while(|pair| {
            let length = serde_json::to_vec(pair).map_or(max_bytes, |text| text.len());
            bytes += length + 1;
            bytes <= max_bytes
        });
        let fitting = fitting.count();
        learned.truncate(fitting);
        sort_by_images(&mut learned);
        learned
    }

    /// Restores the estimates of a previous owner.
    pub fn restore(&mut self, learned: &[LearnedPair]) {
        for pair in learned {
            let service = self.intern_image(&pair.service);
            let best_effort = self.intern_image(&pair.best_effort);
            let weight = Weight {
                mean: pair.mean,
                variance: (pair.variance + RESTORE_VARIANCE).min(PRIOR_VARIANCE),
            };
            self.pairs.insert((service, best_effort), weight);
        }
    }

    /// Updates the weights of a service from one observation: the change of the logarithm of its
    /// tail latency, and the changes of CPU usage by best-effort image, as fractions of the
    /// executor.
    fn learn(&mut self, service: ImageKey, changes: &[(ImageKey, f64)], log_change: f64) {
        let mut expected = 0.0;
        let mut variance = NOISE_VARIANCE;
        for (best_effort, change) in changes {
            let weight = self.pairs.entry((service, *best_effort)).or_default();
            weight.variance += DRIFT_VARIANCE;
            expected += weight.mean * change;
            variance += weight.variance * change * change;
        }
        let residual = log_change - expected;
        for (best_effort, change) in changes {
            let weight = self.pairs.entry((service, *best_effort)).or_default();
            let gain = weight.variance * change / variance;
            weight.mean += gain * residual;
            weight.variance *= 1.0 - gain * change;
        }
    }
}

impl Scheduler {
    /// Updates the estimates from the newest report of an executor.
    pub fn learn_interference(&mut self, executor_key: ExecutorKey, now: Mono) {
        let Some((tail_logs, usage)) = self.measurements(executor_key) else {
            return;
        };
        let Some(executor) = self.fleet.get_mut(executor_key) else {
            return;
        };
        let elapsed = now.since(executor.baseline.at);
        if elapsed < MIN_INTERVAL {
            return;
        }
        let baseline = Baseline {
            at: now,
            tail_logs,
            usage,
        };
        let earlier = std::mem::replace(&mut executor.baseline, baseline.clone());
        if elapsed > MAX_INTERVAL {
            return;
        }
        let changes = changes(&earlier.usage, &baseline.usage);
        if changes.is_empty() {
            return;
        }
        for (key, tail) in &baseline.tail_logs {
            let Some(before) = earlier.tail_logs.get(key) else {
                continue;
            };
            if let Some(image) = self.step(*key).and_then(|step| step.image.clone()) {
                let service = self.interference.intern_image(&image);
                self.interference.learn(service, &changes, tail - before);
            }
        }
    }

    /// Returns the logarithms of the tail latencies on an executor, and the fraction of its CPU
    /// that each best-effort image uses.
    #[expect(clippy::cast_precision_loss, reason = "values are far below 2^52")]
    fn measurements(
        &mut self,
        executor_key: ExecutorKey,
    ) -> Option<(Map<TaskKey, f64>, Map<ImageKey, f64>)> {
        let executor = self.fleet.get(executor_key)?;
        let capacity = executor.listing.capacity.cpu_millis.max(1) as f64;
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let mut tail_logs = Map::default();
        let mut usage = Map::default();
        for key in keys {
            let Some(metrics) = self.task(key).and_then(|task| task.assignment()?.metrics) else {
                continue;
            };
            let Some(step) = self.step(key) else {
                continue;
            };
            let (is_service, best_effort) = (step.is_service(), step.best_effort);
            let Some(image) = step.image.clone() else {
                continue;
            };
            if is_service && metrics.progress >= 100 && metrics.tail_ms_or_cpu_millis > 0 {
                tail_logs.insert(key, (metrics.tail_ms_or_cpu_millis as f64).ln());
            } else if best_effort {
                let image = self.interference.intern_image(&image);
                *usage.entry(image).or_insert(0.0) +=
                    metrics.tail_ms_or_cpu_millis as f64 / capacity;
            }
        }
        Some((tail_logs, usage))
    }
}

/// Rounds to three decimals, which is precise enough for a restored estimate and keeps the row
/// small.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn changes(earlier: &Map<ImageKey, f64>, now: &Map<ImageKey, f64>) -> Vec<(ImageKey, f64)> {
    let mut changes = Vec::new();
    for (image, used) in now {
        changes.push((*image, used - earlier.get(image).copied().unwrap_or(0.0)));
    }
    for (image, used) in earlier {
        if !now.contains_key(image) {
            changes.push((*image, -used));
        }
    }
    changes.retain(|(_, change)| change.abs() >= MIN_USAGE_CHANGE);
    changes
}

fn sort_by_images(learned: &mut [LearnedPair]) {
    learned.sort_by(|left, right| {
        (&left.service, &left.best_effort).cmp(&(&right.service, &right.best_effort))
    });
}
