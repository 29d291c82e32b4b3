//! The proposer drives one operator's change: read, validate, stage, collect, commit, propagate.
//!
//! A write whose answer was lost is resolved before an outcome is reported. Either the staged row
//! is cleared, after which the commit can no longer take effect; or the row has changed since, and
//! `doc/current` shows whether the commit took effect.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;

use crate::accept::Timeouts;
use crate::accept::change::Action;
use crate::accept::change::Event;
use crate::accept::change::Outcome;
use crate::accept::change::Proposal;
use crate::accept::change::Step;
use crate::accept::change::WriteResult;
use crate::accept::message::Ack;
use crate::accept::message::Contact;
use crate::accept::message::Digest;
use crate::accept::quorum::Member;
use crate::accept::row::RowCheck;
use crate::accept::row::StagedDocument;
use crate::accept::row::View;
use crate::accept::row::Write;
use crate::finding::Finding;
use crate::finding::any_error;

/// The contacts that a daemon reported in its acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ContactReport {
    /// When the acknowledgement arrived.
    pub received_at: Mono,
    /// The contacts, with their ages at that time.
    pub contacts: Vec<Contact>,
}

impl ContactReport {
    /// Returns the contacts with their ages at `now`.
    pub(super) fn aged_to(&self, now: Mono) -> Vec<Contact> {
        let elapsed = now.since(self.received_at);
        self.contacts
            .iter()
            .map(|contact| contact.aged_by(elapsed))
            .collect()
    }
}

/// The state machine of one change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The daemon that runs this proposer.
    pub daemon: DaemonId,
    /// The timeouts of the acceptance protocol.
    pub timeouts: Timeouts,
    /// The change as requested by the operator.
    pub proposal: Proposal,
    /// The current step.
    pub step: Step,
    /// When the current step was entered.
    pub step_entered_at: Mono,
    /// When the last successful read of the rows was sent.
    pub read_at: Mono,
    /// When unanswered requests were last repeated.
    pub repeated_at: Mono,
    /// The daemons with a heartbeat row, read after the document was staged; `None` until then.
    pub members: Option<Vec<Member>>,
    /// The incarnation of each daemon that has staged the document.
    pub staged: BTreeMap<DaemonId, Incarnation>,
    /// The contacts that daemons reported once they had staged the document. Any daemon that has
    /// contacted them since knows of the staged document, so they are not asked again.
    pub contacts: BTreeMap<DaemonId, ContactReport>,
    /// The latest version that each daemon is known to have in force.
    pub versions: BTreeMap<DaemonId, DocVersion>,
    /// The daemons that the commit passes over, with the heartbeat rows that it checks.
    pub passed_over: BTreeMap<DaemonId, RowCheck>,
}

impl Proposer {
    /// Starts a change and returns the first actions.
    #[must_use]
    pub fn start(
        daemon: DaemonId,
        proposal: Proposal,
        timeouts: Timeouts,
        now: Mono,
    ) -> (Self, Vec<Action>) {
        let proposer = Self {
            daemon,
            timeouts,
            proposal,
            step: Step::Reading,
            step_entered_at: now,
            read_at: now,
            repeated_at: now,
            members: None,
            staged: BTreeMap::new(),
            contacts: BTreeMap::new(),
            versions: BTreeMap::new(),
            passed_over: BTreeMap::new(),
        };
        (proposer, vec![Action::Read])
    }

    /// Returns whether the change has ended and its outcome was reported.
    #[must_use]
    pub const fn ended(&self) -> bool {
        matches!(self.step, Step::Ended)
    }

    /// Handles an event and returns the actions that follow; an event that does not belong to the
    /// current step is ignored.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match (event, self.step.clone()) {
            (Event::Read { sent, view }, step) => self.on_read(sent, view, step, now, &mut out),
            (Event::Validated(findings), Step::Validating(view)) => {
                self.on_validated(findings, view, now, &mut out);
            }
            (Event::Written(written), step) => self.on_written(written, step, now, &mut out),
            (Event::Members(members), Step::Collecting(view)) => {
                self.members = Some(members);
                self.repeated_at = now;
                self.push_to_missing(&view, now, &mut out);
                self.try_commit(view, now, &mut out);
            }
            (Event::Acked(ack), step) => self.on_acked(ack, step, now, &mut out),
            (Event::Seen(digest), step) => self.on_seen(&digest, step, now, &mut out),
            (Event::Tick, step) => self.on_tick(step, now, &mut out),
            (Event::Validated(_) | Event::Members(_), _) => {}
        }
        out
    }

    /// Enters a step.
    pub(super) fn enter(&mut self, step: Step, now: Mono) {
        self.step = step;
        self.step_entered_at = now;
    }

    /// Ends the change and reports its outcome.
    pub(super) fn finish(&mut self, outcome: Outcome, now: Mono, out: &mut Vec<Action>) {
        self.enter(Step::Ended, now);
        out.push(Action::End(outcome));
    }

    fn on_read(
        &mut self,
        sent: Mono,
        view: Option<View>,
        step: Step,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        let Some(view) = view else {
            return;
        };
        self.read_at = sent;
        match step {
            Step::Reading => self.evaluate(view, now, out),
            Step::Waiting { ballot, since } => {
                let resolved = view.staged.is_none() || view.ballot != ballot;
                if resolved || now.since(since) > self.timeouts.stage {
                    self.evaluate(view, now, out);
                }
            }
            Step::ReadingBack { ballot, outcome } => {
                self.resolve_from_rows(ballot, outcome, &view, now, out);
            }
            _ => {}
        }
    }

    /// Decides from the rows how to go on while this attempt has not written anything.
    fn evaluate(&mut self, view: View, now: Mono, out: &mut Vec<Action>) {
        if let Some(version) = self.accepted_version(&view) {
            self.finish(self.accepted_outcome(version), now, out);
            return;
        }
        let base = *self.proposal.base.get_or_insert(view.version());
        if base != view.version() {
            self.finish(Outcome::Overtaken(view.current), now, out);
            return;
        }
        let is_protected = |since: Mono| now.since(since) <= self.timeouts.stage;
        match (&self.step, &view.staged) {
            (Step::Waiting { ballot, since }, Some(_)) if *ballot == view.ballot => {
                if is_protected(*since) {
                    return;
                }
            }
            (_, Some(_)) => {
                let waiting = Step::Waiting {
                    ballot: view.ballot,
                    since: now,
                };
                self.enter(waiting, now);
                return;
            }
            (_, None) => {}
        }
        out.push(Action::Validate(view.current.clone()));
        self.enter(Step::Validating(view), now);
    }

    /// Returns the version under which this change was accepted, if it was.
    pub(super) fn accepted_version(&self, view: &View) -> Option<DocVersion> {
        view.current.as_ref()?.version_of_change(&self.proposal.op)
    }

    fn on_validated(
        &mut self,
        findings: Vec<Finding>,
        view: View,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        if any_error(&findings) {
            self.finish(Outcome::Invalid(findings), now, out);
            return;
        }
        out.push(Action::Write(Write::Stage {
            ballot: view.ballot,
            current_row: view.current_row,
            staged: self.staged_document(&view),
        }));
        self.enter(Step::Staging(view), now);
    }

    /// Returns the document as it is staged under a ballot.
    pub(super) fn staged_document(&self, view: &View) -> StagedDocument {
        StagedDocument {
            version: view.version().next(),
            text: Arc::clone(&self.proposal.text),
            by: self.proposal.by.clone(),
            op: self.proposal.op.clone(),
            proposer: self.daemon.clone(),
        }
    }

    fn on_written(&mut self, written: WriteResult, step: Step, now: Mono, out: &mut Vec<Action>) {
        match (step, written) {
            (Step::Staging(view), WriteResult::Done) => {
                let ballot = view.ballot.next();
                self.enter(Step::Collecting(View { ballot, ..view }), now);
                out.push(Action::ReadMembers);
            }
            (Step::Staging(_), WriteResult::Conflict) => {
                self.enter(Step::Reading, now);
                out.push(Action::Read);
            }
            (Step::Staging(view), WriteResult::Unknown) => {
                let outcome = Outcome::NotRun("the table did not answer");
                self.clear(view.ballot.next(), outcome, now, out);
            }
            (Step::Staging(_), WriteResult::Refused) => {
                self.finish(Outcome::NotRun("the table refused the write"), now, out);
            }
            (Step::Committing(view), WriteResult::Done) => {
                self.start_propagating(view.ballot, view.version().next(), now, out);
            }
            (Step::Committing(view), WriteResult::Refused) => {
                let outcome = Outcome::NotRun("the table refused the write");
                self.clear(view.ballot, outcome, now, out);
            }
            (Step::Committing(view), WriteResult::Conflict) if self.passed_over.is_empty() => {
                let outcome = Outcome::NotRun("another change took its place");
                self.clear(view.ballot, outcome, now, out);
            }
            // A daemon that was passed over may have recovered and can stage the document now.
            (Step::Committing(view), WriteResult::Conflict) => {
                self.passed_over.clear();
                self.enter(Step::Collecting(view), now);
                out.push(Action::ReadMembers);
            }
            (Step::Committing(view), WriteResult::Unknown) => {
                let outcome = Outcome::NotRun("the table did not answer");
                self.clear(view.ballot, outcome, now, out);
            }
            (
                Step::Clearing {
                    ballot, outcome, ..
                },
                written,
            ) => {
                self.on_cleared(ballot, outcome, written, now, out);
            }
            _ => {}
        }
    }

    fn on_acked(&mut self, ack: Ack, step: Step, now: Mono, out: &mut Vec<Action>) {
        for digest in digests(&ack) {
            self.record_digest(digest, &step);
        }
        match step {
            Step::Collecting(view) => self.collect_ack(ack, view, now, out),
            Step::Propagating { version, .. } => self.continue_propagating(version, now, out),
            _ => {}
        }
    }

    fn on_seen(&mut self, digest: &Digest, step: Step, now: Mono, out: &mut Vec<Action>) {
        self.record_digest(digest, &step);
        match step {
            Step::Collecting(view) => self.try_commit(view, now, out),
            Step::Propagating { version, .. } => self.continue_propagating(version, now, out),
            _ => {}
        }
    }

    /// Records what a daemon has, whichever daemon reported it.
    fn record_digest(&mut self, digest: &Digest, step: &Step) {
        let version = self.versions.entry(digest.daemon.clone()).or_default();
        *version = digest.version.max(*version);
        if matches!(step, Step::Collecting(view) if view.ballot == digest.ballot) {
            let incarnation = self.staged.entry(digest.daemon.clone()).or_default();
            *incarnation = digest.incarnation.max(*incarnation);
        }
    }

    fn on_tick(&mut self, step: Step, now: Mono, out: &mut Vec<Action>) {
        if now.since(self.repeated_at) < self.timeouts.retry_interval {
            return;
        }
        self.repeated_at = now;
        let elapsed = now.since(self.step_entered_at);
        match step {
            Step::Reading if elapsed > self.timeouts.resolve => {
                self.finish(Outcome::NotRun("the table did not answer"), now, out);
            }
            Step::Waiting { .. } if elapsed > self.timeouts.stage + self.timeouts.resolve => {
                self.finish(Outcome::NotRun("another change is under way"), now, out);
            }
            Step::ReadingBack { .. } if elapsed > self.timeouts.resolve => {
                self.finish(Outcome::Unknown, now, out);
            }
            Step::Reading | Step::Waiting { .. } | Step::ReadingBack { .. } => {
                out.push(Action::Read);
            }
            Step::Collecting(view) => {
                self.continue_collecting(view, elapsed > self.timeouts.collect, now, out);
            }
            Step::Clearing { .. } if elapsed > self.timeouts.resolve => {
                self.finish(Outcome::Unknown, now, out);
            }
            Step::Clearing {
                ballot,
                outcome,
                writing: false,
            } => {
                let at = self.step_entered_at;
                self.clear(ballot, outcome, now, out);
                self.step_entered_at = at;
            }
            Step::Propagating { ballot, version } => {
                self.send_committed(ballot, version, out);
                self.continue_propagating(version, now, out);
            }
            Step::Clearing { .. }
            | Step::Validating(_)
            | Step::Staging(_)
            | Step::Committing(_)
            | Step::Ended => {}
        }
    }
}

fn digests(ack: &Ack) -> impl Iterator<Item = &Digest> {
    ack.contacts
        .iter()
        .map(|contact| &contact.digest)
        .chain([&ack.digest])
}
