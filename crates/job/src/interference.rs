//! How much tasks that fill lengthen the response times of tasks that serve, learned by pair of images.
//!
//! The logarithm of a service's tail moves by a weight of the pair times the part of the executor's
//! processors that the filling image uses. The service's own load moves it as well, slowly, so that
//! weights are learned from the difference between two reports that follow each other closely: a
//! filling task that starts, ends or changes its pace shows at once. Each weight has a mean and a
//! variance (a Kalman filter with a diagonal covariance). See "Interference" in `docs/JOBS.md` for
//! why `sched::interference`, which needs the services' loads, does not fit here.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use serde::Deserialize;
use serde::Serialize;

use crate::book::Book;
use crate::book::TaskKey;
use crate::fleet::ExecutorKey;

/// The weight that an unknown pair is taken to have.
const PRIOR_MEAN: f64 = 0.3;
/// How uncertain that is.
const PRIOR_VARIANCE: f64 = 9.0;
/// How much the logarithm of a tail moves between two reports by itself.
const NOISE_VARIANCE: f64 = 0.15 * 0.15;
/// How much a weight may have changed since it was learned, for each observation.
const DRIFT_VARIANCE: f64 = 0.002;
/// How much more uncertain a weight is that an earlier owner stored.
const AGED_VARIANCE: f64 = 0.1;
/// Two reports that are closer share their windows.
const SHORTEST: Duration = Duration::from_millis(450);
/// Two reports that are farther apart differ by the service's own load.
const LONGEST: Duration = Duration::from_millis(1_600);
/// A change of use smaller than this part of an executor teaches nothing.
const LEAST_CHANGE: f64 = 0.01;

/// An image, as a small number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(u16);

/// What is known of one pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight {
    /// The estimate.
    pub mean: f64,
    /// How uncertain it is.
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

/// What is known of all pairs.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: Map<Arc<str>, ImageKey>,
    pairs: Map<(ImageKey, ImageKey), Weight>,
}

/// What is known of one pair, to be stored for a successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedPair {
    /// The image that serves.
    #[serde(rename = "s")]
    pub serving: Arc<str>,
    /// The image that fills.
    #[serde(rename = "f")]
    pub filling: Arc<str>,
    /// The estimate of its weight.
    #[serde(rename = "m")]
    pub mean: f64,
    /// How uncertain it is.
    #[serde(rename = "v")]
    pub variance: f64,
}

/// What an executor showed when it was last learned from.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    at: Mono,
    tails: Map<TaskKey, f64>,
    uses: Map<ImageKey, f64>,
}

impl Interference {
    /// Returns the small number of an image.
    pub fn image(&mut self, name: &Arc<str>) -> ImageKey {
        let next = ImageKey(u16::try_from(self.images.len()).unwrap_or(u16::MAX));
        *self.images.entry(name.clone()).or_insert(next)
    }

    /// Returns by how much the logarithm of the serving image's tail rises when the filling image
    /// uses all of an executor.
    #[must_use]
    pub fn weight(&self, serving: &Arc<str>, filling: &Arc<str>) -> f64 {
        let (Some(serving), Some(filling)) = (self.images.get(serving), self.images.get(filling))
        else {
            return PRIOR_MEAN;
        };
        self.pairs
            .get(&(*serving, *filling))
            .map_or(PRIOR_MEAN, |weight| weight.mean.max(0.0))
    }

    /// Returns the greatest weight that the pair is likely to have.
    #[must_use]
    pub fn at_most(&self, serving: &Arc<str>, filling: &Arc<str>) -> f64 {
        let known = self.images.get(serving).zip(self.images.get(filling));
        let weight = known
            .and_then(|(serving, filling)| self.pairs.get(&(*serving, *filling)))
            .copied()
            .unwrap_or_default();
        weight.mean.max(0.0) + weight.variance.sqrt()
    }

    /// Returns all pairs that were learned about.
    #[must_use]
    pub fn learned(&self) -> Vec<LearnedPair> {
        let names: Map<ImageKey, &Arc<str>> =
            self.images.iter().map(|(name, key)| (*key, name)).collect();
        let mut learned: Vec<LearnedPair> = self
            .pairs
            .iter()
            .filter_map(|((serving, filling), weight)| {
                Some(LearnedPair {
                    serving: (*names.get(serving)?).clone(),
                    filling: (*names.get(filling)?).clone(),
                    mean: rounded(weight.mean),
                    variance: rounded(weight.variance),
                })
            })
            .collect();
        learned.sort_by(|left, right| {
            (&left.serving, &left.filling).cmp(&(&right.serving, &right.filling))
        });
        learned
    }

    /// Takes in what an earlier owner had learned.
    pub fn restore(&mut self, learned: &[LearnedPair]) {
        for pair in learned {
            let serving = self.image(&pair.serving);
            let filling = self.image(&pair.filling);
            let weight = Weight {
                mean: pair.mean,
                variance: (pair.variance + AGED_VARIANCE).min(PRIOR_VARIANCE),
            };
            self.pairs.insert((serving, filling), weight);
        }
    }

    /// Learns from a tail's logarithm that moved by `moved` while the use of filling images moved by
    /// `changes`, as parts of the executor.
    fn learn(&mut self, serving: ImageKey, changes: &[(ImageKey, f64)], moved: f64) {
        let mut expected = 0.0;
        let mut variance = NOISE_VARIANCE;
        for (filling, change) in changes {
            let weight = self.pairs.entry((serving, *filling)).or_default();
            weight.variance += DRIFT_VARIANCE;
            expected += weight.mean * change;
            variance += weight.variance * change * change;
        }
        let surprise = moved - expected;
        for (filling, change) in changes {
            let weight = self.pairs.entry((serving, *filling)).or_default();
            let gain = weight.variance * change / variance;
            weight.mean += gain * surprise;
            weight.variance *= 1.0 - gain * change;
        }
    }
}

impl Book {
    /// Learns from the newest report of an executor.
    pub fn learn_interference(&mut self, at: ExecutorKey, now: Mono) {
        let Some((tails, uses)) = self.figures(at) else {
            return;
        };
        let Some(executor) = self.fleet.get_mut(at) else {
            return;
        };
        let since = now.since(executor.baseline.at);
        if since < SHORTEST {
            return;
        }
        let baseline = Baseline {
            at: now,
            tails,
            uses,
        };
        let earlier = std::mem::replace(&mut executor.baseline, baseline.clone());
        if since > LONGEST {
            return;
        }
        let changes = changes(&earlier.uses, &baseline.uses);
        if changes.is_empty() {
            return;
        }
        for (key, tail) in &baseline.tails {
            let Some(before) = earlier.tails.get(key) else {
                continue;
            };
            if let Some(image) = self.step(*key).and_then(|step| step.image.clone()) {
                let serving = self.interference.image(&image);
                self.interference.learn(serving, &changes, tail - before);
            }
        }
    }

    /// Returns the logarithms of the tails on an executor, and the parts of it that filling images
    /// use.
    #[expect(clippy::cast_precision_loss, reason = "figures are far below 2^52")]
    fn figures(&mut self, at: ExecutorKey) -> Option<(Map<TaskKey, f64>, Map<ImageKey, f64>)> {
        let executor = self.fleet.get(at)?;
        let capacity = executor.listing.capacity.cpu_millis.max(1) as f64;
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let mut tails = Map::default();
        let mut uses = Map::default();
        for key in keys {
            let Some(seen) = self.task(key).and_then(|task| task.assignment()?.seen) else {
                continue;
            };
            let Some(step) = self.step(key) else {
                continue;
            };
            let (serves, fills) = (step.serves(), step.fills);
            let Some(image) = step.image.clone() else {
                continue;
            };
            if serves && seen.progress >= 100 && seen.figure > 0 {
                tails.insert(key, (seen.figure as f64).ln());
            } else if fills {
                let image = self.interference.image(&image);
                *uses.entry(image).or_insert(0.0) += seen.figure as f64 / capacity;
            }
        }
        Some((tails, uses))
    }
}

/// Three digits are enough to go on from, and keep the row small.
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
    changes.retain(|(_, change)| change.abs() >= LEAST_CHANGE);
    changes
}
