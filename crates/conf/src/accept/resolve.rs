//! Resolves changes that must no longer be committed, or whose commit has an unknown result.

use model::Mono;
use model::id::RowVersion;

use crate::accept::change::Action;
use crate::accept::change::Outcome;
use crate::accept::change::Step;
use crate::accept::change::WriteResult;
use crate::accept::proposer::Proposer;
use crate::accept::row::View;
use crate::accept::row::Write;

impl Proposer {
    /// Starts to clear the staged row; until that has taken effect, an earlier commit still may.
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
        self.enter(clearing, now);
    }

    /// Handles the result of the write that clears the staged row.
    pub(super) fn on_cleared(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        written: WriteResult,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        match written {
            WriteResult::Done => {
                self.abandon(ballot, out);
                self.finish(outcome, now, out);
            }
            WriteResult::Conflict => self.read_back(ballot, outcome, now, out),
            WriteResult::Refused | WriteResult::Unknown => {
                self.step = Step::Clearing {
                    ballot,
                    outcome,
                    writing: false,
                };
            }
        }
    }

    /// Reads the rows to find out whether the change was committed.
    pub(super) fn read_back(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        self.enter(Step::ReadingBack { ballot, outcome }, now);
        out.push(Action::Read);
    }

    /// Notifies all daemons that the document staged under the ballot will never be in force.
    pub(super) fn abandon(&self, ballot: RowVersion, out: &mut Vec<Action>) {
        for member in self.members.iter().flatten() {
            out.push(Action::Abandoned {
                to: member.daemon.clone(),
                ballot,
            });
        }
    }

    /// Determines from the rows whether the change was committed; only called once a commit can no
    /// longer take effect.
    pub(super) fn resolve_from_rows(
        &mut self,
        ballot: RowVersion,
        outcome: Outcome,
        view: &View,
        now: Mono,
        out: &mut Vec<Action>,
    ) {
        if let Some(version) = self.accepted_version(view) {
            self.start_propagating(ballot, version, now, out);
        } else if Some(view.version()) != self.proposal.base {
            self.finish(Outcome::Overtaken(view.current.clone()), now, out);
        } else {
            self.abandon(ballot, out);
            self.finish(outcome, now, out);
        }
    }
}
