//! Which daemons a commit may do without.
//!
//! A daemon that may be serving must have staged the document. One that has not said so can be
//! passed over only if it certainly serves no longer; `docs/CONFIGURATION.md` has the argument.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use model::id::DaemonId;
use model::id::Incarnation;
use model::id::RowVersion;

use crate::accept::Timeouts;
use crate::accept::message::Contact;
use crate::accept::row::RowCheck;

/// A daemon as the table and the host list show it, read after the document was staged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The daemon.
    pub daemon: DaemonId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// The key of its heartbeat row.
    pub key: String,
    /// The version of that row.
    pub row: RowVersion,
    /// How long ago the reader first saw this version.
    pub unchanged_for: Duration,
    /// Whether the platform's list still has its host.
    pub listed: bool,
}

/// Whether a document can be committed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// It can, if these heartbeat rows are still as they were.
    Commit {
        /// The daemons that were passed over.
        passed_over: BTreeMap<DaemonId, RowCheck>,
    },
    /// It cannot yet: these daemons may be serving and have not staged it.
    Blocked {
        /// The daemons.
        daemons: BTreeSet<DaemonId>,
    },
}

/// What is known when a verdict is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// All daemons with a heartbeat row.
    pub members: &'a [Member],
    /// The lives that have staged the document.
    pub staged: &'a BTreeMap<DaemonId, Incarnation>,
    /// What the daemons that answered themselves had contacts of others once they had staged the
    /// document, by who contacts it.
    pub contacts: &'a BTreeMap<DaemonId, Vec<Contact>>,
    /// The daemons that the operator vouches to be dead.
    pub without: &'a BTreeSet<DaemonId>,
}

/// Decides whether a document can be committed.
///
/// One silent daemon can be passed over: alone it has lost its permission to serve once its
/// heartbeat has elapsed still for longer than the isolation bound and all others have answered
/// themselves and have not contacts it. Two silent ones may keep each other serving, so they block
/// until the host list has dropped them or the operator vouches for them.
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
