//! The proposal, events, actions, steps and outcomes of one operator's change.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::OpId;
use model::id::RowVersion;

use crate::accept::message::Ack;
use crate::accept::message::Digest;
use crate::accept::message::DocumentDelta;
use crate::accept::quorum::Member;
use crate::accept::row::AcceptedDocument;
use crate::accept::row::View;
use crate::accept::row::Write;
use crate::finding::Finding;

/// A change to the document as requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The operator's id of the change, by which repeated requests are recognized.
    pub op: OpId,
    /// The text of the proposed document.
    pub text: Arc<str>,
    /// The name of the operator.
    pub by: String,
    /// The version that the operator edited; `None` means the one in force when the change
    /// arrives.
    pub base: Option<DocVersion>,
    /// The daemons that the operator declares dead.
    pub without: BTreeSet<DaemonId>,
}

/// The result of a transaction as far as the table reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The transaction took effect.
    Done,
    /// The transaction can no longer take effect, because a row has another version than it checks.
    /// It may have taken effect earlier, if its first answer was lost and the row was written again
    /// afterwards, so the proposer reads the rows back before it reports an outcome.
    Conflict,
    /// The table refused the transaction: it did not take effect and never will.
    Refused,
    /// Unknown: the transaction may have taken effect, or may still do so.
    Unknown,
}

/// An input of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rows were read, `doc/staged` first.
    Read {
        /// When the first of the two reads was sent.
        sent: Mono,
        /// The contents of the rows; `None` if the table did not answer.
        view: Option<View>,
    },
    /// The text was validated against the document in force.
    Validated(Vec<Finding>),
    /// The result of the last write.
    Written(WriteResult),
    /// The heartbeat rows, read after the document was staged.
    Members(Vec<Member>),
    /// A daemon acknowledged a message.
    Acked(Ack),
    /// The digest in a daemon's heartbeat row. With it, a daemon that reaches the table but not the
    /// proposer does not block the commit.
    Seen(Digest),
    /// A periodic timer event.
    Tick,
}

/// An effect that a proposer requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read `doc/staged`, then `doc/current`; answered with [`Event::Read`].
    Read,
    /// Validate the proposed text against the document in force; answered with
    /// [`Event::Validated`].
    Validate(Option<AcceptedDocument>),
    /// Execute this transaction; answered with [`Event::Written`].
    Write(Write),
    /// Read the heartbeat rows; answered with [`Event::Members`].
    ReadMembers,
    /// Push the staged document to a daemon, which handles it as
    /// [`crate::accept::follower::Event::Pushed`] and answers with an [`Ack`].
    Push {
        /// The receiving daemon.
        to: DaemonId,
        /// The content of the message.
        delta: DocumentDelta,
    },
    /// Notify a daemon that the document staged under the ballot is in force; answered with an
    /// [`Ack`].
    Committed {
        /// The receiving daemon.
        to: DaemonId,
        /// The ballot under which the document was staged.
        ballot: RowVersion,
    },
    /// Notify a daemon that the document staged under the ballot will never be in force.
    Abandoned {
        /// The receiving daemon.
        to: DaemonId,
        /// The ballot under which the document was staged.
        ballot: RowVersion,
    },
    /// The change is in force; an operator who does not wait for all daemons is answered now.
    Accepted {
        /// The version of the accepted document.
        version: DocVersion,
    },
    /// The change has ended.
    End(Outcome),
}

/// The final outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change was accepted.
    Accepted {
        /// The version of the accepted document.
        version: DocVersion,
        /// The daemons that are known to have the document in force.
        in_force: BTreeSet<DaemonId>,
        /// The daemons that have not yet confirmed it.
        pending: BTreeSet<DaemonId>,
        /// The daemons that the commit passed over because they cannot be serving.
        passed_over: BTreeSet<DaemonId>,
    },
    /// The text has findings that are errors.
    Invalid(Vec<Finding>),
    /// Another change was accepted first; [`crate::accept::reply::overtaken_reply`] reports what it
    /// changed. `None` if no document is in force.
    Overtaken(Option<AcceptedDocument>),
    /// The change was not accepted, because these daemons may be serving and have not staged it.
    Unreachable(BTreeSet<DaemonId>),
    /// The change was certainly not accepted and will not be, for the given reason.
    NotRun(&'static str),
    /// The change may have been accepted; the same request with the same id finds out.
    Unknown,
}

/// The current step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The rows are being read.
    Reading,
    /// Another change is staged; the proposer waits until it is resolved or its protection ends.
    Waiting {
        /// The ballot of the other change.
        ballot: RowVersion,
        /// When the other change was first seen.
        since: Mono,
    },
    /// The text is being validated against the document in force.
    Validating(View),
    /// The write that stages the document is in flight.
    Staging(View),
    /// The daemons are staging the document, and their acknowledgements are collected.
    Collecting(View),
    /// The write that commits the document is in flight.
    Committing(View),
    /// The change must no longer be committed, or it is unknown whether it was; the staged row is
    /// being cleared.
    Clearing {
        /// The ballot of this change.
        ballot: RowVersion,
        /// The outcome to report if the change was not committed.
        outcome: Outcome,
        /// Whether the write that clears the row is in flight.
        writing: bool,
    },
    /// The staged row has changed since; `doc/current` shows whether this change was committed.
    ReadingBack {
        /// The ballot of this change.
        ballot: RowVersion,
        /// The outcome to report if the change was not committed.
        outcome: Outcome,
    },
    /// The document is in force, and the daemons are being notified.
    Propagating {
        /// The ballot of this change.
        ballot: RowVersion,
        /// The version of the accepted document.
        version: DocVersion,
    },
    /// The outcome has been reported.
    Ended,
}
