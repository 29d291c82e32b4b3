//! Notifies the daemons of an accepted change and tracks which of them have it in force.

use std::collections::BTreeSet;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::RowVersion;

use crate::accept::change::Action;
use crate::accept::change::Outcome;
use crate::accept::change::Step;
use crate::accept::proposer::Proposer;

impl Proposer {
    /// Reports the change as accepted and notifies the daemons.
    pub(super) fn start_propagating(
        &mut self,
        ballot: RowVersion,
        version: DocVersion,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Accepted { version });
        self.enter(Step::Propagating { ballot, version }, now);
        self.repeated_at = now;
        self.send_committed(ballot, version, out);
        self.continue_propagating(version, now, out);
    }

    /// Notifies the daemons that are not known to have the version in force.
    pub(super) fn send_committed(
        &self,
        ballot: RowVersion,
        version: DocVersion,
        out: &mut Vec<Action>,
    ) {
        for daemon in self.pending(version) {
            out.push(Action::Committed { to: daemon, ballot });
        }
    }

    /// Returns the daemons that were not passed over and have not confirmed the version.
    pub(super) fn pending(&self, version: DocVersion) -> BTreeSet<DaemonId> {
        let has = |daemon: &DaemonId| self.versions.get(daemon).is_some_and(|v| *v >= version);
        self.members
            .iter()
            .flatten()
            .map(|member| member.daemon.clone())
            .filter(|daemon| !self.passed_over.contains_key(daemon) && !has(daemon))
            .collect()
    }

    /// Ends the change once all daemons have the version in force or the timeout has elapsed.
    pub(super) fn continue_propagating(
        &mut self,
        version: DocVersion,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let waited = now.since(self.step_entered_at) > self.timeouts.propagation;
        if self.pending(version).is_empty() || waited {
            self.finish(self.accepted_outcome(version), now, out);
        }
    }

    /// Returns the outcome of the accepted change as of now.
    pub(super) fn accepted_outcome(&self, version: DocVersion) -> Outcome {
        let at_least =
            |(daemon, has): (&DaemonId, &DocVersion)| (*has >= version).then(|| daemon.clone());
        Outcome::Accepted {
            version,
            in_force: self.versions.iter().filter_map(at_least).collect(),
            pending: self.pending(version),
            passed_over: self.passed_over.keys().cloned().collect(),
        }
    }
}
