//! How a change ends that must not be committed any more, or of which it is not known whether it was.

use model::Mono;
use model::id::RowVersion;

use crate::accept::change::Action;
use crate::accept::change::Outcome;
use crate::accept::change::Step;
use crate::accept::change::Written;
use crate::accept::proposer::Proposer;
use crate::accept::row::View;
use crate::accept::row::Write;

impl Proposer {
    /// Takes the staged document back; until that is done it may yet be committed.
    pub(super) fn clear(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Write(Write::Clear { ballot }));
        let clearing = Step::Clearing {
            ballot,
            outcome,
            writing: true,
        };
        self.go(clearing, now);
    }

    pub(super) fn cleared(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        written: Written,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        match written {
            Written::Done => {
                self.abandon(ballot, out);
                self.end(outcome, now, out);
            }
            Written::Conflict => self.read_back(ballot, outcome, now, out),
            Written::Refused | Written::Unknown => {
                self.step = Step::Clearing {
                    ballot,
                    outcome,
                    writing: false,
                };
            }
        }
    }

    pub(super) fn read_back(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        self.go(Step::ReadingBack { ballot, outcome }, now);
        out.push(Action::Read);
    }

    pub(super) fn abandon(&self, ballot: RowVersion, out: &mut Vec<Action>) {
        for member in self.members.iter().flatten() {
            out.push(Action::Abandoned {
                to: member.daemon.clone(),
                ballot,
            });
        }
    }

    /// Finds out from the rows whether the change was committed, once it no longer can be.
    pub(super) fn conclude(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        view: &View,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        if let Some(version) = self.accepted_in(view) {
            self.spread(ballot, version, now, out);
        } else if Some(view.version()) != self.proposal.base {
            self.end(Outcome::Overtaken(view.current.clone()), now, out);
        } else {
            self.abandon(ballot, out);
            self.end(outcome, now, out);
        }
    }
}
