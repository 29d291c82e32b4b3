//! What a daemon serves, by its contacts and by what it knows of the documents.

use conf::accept::follower;
use conf::accept::follower::ServingMode;
use conf::accept::message::Digest;
use model::Mono;
use model::id::DocVersion;
use model::id::RowVersion;

use super::fixture::SECOND;
use super::fixture::follower;
use super::fixture::polled;

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
