//! One operator's change: what is asked for, what happens to it, where it stands and how it ends.

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

/// What the operator asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The operator's id of the change.
    pub op: OpId,
    /// The text.
    pub text: Arc<str>,
    /// Who sends it.
    pub by: String,
    /// The version that the operator started from; without it, the one in force when the change
    /// arrives.
    pub base: Option<DocVersion>,
    /// The daemons that the operator vouches to be dead.
    pub without: BTreeSet<DaemonId>,
}

/// What became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// It took effect.
    Done,
    /// It will not take effect any more, because a row has moved on. It may have taken effect before
    /// that, if an earlier answer was lost and the row has been written again since; the proposer
    /// reads back before it concludes.
    Conflict,
    /// It did not take effect and never will, because the table refused it.
    Refused,
    /// It may have taken effect, or may still.
    Unknown,
}

/// What a proposer is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rows were read, `doc/staged` first; `None` if the table did not answer.
    Read {
        /// When the first read was sent.
        sent: Mono,
        /// What the reads showed.
        view: Option<View>,
    },
    /// The text was validated against the document in force.
    Validated(Vec<Finding>),
    /// The last write was answered.
    Written(WriteResult),
    /// The heartbeat rows were read after the document was staged.
    Members(Vec<Member>),
    /// A daemon answered a push.
    Acked(Ack),
    /// A daemon's heartbeat row showed what it has; so a daemon that reaches the table, but not the
    /// proposer, holds up nothing.
    Seen(Digest),
    /// Time has passed.
    Tick,
}

/// What a proposer asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read `doc/staged`, then `doc/current`, and answer with [`Event::Read`].
    Read,
    /// Validate the text against this document and answer with [`Event::Validated`].
    Validate(Option<AcceptedDocument>),
    /// Carry out this transaction and answer with [`Event::Written`].
    Write(Write),
    /// Read the heartbeat rows and answer with [`Event::Members`].
    ReadMembers,
    /// Push this to a daemon, which takes it as [`crate::accept::follower::Event::Pushed`] and answers with
    /// an [`Ack`].
    Push {
        /// The daemon.
        to: DaemonId,
        /// The message.
        delta: DocumentDelta,
    },
    /// Tell a daemon that the document under the ballot is in force; answered with an [`Ack`].
    Committed {
        /// The daemon.
        to: DaemonId,
        /// The ballot.
        ballot: RowVersion,
    },
    /// Tell a daemon that the document under the ballot will never be in force.
    Abandoned {
        /// The daemon.
        to: DaemonId,
        /// The ballot.
        ballot: RowVersion,
    },
    /// The change is in force from now on; an operator who does not wait is told now.
    Accepted {
        /// Its version.
        version: DocVersion,
    },
    /// The change has come to its end.
    End(Outcome),
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// Its version.
        version: DocVersion,
        /// The daemons that have it in force.
        in_force: BTreeSet<DaemonId>,
        /// The daemons that have not said so.
        pending: BTreeSet<DaemonId>,
        /// The daemons that were passed over.
        passed_over: BTreeSet<DaemonId>,
    },
    /// The text has errors.
    Invalid(Vec<Finding>),
    /// Another change came first; [`crate::accept::reply::overtaken_reply`] tells what it changed.
    Overtaken(Option<AcceptedDocument>),
    /// Daemons that may be serving have not staged it.
    Unreachable(BTreeSet<DaemonId>),
    /// It was certainly not accepted and will not be.
    NotRun(&'static str),
    /// It may have been accepted; asking again with the same id tells.
    Unknown,
}

/// Where a change stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The rows are being read.
    Reading,
    /// Another change is staged; waits until it is resolved or may be replaced.
    Waiting {
        /// Its ballot.
        ballot: RowVersion,
        /// When it was first seen.
        since: Mono,
    },
    /// The text is being validated.
    Validating(View),
    /// The write that stages it is under way.
    Staging(View),
    /// The daemons are staging it.
    Collecting(View),
    /// The write that commits it is under way.
    Committing(View),
    /// It must not be committed any more, or it is not known whether it was; the staged row is
    /// being cleared.
    Clearing {
        /// The ballot of the change.
        ballot: RowVersion,
        /// What the operator is told if it was not committed.
        outcome: Outcome,
        /// Whether the write that clears is under way.
        writing: bool,
    },
    /// The staged row has moved on; `doc/current` tells whether the change was committed.
    ReadingBack {
        /// The ballot of the change.
        ballot: RowVersion,
        /// What the operator is told if it was not committed.
        outcome: Outcome,
    },
    /// It is in force and being made known.
    Propagating {
        /// The ballot of the change.
        ballot: RowVersion,
        /// The version that it made.
        version: DocVersion,
    },
    /// The operator has been told.
    Ended,
}
