//! Sends a staged document to the daemons and commits it once those that may be serving have staged
//! it.

use std::collections::BTreeSet;

use model::Mono;
use model::id::DaemonId;

use crate::accept::change::Action;
use crate::accept::change::Outcome;
use crate::accept::change::Step;
use crate::accept::message::Ack;
use crate::accept::message::DocumentDelta;
use crate::accept::proposer::ContactReport;
use crate::accept::proposer::Proposer;
use crate::accept::quorum::Decision;
use crate::accept::quorum::Evidence;
use crate::accept::quorum::decide;
use crate::accept::row::View;
use crate::accept::row::Write;

impl Proposer {
    /// Handles the acknowledgement of a daemon.
    pub(super) fn collect_ack(&mut self, ack: Ack, view: View, now: Mono, out: &mut Vec<Action>) {
        if ack.digest.ballot > view.ballot {
            let outcome = Outcome::NotRun("another change took its place");
            self.read_back(view.ballot, outcome, now, out);
            return;
        }
        let from = ack.digest.daemon;
        if ack.digest.ballot == view.ballot {
            let contacts = ack.contacts;
            self.contacts.insert(
                from,
                ContactReport {
                    received_at: now,
                    contacts,
                },
            );
        } else {
            out.push(self.push_to(from, &view, now));
        }
        self.try_commit(view, now, out);
    }

    /// Commits as soon as no daemon that may be serving still has to stage the document.
    pub(super) fn try_commit(&mut self, view: View, now: Mono, out: &mut Vec<Action>) {
        let Decision::Commit { passed_over } = self.decision(now) else {
            return;
        };
        let checks = passed_over.values().cloned().collect();
        self.passed_over = passed_over;
        out.push(Action::Write(Write::Commit {
            ballot: view.ballot,
            current_row: view.current_row,
            current: self
                .staged_document(&view)
                .to_accepted(view.current.as_ref()),
            passed_over: checks,
        }));
        self.enter(Step::Committing(view), now);
    }

    fn decision(&self, now: Mono) -> Decision {
        let members = self.members.as_deref().unwrap_or_default();
        // A list without this daemon's own heartbeat row is incomplete.
        if !members.iter().any(|member| member.daemon == self.daemon) {
            return Decision::Blocked {
                daemons: [self.daemon.clone()].into(),
            };
        }
        let aged =
            |(daemon, report): (&DaemonId, &ContactReport)| (daemon.clone(), report.aged_to(now));
        let contacts = self.contacts.iter().map(aged).collect();
        let evidence = Evidence {
            members,
            staged: &self.staged,
            contacts: &contacts,
            without: &self.proposal.without,
        };
        decide(evidence, &self.timeouts)
    }

    /// Sends the staged document to the daemons that are not known to have staged it.
    pub(super) fn push_to_missing(&self, view: &View, now: Mono, out: &mut Vec<Action>) {
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
            delta: DocumentDelta {
                ballot: view.ballot,
                pending: true,
                staged: Some(self.staged_document(view)),
                version: view.version(),
                current: view.current.clone().filter(|_| behind),
                age: now.since(self.read_at),
                serving: false,
            },
            to,
        }
    }

    /// Reads the heartbeat rows again, or gives the change up if its time has `expired`.
    pub(super) fn continue_collecting(
        &mut self,
        view: View,
        expired: bool,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        if !expired {
            out.push(Action::ReadMembers);
            return;
        }
        let daemons = match self.decision(now) {
            Decision::Blocked { daemons } => daemons,
            Decision::Commit { .. } => BTreeSet::new(),
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
