//! State dump and queries of the router.

use model::id::DocVersion;
use model::id::UpstreamId;

use super::Router;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;
use crate::report::RouterReport;
use crate::report::UpstreamReport;

impl Router {
    /// Returns the state for a dump on request.
    #[must_use]
    pub fn report(&self) -> RouterReport {
        let mut report = RouterReport {
            version: self.version,
            serving: self.serving,
            draining: self.draining,
            parked: self.parked.len(),
            refused: self.refused.clone(),
            ..RouterReport::default()
        };
        for upstream in self.upstreams.values() {
            report.upstreams.insert(
                upstream.id.clone(),
                UpstreamReport {
                    phase: upstream.phase,
                    in_flight: upstream.in_flight,
                    waiting: upstream.queue.len(),
                    slots: upstream.local_slots + upstream.remote_slots,
                    borrowed: 0,
                    lent: 0,
                    service_ms: upstream.service_time.mean_ms(),
                    ejected: upstream
                        .ejected
                        .iter()
                        .filter_map(|key| self.executors.get(*key))
                        .map(|executor| executor.id.clone())
                        .collect(),
                    requests: upstream.requests,
                    sends: upstream.sends,
                },
            );
        }
        self.add_loans(&mut report);
        report
    }

    fn add_loans(&self, report: &mut RouterReport) {
        for executor in self.executors.values() {
            let id = &self.upstreams[executor.upstream].id;
            if let Some(upstream) = report.upstreams.get_mut(id) {
                upstream.borrowed += u32::from(executor.borrowed);
                upstream.lent += u32::from(executor.lent);
            }
        }
    }

    /// Returns the version of the active document, 0 without one.
    #[must_use]
    pub const fn version(&self) -> DocVersion {
        self.version
    }

    /// Returns the name of an upstream, empty if it has been removed.
    #[must_use]
    pub fn upstream_name(&self, key: UpstreamKey) -> String {
        self.upstreams
            .get(key)
            .map(|upstream| upstream.id.to_string())
            .unwrap_or_default()
    }

    /// Returns the number of requests that are in flight at executors of an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        self.upstream_keys
            .get(upstream)
            .map_or(0, |key| self.upstreams[*key].in_flight)
    }

    /// Returns the number of requests that are in flight at any executor, queued or waiting for a
    /// table update.
    #[must_use]
    pub fn unfinished(&self) -> usize {
        let sent: u32 = self
            .upstreams
            .values()
            .map(|upstream| upstream.in_flight)
            .sum();
        sent as usize + self.waiting.len()
    }

    /// Returns the handover phase of an upstream.
    #[must_use]
    pub fn phase(&self, upstream: &UpstreamId) -> Option<HandoverPhase> {
        let key = self.upstream_keys.get(upstream)?;
        Some(self.upstreams[*key].phase)
    }

    /// Returns the upstreams that this daemon no longer sends to, which it reports to the daemons
    /// of the new half.
    #[must_use]
    pub fn released(&self) -> Vec<UpstreamId> {
        self.upstreams
            .values()
            .filter(|upstream| {
                matches!(
                    upstream.phase,
                    HandoverPhase::Releasing | HandoverPhase::Released
                )
            })
            .map(|upstream| upstream.id.clone())
            .collect()
    }
}
