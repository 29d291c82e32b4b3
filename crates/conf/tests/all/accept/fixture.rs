//! Rows, followers and proposals for single cases of the state machines that the model does not
//! reach.

use std::collections::BTreeSet;
use std::sync::Arc;

use conf::accept::Timeouts;
use conf::accept::change::Proposal;
use conf::accept::follower;
use conf::accept::follower::Follower;
use conf::accept::row::AcceptedChange;
use conf::accept::row::AcceptedDocument;
use conf::accept::row::StagedDocument;
use conf::accept::row::View;
use model::Mono;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;

/// A second in milliseconds.
pub const SECOND: u64 = 1000;

/// Returns a document that was accepted by the change `op-1`.
pub fn current(version: u64) -> AcceptedDocument {
    AcceptedDocument {
        version: DocVersion(version),
        text: Arc::from("{}"),
        by: "an".to_owned(),
        op: "op-1".into(),
        recent: vec![AcceptedChange {
            op: "op-1".into(),
            version: DocVersion(version),
        }],
    }
}

/// Returns the rows with such a document, and with a staged one of the change `op-2`.
pub fn view(version: u64, staged: bool) -> View {
    let staged_document = StagedDocument {
        version: DocVersion(version + 1),
        text: Arc::from("{}"),
        by: "an".to_owned(),
        op: "op-2".into(),
        proposer: "d1".into(),
    };
    View {
        ballot: RowVersion(2 * version + u64::from(staged)),
        staged: staged.then_some(staged_document),
        current_row: RowVersion(version),
        current: Some(current(version)),
    }
}

pub fn polled(sent: u64, version: u64, staged: bool) -> follower::Event {
    follower::Event::Polled {
        sent: Mono(sent),
        view: view(version, staged),
    }
}

pub fn follower(name: &str) -> Follower {
    Follower::new(name.into(), Incarnation(1), Timeouts::default())
}

/// Returns a proposal of an empty document.
pub fn proposal(op: &str, base: Option<DocVersion>) -> Proposal {
    Proposal {
        op: op.into(),
        text: Arc::from("{}"),
        by: "an".to_owned(),
        base,
        without: BTreeSet::new(),
    }
}
