//! Single cases of the state machines that the model does not reach.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use conf::accept::Timeouts;
use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::change::Proposal;
use conf::accept::change::WriteResult;
use conf::accept::follower;
use conf::accept::follower::Follower;
use conf::accept::follower::ServingMode;
use conf::accept::message::Ack;
use conf::accept::message::Contact;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Decision;
use conf::accept::quorum::Evidence;
use conf::accept::quorum::Member;
use conf::accept::quorum::decide;
use conf::accept::reply::ThreeWay;
use conf::accept::reply::apply_reply;
use conf::accept::row::AcceptedChange;
use conf::accept::row::AcceptedDocument;
use conf::accept::row::StagedDocument;
use conf::accept::row::View;
use conf::accept::row::Write;
use conf::api::ApplyReply;
use conf::doc::Document;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;

const SECOND: u64 = 1000;

fn current(version: u64) -> AcceptedDocument {
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

fn view(version: u64, staged: bool) -> View {
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

fn polled(sent: u64, version: u64, staged: bool) -> follower::Event {
    follower::Event::Polled {
        sent: Mono(sent),
        view: view(version, staged),
    }
}

fn follower(name: &str) -> Follower {
    Follower::new(name.into(), Incarnation(1), Timeouts::default())
}

#[test]
fn serving_mode_depends_on_contact_and_on_doubt() {
    let mut fresh = follower("d1");
    assert_eq!(
        fresh.serving_mode(Mono::ZERO),
        ServingMode::Nothing,
        "before the first read"
    );
    fresh.handle(polled(0, 1, false), Mono::ZERO);
    let mut doubtful = fresh.clone();
    doubtful.handle(polled(0, 1, true), Mono::ZERO);
    let cases = [
        (&fresh, 10 * SECOND, ServingMode::InForce),
        (&fresh, 10 * SECOND + 1, ServingMode::Nothing),
        (&doubtful, 4 * SECOND, ServingMode::InForce),
        (&doubtful, 4 * SECOND + 1, ServingMode::Common),
        (&doubtful, 10 * SECOND + 1, ServingMode::Nothing),
    ];
    for (follower, now, expected) in cases {
        assert_eq!(follower.serving_mode(Mono(now)), expected, "at {now} ms");
    }
}

#[test]
fn only_the_store_or_a_serving_peer_lets_a_daemon_serve() {
    let mut peer = follower("d2");
    peer.handle(polled(0, 2, false), Mono::ZERO);
    let cases = [
        (
            "a new daemon, answered by a serving peer",
            false,
            1,
            ServingMode::Nothing,
        ),
        (
            "a daemon with a document, answered by a serving peer",
            true,
            1,
            ServingMode::InForce,
        ),
        (
            "a daemon with a document, answered by an expired peer",
            true,
            11 * SECOND,
            ServingMode::Nothing,
        ),
    ];
    for (case, joined, now, expected) in cases {
        let mut daemon = follower("d1");
        if joined {
            daemon.handle(polled(0, 1, false), Mono::ZERO);
        }
        let now = Mono(now);
        let delta = peer.delta(&daemon.digest(), now);
        daemon.handle(follower::Event::Answered { sent: now, delta }, now);
        assert_eq!(daemon.version(), DocVersion(2), "{case}");
        assert_eq!(daemon.serving_mode(now), expected, "{case}");
    }
}

#[test]
fn late_messages_neither_lower_the_version_nor_end_the_doubt() {
    let mut daemon = follower("d1");
    daemon.handle(polled(0, 2, true), Mono::ZERO);
    let now = Mono(5 * SECOND);
    let mut older = follower("d2");
    older.handle(polled(0, 1, true), Mono::ZERO);
    let stranger = Digest {
        ballot: RowVersion(0),
        version: DocVersion(0),
        ..older.digest()
    };
    let late = [
        follower::Event::Pushed {
            delta: older.delta(&stranger, Mono::ZERO),
        },
        follower::Event::Pushed {
            delta: daemon.delta(&stranger, now),
        },
        follower::Event::Committed {
            ballot: RowVersion(3),
        },
        follower::Event::Abandoned {
            ballot: RowVersion(3),
        },
        polled(0, 1, false),
    ];
    for event in late {
        let case = format!("{event:?}");
        assert_eq!(daemon.handle(event, now), [], "{case}");
        assert_eq!(daemon.version(), DocVersion(2), "{case}");
        assert_eq!(daemon.serving_mode(now), ServingMode::Common, "{case}");
    }
}

#[test]
fn a_peer_that_knows_the_change_was_abandoned_ends_the_doubt() {
    let mut daemon = follower("d1");
    daemon.handle(polled(0, 1, true), Mono::ZERO);
    let mut peer = daemon.clone();
    peer.handle(
        follower::Event::Abandoned {
            ballot: RowVersion(3),
        },
        Mono::ZERO,
    );
    let now = Mono(5 * SECOND);
    assert_eq!(daemon.serving_mode(now), ServingMode::Common);
    let delta = peer.delta(&daemon.digest(), now);
    daemon.handle(follower::Event::Answered { sent: now, delta }, now);
    assert_eq!(daemon.serving_mode(now), ServingMode::InForce);
}

#[test]
fn silent_daemons_are_passed_over_only_when_they_cannot_serve() {
    const EXPIRED: u64 = 12;
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
    // d1 and d4 have staged the document; in the indirect case only the digest of d4 was received,
    // and not from itself. Each case has: its name; seconds since the last heartbeat and presence
    // in the host list of d2 and of d3, if they are silent; the daemons declared dead; the age of
    // the last contact of d2 with d1, in seconds; the daemons that block the commit.
    let cases = [
        ("both staged", None, None, "", None, ""),
        ("one expired", Some((EXPIRED, true)), None, "", None, ""),
        (
            "one still within the timeout",
            Some((11, true)),
            None,
            "",
            None,
            "d2",
        ),
        (
            "one expired, but contacted a peer",
            Some((EXPIRED, true)),
            None,
            "",
            Some(11),
            "d2",
        ),
        (
            "one expired, contacted a peer long ago",
            Some((EXPIRED, true)),
            None,
            "",
            Some(EXPIRED),
            "",
        ),
        (
            "two expired",
            Some((EXPIRED, true)),
            Some((EXPIRED, true)),
            "",
            None,
            "d2 d3",
        ),
        (
            "two expired, one not listed",
            Some((EXPIRED, false)),
            Some((EXPIRED, true)),
            "",
            None,
            "",
        ),
        (
            "two expired, one declared dead",
            Some((EXPIRED, true)),
            Some((EXPIRED, true)),
            "d3",
            None,
            "",
        ),
        (
            "declared dead, but alive",
            Some((1, true)),
            None,
            "d2",
            None,
            "d2",
        ),
        (
            "one expired, d4 acknowledged indirectly",
            Some((EXPIRED, true)),
            None,
            "",
            None,
            "d2",
        ),
    ];
    for (case, second, third, without, contact_with_second, blocked) in cases {
        let mut members = vec![member("d1", 0, true), member("d4", 0, true)];
        let mut staged =
            BTreeMap::from([("d1".into(), Incarnation(2)), ("d4".into(), Incarnation(2))]);
        for (name, silent) in [("d2", second), ("d3", third)] {
            let (unchanged_s, listed) = silent.unwrap_or((0, true));
            members.push(member(name, unchanged_s, listed));
            // Of a silent daemon only an earlier incarnation has staged it, which does not count.
            let incarnation = if silent.is_some() { 1 } else { 2 };
            staged.insert(name.into(), Incarnation(incarnation));
        }
        let mut contacts = BTreeMap::from([
            (
                "d1".into(),
                contact_with_second.map(contact).into_iter().collect(),
            ),
            ("d2".into(), Vec::new()),
            ("d3".into(), Vec::new()),
            ("d4".into(), Vec::new()),
        ]);
        if case.contains("indirectly") {
            contacts.remove("d4");
        }
        let names = |text: &str| -> BTreeSet<DaemonId> {
            text.split_whitespace().map(DaemonId::from).collect()
        };
        let without = names(without);
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
        assert_eq!(found, names(blocked), "{case}");
    }
}

#[test]
fn a_daemon_that_reaches_only_the_table_does_not_block_a_commit() {
    let proposal = Proposal {
        op: "op-2".into(),
        text: Arc::from("{}"),
        by: "an".to_owned(),
        base: None,
        without: BTreeSet::new(),
    };
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

#[test]
fn a_repeated_request_finds_its_change_accepted() {
    let proposal = Proposal {
        op: "op-1".into(),
        text: Arc::from("{}"),
        by: "an".to_owned(),
        base: Some(DocVersion(1)),
        without: BTreeSet::new(),
    };
    let (mut proposer, actions) =
        Proposer::start("d1".into(), proposal, Timeouts::default(), Mono::ZERO);
    assert_eq!(actions, [Action::Read]);
    let read = Event::Read {
        sent: Mono::ZERO,
        view: Some(view(2, false)),
    };
    let ended = proposer.handle(read, Mono(1));
    assert!(
        matches!(&ended[..], [Action::End(Outcome::Accepted { version, .. })] if version.0 == 2),
        "{ended:?}"
    );
}

#[test]
fn each_outcome_gets_its_own_reply() {
    let document = |percent: u8, tail: u32| {
        let mut document = Document::default();
        document.sharing.batch_percent = percent;
        document.sharing.tail_weight = tail;
        document
    };
    let (base, ours, theirs) = (document(70, 1), document(60, 2), document(50, 1));
    let answer = |outcome: Outcome| {
        let versions = ThreeWay {
            base: &base,
            ours: &ours,
            theirs: &theirs,
        };
        apply_reply(outcome, versions).map_err(|problem| problem.outcome)
    };
    assert_eq!(
        answer(Outcome::NotRun("late")),
        Err(model::outcome::Outcome::NotRun)
    );
    assert_eq!(
        answer(Outcome::Unknown),
        Err(model::outcome::Outcome::Unknown)
    );
    let reply = answer(Outcome::Overtaken(Some(current(2))));
    let Ok(ApplyReply::Overtaken {
        version,
        by,
        theirs,
        conflicts,
    }) = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!((version, by.as_str()), (DocVersion(2), "an"));
    assert_eq!(theirs[0].summary, "sharing batch_percent: 70 becomes 50");
    let pointers: Vec<&str> = conflicts.iter().map(|c| c.pointer.as_str()).collect();
    assert_eq!(pointers, ["/sharing/batch_percent"]);
}

#[test]
fn an_overtaken_reply_describes_an_author_without_a_name() {
    let nameless = AcceptedDocument {
        by: " ".into(),
        ..current(2)
    };
    for current in [Some(nameless), None] {
        let document = Document::default();
        let versions = ThreeWay {
            base: &document,
            ours: &document,
            theirs: &document,
        };
        match apply_reply(Outcome::Overtaken(current), versions) {
            Ok(ApplyReply::Overtaken { by, .. }) => assert_eq!(by, "somebody who gave no name"),
            other => panic!("{other:?}"),
        }
    }
}
