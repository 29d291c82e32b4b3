//! Carries one operator's change through: read, validate, stage, collect, commit, spread.
//!
//! A write whose answer was lost is settled before anything is concluded: the staged row is
//! cleared, after which the commit can no longer take effect, or is found to have moved on, after
//! which `doc/current` tells whether the commit did.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;

use crate::accept::Bounds;
use crate::accept::change::Action;
use crate::accept::change::Event;
use crate::accept::change::Outcome;
use crate::accept::change::Proposal;
use crate::accept::change::Step;
use crate::accept::change::Written;
use crate::accept::message::Ack;
use crate::accept::message::Digest;
use crate::accept::message::Heard;
use crate::accept::message::News;
use crate::accept::quorum::Evidence;
use crate::accept::quorum::Member;
use crate::accept::quorum::Verdict;
use crate::accept::quorum::verdict;
use crate::accept::row::RowCheck;
use crate::accept::row::Staged;
use crate::accept::row::View;
use crate::accept::row::Write;
use crate::finding::Finding;
use crate::finding::any_error;

/// What a daemon had heard of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeardAt {
    /// When its answer arrived.
    pub at: Mono,
    /// What it had heard by then.
    pub heard: Vec<Heard>,
}

impl HeardAt {
    /// Returns what it had heard, as old as it is by `now`.
    fn by(&self, now: Mono) -> Vec<Heard> {
        let later = now.since(self.at);
        self.heard.iter().map(|heard| heard.after(later)).collect()
    }
}

/// The state of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The daemon that carries it through.
    pub daemon: DaemonId,
    /// The bounds of the protocol.
    pub bounds: Bounds,
    /// What was asked for.
    pub proposal: Proposal,
    /// Where it stands.
    pub step: Step,
    /// When it came to where it stands.
    pub step_at: Mono,
    /// When the rows were last read.
    pub read_at: Mono,
    /// When unanswered messages were last repeated.
    pub repeated_at: Mono,
    /// The daemons, read after the document was staged; `None` until then.
    pub members: Option<Vec<Member>>,
    /// The lives that have staged it.
    pub staged: BTreeMap<DaemonId, Incarnation>,
    /// What the daemons that answered had heard of others once they had staged it, and when they
    /// said so. Whoever they have heard since knows of the staged document, so they are not asked
    /// again.
    pub heard: BTreeMap<DaemonId, HeardAt>,
    /// The version that each daemon was last known to have in force.
    pub versions: BTreeMap<DaemonId, DocVersion>,
    /// The daemons that were passed over.
    pub passed_over: BTreeMap<DaemonId, RowCheck>,
}

impl Proposer {
    /// Starts a change.
    #[must_use]
    pub fn start(
        daemon: DaemonId,
        proposal: Proposal,
        bounds: Bounds,
        now: Mono,
    ) -> (Self, Vec<Action>) {
        let proposer = Self {
            daemon,
            bounds,
            proposal,
            step: Step::Reading,
            step_at: now,
            read_at: now,
            repeated_at: now,
            members: None,
            staged: BTreeMap::new(),
            heard: BTreeMap::new(),
            versions: BTreeMap::new(),
            passed_over: BTreeMap::new(),
        };
        (proposer, vec![Action::Read])
    }

    /// Returns whether the operator has been told the end.
    #[must_use]
    pub const fn ended(&self) -> bool {
        matches!(self.step, Step::Ended)
    }

    /// Takes in an event; one that does not belong to where the change stands is ignored.
    pub fn handle(&mut self, event: Event, now: Mono) -> Vec<Action> {
        let mut out = Vec::new();
        match (event, self.step.clone()) {
            (Event::Read { sent, view }, step) => self.read(sent, view, step, now, &mut out),
            (Event::Validated(findings), Step::Validating(view)) => {
                self.validated(findings, view, now, &mut out);
            }
            (Event::Written(written), step) => self.written(written, step, now, &mut out),
            (Event::Members(members), Step::Collecting(view)) => {
                self.members = Some(members);
                self.repeated_at = now;
                self.push(&view, now, &mut out);
                self.decide(view, now, &mut out);
            }
            (Event::Acked(ack), step) => self.acked(ack, step, now, &mut out),
            (Event::Seen(digest), step) => self.seen(&digest, step, now, &mut out),
            (Event::Tick, step) => self.tick(step, now, &mut out),
            (Event::Validated(_) | Event::Members(_), _) => {}
        }
        out
    }

    pub(super) fn go(&mut self, step: Step, now: Mono) {
        self.step = step;
        self.step_at = now;
    }

    pub(super) fn end(&mut self, outcome: Outcome, now: Mono, out: &mut Vec<Action>) {
        self.go(Step::Ended, now);
        out.push(Action::End(outcome));
    }

    fn read(
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
            Step::Reading => self.begin(view, now, out),
            Step::Waiting { ballot, since } => {
                let resolved = view.staged.is_none() || view.ballot != ballot;
                if resolved || now.since(since) > self.bounds.stage_hold {
                    self.begin(view, now, out);
                }
            }
            Step::ReadingBack { ballot, outcome } => {
                self.conclude(ballot, outcome, &view, now, out);
            }
            _ => {}
        }
    }

    /// Looks at the rows before anything was written for this attempt.
    fn begin(&mut self, view: View, now: Mono, out: &mut Vec<Action>) {
        if let Some(version) = self.accepted_in(&view) {
            self.end(self.accepted(version), now, out);
            return;
        }
        let base = *self.proposal.base.get_or_insert(view.version());
        if base != view.version() {
            self.end(Outcome::Overtaken(view.current), now, out);
            return;
        }
        let held = |since: Mono| now.since(since) <= self.bounds.stage_hold;
        match (&self.step, &view.staged) {
            (Step::Waiting { ballot, since }, Some(_)) if *ballot == view.ballot => {
                if held(*since) {
                    return;
                }
            }
            (_, Some(_)) => {
                let waiting = Step::Waiting {
                    ballot: view.ballot,
                    since: now,
                };
                self.go(waiting, now);
                return;
            }
            (_, None) => {}
        }
        out.push(Action::Validate(view.current.clone()));
        self.go(Step::Validating(view), now);
    }

    pub(super) fn accepted_in(&self, view: &View) -> Option<DocVersion> {
        view.current.as_ref()?.accepted_as(&self.proposal.op)
    }

    fn validated(&mut self, findings: Vec<Finding>, view: View, now: Mono, out: &mut Vec<Action>) {
        if any_error(&findings) {
            self.end(Outcome::Invalid(findings), now, out);
            return;
        }
        out.push(Action::Write(Write::Stage {
            ballot: view.ballot,
            current_row: view.current_row,
            staged: self.staged_after(&view),
        }));
        self.go(Step::Staging(view), now);
    }

    fn staged_after(&self, view: &View) -> Staged {
        Staged {
            version: view.version().next(),
            text: Arc::clone(&self.proposal.text),
            by: self.proposal.by.clone(),
            op: self.proposal.op.clone(),
            proposer: self.daemon.clone(),
        }
    }

    fn written(&mut self, written: Written, step: Step, now: Mono, out: &mut Vec<Action>) {
        match (step, written) {
            (Step::Staging(view), Written::Done) => {
                let ballot = view.ballot.next();
                self.go(Step::Collecting(View { ballot, ..view }), now);
                out.push(Action::ReadMembers);
            }
            (Step::Staging(_), Written::Conflict) => {
                self.go(Step::Reading, now);
                out.push(Action::Read);
            }
            (Step::Staging(view), Written::Unknown) => {
                let outcome = Outcome::NotRun("the table did not answer");
                self.clear(view.ballot.next(), outcome, now, out);
            }
            (Step::Staging(_), Written::Refused) => {
                self.end(Outcome::NotRun("the table refused the write"), now, out);
            }
            (Step::Committing(view), Written::Done) => {
                self.spread(view.ballot, view.version().next(), now, out);
            }
            (Step::Committing(view), Written::Refused) => {
                let outcome = Outcome::NotRun("the table refused the write");
                self.clear(view.ballot, outcome, now, out);
            }
            (Step::Committing(view), Written::Conflict) if self.passed_over.is_empty() => {
                let outcome = Outcome::NotRun("another change took its place");
                self.clear(view.ballot, outcome, now, out);
            }
            // A daemon that was passed over may have come back, and can stage the document now.
            (Step::Committing(view), Written::Conflict) => {
                self.passed_over.clear();
                self.go(Step::Collecting(view), now);
                out.push(Action::ReadMembers);
            }
            (Step::Committing(view), Written::Unknown) => {
                let outcome = Outcome::NotRun("the table did not answer");
                self.clear(view.ballot, outcome, now, out);
            }
            (
                Step::Clearing {
                    ballot, outcome, ..
                },
                written,
            ) => {
                self.cleared(ballot, outcome, written, now, out);
            }
            _ => {}
        }
    }

    fn acked(&mut self, ack: Ack, step: Step, now: Mono, out: &mut Vec<Action>) {
        for digest in digests(&ack) {
            self.note(digest, &step);
        }
        match step {
            Step::Collecting(view) => self.collect(ack, view, now, out),
            Step::Spreading { version, .. } => self.spread_on(version, now, out),
            _ => {}
        }
    }

    fn seen(&mut self, digest: &Digest, step: Step, now: Mono, out: &mut Vec<Action>) {
        self.note(digest, &step);
        match step {
            Step::Collecting(view) => self.decide(view, now, out),
            Step::Spreading { version, .. } => self.spread_on(version, now, out),
            _ => {}
        }
    }

    /// Notes what a daemon has, whoever told it.
    fn note(&mut self, digest: &Digest, step: &Step) {
        let version = self.versions.entry(digest.daemon.clone()).or_default();
        *version = digest.version.max(*version);
        if matches!(step, Step::Collecting(view) if view.ballot == digest.ballot) {
            let life = self.staged.entry(digest.daemon.clone()).or_default();
            *life = digest.incarnation.max(*life);
        }
    }

    fn collect(&mut self, ack: Ack, view: View, now: Mono, out: &mut Vec<Action>) {
        if ack.digest.ballot > view.ballot {
            let outcome = Outcome::NotRun("another change took its place");
            self.read_back(view.ballot, outcome, now, out);
            return;
        }
        let by = ack.digest.daemon;
        if ack.digest.ballot == view.ballot {
            let heard = ack.heard;
            self.heard.insert(by, HeardAt { at: now, heard });
        } else {
            out.push(self.push_to(by, &view, now));
        }
        self.decide(view, now, out);
    }

    /// Commits as soon as no daemon that may be serving is missing.
    fn decide(&mut self, view: View, now: Mono, out: &mut Vec<Action>) {
        let Verdict::Commit { passed_over } = self.verdict(now) else {
            return;
        };
        let checks = passed_over.values().cloned().collect();
        self.passed_over = passed_over;
        out.push(Action::Write(Write::Commit {
            ballot: view.ballot,
            current_row: view.current_row,
            current: self.staged_after(&view).accepted(view.current.as_ref()),
            passed_over: checks,
        }));
        self.go(Step::Committing(view), now);
    }

    fn verdict(&self, now: Mono) -> Verdict {
        let members = self.members.as_deref().unwrap_or_default();
        // Without its own heartbeat row the list cannot be whole.
        if !members.iter().any(|member| member.daemon == self.daemon) {
            return Verdict::Blocked {
                daemons: [self.daemon.clone()].into(),
            };
        }
        let by_now = |(daemon, heard): (&DaemonId, &HeardAt)| (daemon.clone(), heard.by(now));
        let heard = self.heard.iter().map(by_now).collect();
        let evidence = Evidence {
            members,
            staged: &self.staged,
            heard: &heard,
            without: &self.proposal.without,
        };
        verdict(evidence, &self.bounds)
    }

    fn push(&self, view: &View, now: Mono, out: &mut Vec<Action>) {
        for member in self.members.iter().flatten() {
            let staged = self.staged.get(&member.daemon);
            if staged.is_none_or(|seen| *seen < member.incarnation) {
                out.push(self.push_to(member.daemon.clone(), view, now));
            }
        }
    }

    fn push_to(&self, to: DaemonId, view: &View, now: Mono) -> Action {
        let known = self.versions.get(&to).copied();
        let behind = known.is_some_and(|version| version < view.version());
        Action::Push {
            news: News {
                ballot: view.ballot,
                pending: true,
                staged: Some(self.staged_after(view)),
                version: view.version(),
                current: view.current.clone().filter(|_| behind),
                age: now.since(self.read_at),
                serving: false,
            },
            to,
        }
    }

    fn tick(&mut self, step: Step, now: Mono, out: &mut Vec<Action>) {
        if now.since(self.repeated_at) < self.bounds.repeat {
            return;
        }
        self.repeated_at = now;
        let stood = now.since(self.step_at);
        match step {
            Step::Reading if stood > self.bounds.settle => {
                self.end(Outcome::NotRun("the table did not answer"), now, out);
            }
            Step::Waiting { .. } if stood > self.bounds.stage_hold + self.bounds.settle => {
                self.end(Outcome::NotRun("another change is under way"), now, out);
            }
            Step::ReadingBack { .. } if stood > self.bounds.settle => {
                self.end(Outcome::Unknown, now, out);
            }
            Step::Reading | Step::Waiting { .. } | Step::ReadingBack { .. } => {
                out.push(Action::Read);
            }
            Step::Collecting(view) => self.collect_on(view, stood > self.bounds.collect, now, out),
            Step::Clearing { .. } if stood > self.bounds.settle => {
                self.end(Outcome::Unknown, now, out);
            }
            Step::Clearing {
                ballot,
                outcome,
                writing: false,
            } => {
                let at = self.step_at;
                self.clear(ballot, outcome, now, out);
                self.step_at = at;
            }
            Step::Spreading { ballot, version } => {
                self.tell_committed(ballot, version, out);
                self.spread_on(version, now, out);
            }
            Step::Clearing { .. }
            | Step::Validating(_)
            | Step::Staging(_)
            | Step::Committing(_)
            | Step::Ended => {}
        }
    }

    fn collect_on(&mut self, view: View, expired: bool, now: Mono, out: &mut Vec<Action>) {
        if !expired {
            out.push(Action::ReadMembers);
            return;
        }
        let daemons = match self.verdict(now) {
            Verdict::Blocked { daemons } => daemons,
            Verdict::Commit { .. } => BTreeSet::new(),
        };
        let outcome = if self.members.is_none() {
            Outcome::NotRun("the table did not answer")
        } else {
            Outcome::Unreachable(daemons)
        };
        self.abandon(view.ballot, out);
        self.clear(view.ballot, outcome, now, out);
    }
}

fn digests(ack: &Ack) -> impl Iterator<Item = &Digest> {
    ack.heard
        .iter()
        .map(|heard| &heard.digest)
        .chain([&ack.digest])
}
