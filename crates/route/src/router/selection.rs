//! Selection of executors, and ejection of outliers.

use model::Mono;

use super::Router;
use crate::decision::Grant;
use crate::key::ExecutorKey;
use crate::key::UpstreamKey;

/// Number of executors with a free slot that are compared.
const CANDIDATES: usize = 3;

impl Router {
    /// Grants a send to an executor in this region, or in another region if this daemon has no
    /// slots here.
    pub(super) fn grant_primary(
        &mut self,
        key: UpstreamKey,
        exclude: &[ExecutorKey],
        deadline: Mono,
        now: Mono,
    ) -> Option<Grant> {
        let cross_region = self.upstreams.get(key)?.local_slots == 0;
        self.try_grant(key, cross_region, exclude, deadline, now)
    }

    /// Grants a send to the best of a few random executors with a free slot.
    ///
    /// The cost does not depend on the number of executors. Executors in `exclude` are chosen only
    /// without an alternative among the candidates.
    pub(super) fn try_grant(
        &mut self,
        key: UpstreamKey,
        cross_region: bool,
        exclude: &[ExecutorKey],
        deadline: Mono,
        now: Mono,
    ) -> Option<Grant> {
        let upstream = self.upstreams.get(key)?;
        let list = if cross_region {
            &upstream.remote_free
        } else {
            &upstream.local_free
        };
        let upstream_mean_ms = upstream.service_time.mean_ms();
        let mut best: Option<(f64, ExecutorKey)> = None;
        for _ in 0..CANDIDATES.min(list.len()) {
            let candidate = list.sample(&mut self.rng)?;
            let executor = &self.executors[candidate];
            let load =
                f64::from(executor.in_flight + 1) / f64::from(executor.allowed_slots().max(1));
            let penalty = if exclude.contains(&candidate) {
                f64::from(u16::MAX)
            } else {
                1.0
            };
            let score = (executor.latency.estimate_ms(upstream_mean_ms, now) + 1.0)
                * (1.0 + load)
                * penalty;
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
            executor_id: entry.id.clone(),
            address: entry.address,
            cross_region: entry.cross_region,
            granted_at: now,
            deadline,
        };
        self.refresh_executor(executor);
        grant
    }

    /// Updates the free lists and slot sums of the upstream after a change of one executor.
    pub(super) fn refresh_executor(&mut self, key: ExecutorKey) {
        let Some(executor) = self.executors.get_mut(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(executor.upstream) else {
            return;
        };
        let is_available = executor.is_available();
        let counted_slots = if is_available {
            executor.allowed_slots()
        } else {
            0
        };
        let (list, slots) = if executor.cross_region {
            (&mut upstream.remote_free, &mut upstream.remote_slots)
        } else {
            (&mut upstream.local_free, &mut upstream.local_slots)
        };
        list.set_free(key, counted_slots > executor.in_flight);
        *slots = *slots + u32::from(counted_slots) - u32::from(executor.counted_slots);
        executor.counted_slots = counted_slots;
    }

    /// Ejects an executor unless the maximum share of its upstream's executors is already ejected.
    pub(super) fn eject(&mut self, key: ExecutorKey, now: Mono) {
        let Some(executor) = self.executors.get_mut(key) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(executor.upstream) else {
            return;
        };
        let max_ejected = upstream.executor_count * self.cfg.limits.max_ejected_percent / 100;
        let max_ejected = max_ejected
            .max(1)
            .min(upstream.executor_count.saturating_sub(1));
        if executor.health.is_ejected() || upstream.ejected.len() >= max_ejected {
            return;
        }
        executor.health.eject(now);
        executor.latency.reset();
        upstream.ejected.push(key);
    }

    /// Readmits executors whose ejection is over, and returns whether there were any.
    pub(super) fn readmit(&mut self, key: UpstreamKey, now: Mono) -> bool {
        let ejected = std::mem::take(&mut self.upstreams[key].ejected);
        let before = ejected.len();
        for executor in ejected {
            let Some(entry) = self.executors.get_mut(executor) else {
                continue;
            };
            if entry.health.readmit(now) {
                self.refresh_executor(executor);
            } else {
                self.upstreams[key].ejected.push(executor);
            }
        }
        self.upstreams[key].ejected.len() < before
    }
}
