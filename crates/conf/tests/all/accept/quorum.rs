//! Which daemons must have staged a document before it is committed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use conf::accept::Timeouts;
use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::WriteResult;
use conf::accept::message::Ack;
use conf::accept::message::Contact;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Decision;
use conf::accept::quorum::Evidence;
use conf::accept::quorum::Member;
use conf::accept::quorum::decide;
use conf::accept::row::Write;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;

use super::fixture::follower;
use super::fixture::proposal;
use super::fixture::view;

/// A daemon that does not answer.
#[derive(Clone, Copy)]
struct Silent {
    /// Seconds since its last heartbeat.
    unchanged_s: u64,
    /// Whether the list of hosts contains it.
    listed: bool,
}

/// A listed daemon that has been silent for so long that it cannot serve any more.
const EXPIRED: Silent = Silent {
    unchanged_s: 12,
    listed: true,
};

/// What is known of four daemons, of which `d1` and `d4` have staged the document.
///
/// In the case of an indirect acknowledgement, only the digest of `d4` was received, and not from
/// itself.
#[derive(Default)]
struct Case {
    name: &'static str,
    /// The state of `d2` if it is silent.
    second: Option<Silent>,
    /// The state of `d3` if it is silent.
    third: Option<Silent>,
    /// The daemons declared dead.
    without: &'static str,
    /// The age of the last contact of `d2` with `d1`, in seconds.
    contact_with_second_s: Option<u64>,
    /// The daemons that block the commit.
    blocked: &'static str,
}

#[test]
fn silent_daemons_are_passed_over_only_when_they_cannot_serve() {
    let member = |name: &str, unchanged_s: u64, listed: bool| Member {
        daemon: name.into(),
        incarnation: Incarnation(2),
        key: format!("member/{name}"),
        row: RowVersion(7),
        unchanged_for: Duration::from_secs(unchanged_s),
        listed,
    };
    let contact = |age_s: u64| Contact {
        digest: follower("d2").digest(),
        age: Duration::from_secs(age_s),
    };
    let cases = [
        Case {
            name: "both staged",
            ..Case::default()
        },
        Case {
            name: "one expired",
            second: Some(EXPIRED),
            ..Case::default()
        },
        Case {
            name: "one still within the timeout",
            second: Some(Silent {
                unchanged_s: 11,
                ..EXPIRED
            }),
            blocked: "d2",
            ..Case::default()
        },
        Case {
            name: "one expired, but contacted a peer",
            second: Some(EXPIRED),
            contact_with_second_s: Some(11),
            blocked: "d2",
            ..Case::default()
        },
        Case {
            name: "one expired, contacted a peer long ago",
            second: Some(EXPIRED),
            contact_with_second_s: Some(EXPIRED.unchanged_s),
            ..Case::default()
        },
        Case {
            name: "two expired",
            second: Some(EXPIRED),
            third: Some(EXPIRED),
            blocked: "d2 d3",
            ..Case::default()
        },
        Case {
            name: "two expired, one not listed",
            second: Some(Silent {
                listed: false,
                ..EXPIRED
            }),
            third: Some(EXPIRED),
            ..Case::default()
        },
        Case {
            name: "two expired, one declared dead",
            second: Some(EXPIRED),
            third: Some(EXPIRED),
            without: "d3",
            ..Case::default()
        },
        Case {
            name: "declared dead, but alive",
            second: Some(Silent {
                unchanged_s: 1,
                ..EXPIRED
            }),
            without: "d2",
            blocked: "d2",
            ..Case::default()
        },
        Case {
            name: "one expired, d4 acknowledged indirectly",
            second: Some(EXPIRED),
            blocked: "d2",
            ..Case::default()
        },
    ];
    for case in cases {
        let mut members = vec![member("d1", 0, true), member("d4", 0, true)];
        let mut staged =
            BTreeMap::from([("d1".into(), Incarnation(2)), ("d4".into(), Incarnation(2))]);
        for (name, silent) in [("d2", case.second), ("d3", case.third)] {
            let (unchanged_s, listed) =
                silent.map_or((0, true), |silent| (silent.unchanged_s, silent.listed));
            members.push(member(name, unchanged_s, listed));
            // Of a silent daemon only an earlier incarnation has staged it, which does not count.
            let incarnation = if silent.is_some() { 1 } else { 2 };
            staged.insert(name.into(), Incarnation(incarnation));
        }
        let mut contacts = BTreeMap::from([
            (
                "d1".into(),
                case.contact_with_second_s
                    .map(contact)
                    .into_iter()
                    .collect(),
            ),
            ("d2".into(), Vec::new()),
            ("d3".into(), Vec::new()),
            ("d4".into(), Vec::new()),
        ]);
        if case.name.contains("indirectly") {
            contacts.remove("d4");
        }
        let names = |text: &str| -> BTreeSet<DaemonId> {
            text.split_whitespace().map(DaemonId::from).collect()
        };
        let without = names(case.without);
        let evidence = Evidence {
            members: &members,
            staged: &staged,
            contacts: &contacts,
            without: &without,
        };
        let found = match decide(evidence, &Timeouts::default()) {
            Decision::Blocked { daemons } => daemons,
            Decision::Commit { .. } => BTreeSet::new(),
        };
        assert_eq!(found, names(case.blocked), "{}", case.name);
    }
}

#[test]
fn a_daemon_that_reaches_only_the_table_does_not_block_a_commit() {
    let proposal = proposal("op-2", None);
    let (mut proposer, _) = Proposer::start("d1".into(), proposal, Timeouts::default(), Mono::ZERO);
    let digest = |name: &str, ballot: u64| Digest {
        daemon: name.into(),
        incarnation: Incarnation(1),
        ballot: RowVersion(ballot),
        version: DocVersion(1),
    };
    let member = |name: &str| Member {
        daemon: name.into(),
        incarnation: Incarnation(1),
        key: format!("member/{name}"),
        row: RowVersion(7),
        unchanged_for: Duration::ZERO,
        listed: true,
    };
    let ack = Ack {
        digest: digest("d1", 3),
        contacts: Vec::new(),
    };
    let read = Event::Read {
        sent: Mono::ZERO,
        view: Some(view(1, false)),
    };
    let commits = |actions: &[Action]| {
        let commit = |action: &Action| matches!(action, Action::Write(Write::Commit { .. }));
        actions.iter().any(commit)
    };
    let steps = [
        (read, false),
        (Event::Validated(Vec::new()), false),
        (Event::Written(WriteResult::Done), false),
        (Event::Members(vec![member("d1"), member("d2")]), false),
        (Event::Acked(ack), false),
        (Event::Seen(digest("d2", 2)), false),
        (Event::Seen(digest("d2", 3)), true),
    ];
    for (event, expected) in steps {
        let case = format!("{event:?}");
        assert_eq!(
            commits(&proposer.handle(event, Mono(1))),
            expected,
            "{case}"
        );
    }
}
