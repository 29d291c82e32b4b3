//! Decides whether a commit has enough acknowledgements and which daemons it may pass over.
//!
//! Every daemon that may be serving must have staged the document. A daemon that has not confirmed
//! this can be passed over only if it certainly no longer serves; `docs/CONFIGURATION.md` gives the
//! argument.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use model::id::DaemonId;
use model::id::Incarnation;
use model::id::RowVersion;

use crate::accept::Timeouts;
use crate::accept::message::Contact;
use crate::accept::row::RowCheck;

/// A daemon according to the table and the host list, read after the document was staged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The name of the daemon.
    pub daemon: DaemonId,
    /// The incarnation in its heartbeat row.
    pub incarnation: Incarnation,
    /// The key of its heartbeat row.
    pub key: String,
    /// The version of the heartbeat row; it increases with every heartbeat.
    pub row: RowVersion,
    /// How long ago the reader first saw this version of the row.
    pub unchanged_for: Duration,
    /// Whether the platform's host list still contains the daemon.
    pub listed: bool,
}

/// Whether a document can be committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The document can be committed, provided these heartbeat rows are unchanged.
    Commit {
        /// The daemons to pass over, with the heartbeat rows that the commit must check.
        passed_over: BTreeMap<DaemonId, RowCheck>,
    },
    /// The document cannot be committed yet.
    Blocked {
        /// The daemons that may be serving and have not staged the document.
        daemons: BTreeSet<DaemonId>,
    },
}

/// The facts that [`decide`] is based on.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// All daemons with a heartbeat row.
    pub members: &'a [Member],
    /// The incarnation of each daemon that has staged the document.
    pub staged: &'a BTreeMap<DaemonId, Incarnation>,
    /// The contacts that daemons reported themselves after they had staged the document, by
    /// reporting daemon.
    pub contacts: &'a BTreeMap<DaemonId, Vec<Contact>>,
    /// The daemons that the operator declares dead.
    pub without: &'a BTreeSet<DaemonId>,
}

/// Decides whether a document can be committed.
///
/// A single silent daemon can be passed over: it has lost its permission to serve once its
/// heartbeat row has not changed for longer than the isolation timeout, all other daemons have
/// acknowledged it themselves, and none of them was contacted by it in that time. Two silent
/// daemons may extend each other's permission to serve, so they block the commit until the host
/// list no longer contains them or the operator declares them dead. Even then, their heartbeat rows
/// must have been unchanged for that long.
#[must_use]
pub fn decide(evidence: Evidence<'_>, timeouts: &Timeouts) -> Decision {
    let silent: Vec<&Member> = evidence
        .members
        .iter()
        .filter(|member| !has_staged(member, evidence.staged))
        .collect();
    let (presumed_dead, unaccounted): (Vec<&Member>, Vec<&Member>) = silent
        .iter()
        .partition(|member| !member.listed || evidence.without.contains(&member.daemon));
    let is_only_one = unaccounted.len() == 1;
    let blocked: BTreeSet<DaemonId> = presumed_dead
        .iter()
        .filter(|member| !heartbeat_expired(member, timeouts))
        .chain(
            unaccounted
                .iter()
                .filter(|member| !(is_only_one && is_isolated(member, &evidence, timeouts))),
        )
        .map(|member| member.daemon.clone())
        .collect();
    if !blocked.is_empty() {
        return Decision::Blocked { daemons: blocked };
    }
    let passed_over = silent
        .iter()
        .map(|member| (member.daemon.clone(), row_check(member)))
        .collect();
    Decision::Commit { passed_over }
}

fn has_staged(member: &Member, staged: &BTreeMap<DaemonId, Incarnation>) -> bool {
    staged
        .get(&member.daemon)
        .is_some_and(|incarnation| *incarnation >= member.incarnation)
}

fn heartbeat_expired(member: &Member, timeouts: &Timeouts) -> bool {
    member.unchanged_for > timeouts.isolation + timeouts.clock_margin
}

fn is_isolated(member: &Member, evidence: &Evidence<'_>, timeouts: &Timeouts) -> bool {
    let recent = |contact: &Contact| {
        contact.digest.daemon == member.daemon
            && contact.age <= timeouts.isolation + timeouts.clock_margin
    };
    let all_answered = evidence
        .members
        .iter()
        .filter(|other| has_staged(other, evidence.staged))
        .all(|other| evidence.contacts.contains_key(&other.daemon));
    heartbeat_expired(member, timeouts)
        && all_answered
        && !evidence.contacts.values().flatten().any(recent)
}

fn row_check(member: &Member) -> RowCheck {
    RowCheck {
        key: member.key.clone(),
        version: member.row,
    }
}
