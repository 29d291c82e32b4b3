//! The choice of an executor, and the ejection of outliers.

use model::Mono;

use super::Router;
use crate::key::ExecutorKey;
use crate::key::UpstreamKey;
use crate::verdict::Grant;

/// How many executors with a free slot are compared.
const SAMPLES: usize = 3;

impl Router {
    /// Gives the right to send within this region, or to another if there are no slots here at all.
    pub(super) fn pick_home(
        &mut self,
        key: UpstreamKey,
        exclude: &[ExecutorKey],
        deadline: Mono,
        now: Mono,
    ) -> Option<Grant> {
        let far = self.upstreams.get(key)?.near_slots == 0;
        self.pick(key, far, exclude, deadline, now)
    }

    /// Gives the right to send to the best of a few executors with a free slot.
    ///
    /// The cost does not depend on the number of executors. `exclude` is avoided where there is
    /// another choice.
    pub(super) fn pick(
        &mut self,
        key: UpstreamKey,
        far: bool,
        exclude: &[ExecutorKey],
        deadline: Mono,
        now: Mono,
    ) -> Option<Grant> {
        let upstream = self.upstreams.get(key)?;
        let list = if far { &upstream.far } else { &upstream.near };
        let common = upstream.service.mean_ms();
        let mut best: Option<(f64, ExecutorKey)> = None;
        for _ in 0..SAMPLES.min(list.len()) {
            let candidate = list.sample(&mut self.rng)?;
            let executor = &self.executors[candidate];
            let load = f64::from(executor.in_flight + 1) / f64::from(executor.allowed().max(1));
            let penalty = if exclude.contains(&candidate) {
                f64::from(u16::MAX)
            } else {
                1.0
            };
            let score = (executor.latency.value(common, now) + 1.0) * (1.0 + load) * penalty;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, candidate));
            }
        }
        let (_, executor) = best?;
        Some(self.grant(key, executor, deadline, now))
    }

    fn grant(
        &mut self,
        key: UpstreamKey,
        executor: ExecutorKey,
        deadline: Mono,
        now: Mono,
    ) -> Grant {
        let upstream = &mut self.upstreams[key];
        upstream.in_flight += 1;
        upstream.sends += 1;
        let entry = &mut self.executors[executor];
        entry.in_flight += 1;
        let grant = Grant {
            upstream: key,
            executor,
            name: entry.id.clone(),
            address: entry.address,
            far: entry.far,
            at: now,
            deadline,
        };
        self.refresh(executor);
        grant
    }

    /// Brings the free lists and the sums of slots up to date after a change of one executor.
    pub(super) fn refresh(&mut self, key: ExecutorKey) {
        let Some(executor) = self.executors.get_mut(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(executor.upstream) else {
            return;
        };
        let open = executor.open();
        let counted = if open { executor.allowed() } else { 0 };
        let (list, sum) = if executor.far {
            (&mut upstream.far, &mut upstream.far_slots)
        } else {
            (&mut upstream.near, &mut upstream.near_slots)
        };
        list.set(key, counted > executor.in_flight);
        *sum = *sum + u32::from(counted) - u32::from(executor.counted);
        executor.counted = counted;
    }

    /// Ejects an executor unless too many of its upstream's are.
    pub(super) fn eject(&mut self, key: ExecutorKey, now: Mono) {
        let Some(executor) = self.executors.get_mut(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(executor.upstream) else {
            return;
        };
        let most = upstream.executors * self.cfg.limits.max_ejected_percent / 100;
        let most = most.max(1).min(upstream.executors.saturating_sub(1));
        if executor.health.is_ejected() || upstream.ejected.len() >= most {
            return;
        }
        executor.health.eject(now);
        executor.latency.reset();
        upstream.ejected.push(key);
    }

    /// Takes ejected executors back in whose time has passed, and returns whether there were any.
    pub(super) fn readmit(&mut self, key: UpstreamKey, now: Mono) -> bool {
        let ejected = std::mem::take(&mut self.upstreams[key].ejected);
        let before = ejected.len();
        for executor in ejected {
            let Some(entry) = self.executors.get_mut(executor) else {
                continue;
            };
            if entry.health.readmit(now) {
                self.refresh(executor);
            } else {
                self.upstreams[key].ejected.push(executor);
            }
        }
        self.upstreams[key].ejected.len() < before
    }
}
