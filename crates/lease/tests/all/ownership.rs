use std::time::Duration;

use lease::claim::Claimer;
use lease::claim::Decision;
use lease::claim::PriorOwners;
use lease::claim::ShardView;
use lease::liveness::LivenessMonitor;
use lease::record::Addresses;
use lease::record::MemberRow;
use lease::record::Owner;
use lease::record::ShardRow;
use model::Mono;
use model::Set;
use model::id::DocVersion;
use model::id::Epoch;
use model::id::Incarnation;
use model::id::RowVersion;
use model::place::Place;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// A daemon with its region and data centre.
type DaemonPlace = (&'static str, (&'static str, &'static str));

const SEED: u64 = 20_261_203;

fn member(daemon: &str, place: (&str, &str), heartbeat_count: u64, draining: bool) -> MemberRow {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRow {
        daemon: daemon.into(),
        incarnation: Incarnation(1),
        heartbeat_count,
        half: "rsh".into(),
        place: Place::new(place.0, place.1),
        addresses: Addresses {
            callers: address,
            peers: address,
        },
        draining,
        ballot: RowVersion(0),
        in_force: DocVersion(0),
    }
}

fn owner(daemon: &str) -> Owner {
    Owner {
        daemon: daemon.into(),
        incarnation: Incarnation(1),
    }
}

fn shard(name: &str, place: (&str, &str), owner_name: Option<&str>) -> ShardView {
    let row = owner_name.map(|daemon| ShardRow {
        owner: Some(owner(daemon)),
        epoch: Epoch(1),
        settled: false,
    });
    ShardView {
        shard: name.into(),
        place: Place::new(place.0, place.1),
        version: RowVersion(u64::from(row.is_some())),
        row,
    }
}

#[test]
fn a_heartbeat_times_out_over_successful_reads_only() {
    // The times of the reads in seconds, and whether an unchanged heartbeat has timed out.
    let cases: [(&[u64], bool); 5] = [
        (&[0, 2, 4], false),
        (&[0, 2, 4, 6], true),
        (&[0, 60], false),
        (&[0, 2, 62, 64], false),
        (&[0, 2, 62, 64, 66], true),
    ];
    for (reads, expected) in cases {
        let mut liveness = LivenessMonitor::default();
        for at in reads {
            let at = Mono(at * 1000);
            liveness.observe([member("d0", ("limburg", "genk"), 7, false)], at, at);
        }
        assert_eq!(liveness.has_expired(&owner("d0")), expected, "{reads:?}");
        assert_eq!(liveness.live().count(), usize::from(!expected), "{reads:?}");
    }
}

#[test]
fn a_slow_read_counts_from_its_answer_to_the_next_request() {
    let mut liveness = LivenessMonitor::default();
    for sent in [0, 4, 8, 12] {
        let row = member("d0", ("limburg", "genk"), 7, false);
        liveness.observe([row], Mono(sent * 1000), Mono(sent * 1000 + 3000));
    }
    assert_eq!(liveness.stalled_for(&"d0".into()), Duration::from_secs(3));
}

#[test]
fn an_earlier_incarnation_of_a_daemon_has_expired() {
    let mut liveness = LivenessMonitor::default();
    let mut row = member("d0", ("limburg", "genk"), 0, false);
    row.incarnation = Incarnation(2);
    liveness.observe([row], Mono(0), Mono(0));
    assert!(liveness.has_expired(&owner("d0")));
}

fn claimed_shards(
    claimer: &mut Claimer,
    liveness: &LivenessMonitor,
    shards: &[ShardView],
    now: Mono,
) -> Vec<String> {
    let decisions = claimer.decide(liveness, shards, &Set::default(), now);
    let claims = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Claim(claim) => Some(claim.ownership.shard.to_string()),
        _ => None,
    });
    claims.collect()
}

#[test]
fn the_owner_is_in_the_region_but_in_another_data_centre() {
    let near = ("vlaanderen", "limburg");
    let cases: [(&[DaemonPlace], &str); 3] = [
        (&[("a", near), ("b", ("vlaanderen", "antwerpen"))], "b"),
        (&[("a", near), ("c", ("wallonie", "namur"))], "a"),
        (&[("c", ("wallonie", "namur"))], "c"),
    ];
    for (daemons, expected) in cases {
        let mut liveness = LivenessMonitor::default();
        let rows = daemons
            .iter()
            .map(|(name, place)| member(name, *place, 0, false));
        liveness.observe(rows, Mono(0), Mono(0));
        for (name, _) in daemons {
            let mut claimer = Claimer::new(owner(name));
            let got = claimed_shards(
                &mut claimer,
                &liveness,
                &[shard("rack", near, None)],
                Mono(0),
            );
            assert_eq!(got.len(), usize::from(*name == expected), "{daemons:?}");
        }
    }
}

#[test]
fn the_next_daemon_claims_a_shard_that_the_first_does_not() {
    let place = ("vlaanderen", "limburg");
    let mut liveness = LivenessMonitor::default();
    let names = ["a", "b"];
    liveness.observe(
        names.map(|name| member(name, place, 0, false)),
        Mono(0),
        Mono(0),
    );
    let shards = [shard("rack", place, None)];
    for name in names {
        let mut claimer = Claimer::new(owner(name));
        claimed_shards(&mut claimer, &liveness, &shards, Mono(0));
        let later = claimed_shards(&mut claimer, &liveness, &shards, Mono(5000));
        assert_eq!(later, ["rack"], "{name}");
    }
}

#[test]
fn a_shard_of_a_failed_daemon_is_claimed_under_the_next_epoch() {
    let place = ("vlaanderen", "limburg");
    let mut liveness = LivenessMonitor::default();
    for second in 0..4 {
        let at = Mono(second * 2000);
        let dead = member("a", place, 7, false);
        liveness.observe([dead, member("b", place, second, false)], at, at);
    }
    let shards = [shard("rack", place, Some("a"))];
    let decisions =
        Claimer::new(owner("b")).decide(&liveness, &shards, &Set::default(), Mono(6000));
    let [Decision::Claim(claim)] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(claim.ownership.epoch, Epoch(2));
    assert_eq!(claim.ownership.prior_owners, PriorOwners::MayBeActive);
    assert_eq!(claim.txn.checks[0].version, RowVersion(1));
}

#[test]
fn a_claim_whose_answer_was_lost_is_resumed_once_its_row_is_read() {
    let place = ("vlaanderen", "limburg");
    let mut liveness = LivenessMonitor::default();
    liveness.observe([member("a", place, 0, false)], Mono(0), Mono(0));
    let shards = [shard("rack", place, Some("a"))];
    let decide =
        |running: &Set<_>| Claimer::new(owner("a")).decide(&liveness, &shards, running, Mono(0));
    let decisions = decide(&Set::default());
    let [Decision::Resume(ownership)] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (ownership.epoch, ownership.version),
        (Epoch(1), RowVersion(1))
    );
    assert_eq!(ownership.prior_owners, PriorOwners::MayBeActive);
    assert_eq!(decide(&std::iter::once("rack".into()).collect()), []);
}

#[test]
fn one_shard_per_minute_moves_to_a_less_loaded_daemon() {
    let place = ("vlaanderen", "limburg");
    let mut liveness = LivenessMonitor::default();
    let rows = ["a", "b"].map(|name| member(name, place, 0, false));
    liveness.observe(rows, Mono(0), Mono(0));
    let shards: Vec<ShardView> = (0..6)
        .map(|number| shard(&format!("r{number}"), place, Some("a")))
        .collect();
    let running = shards.iter().map(|view| view.shard.clone()).collect();
    let mut claimer = Claimer::new(owner("a"));
    for (second, expected) in [(0, 1), (59, 0), (60, 1)] {
        let released = claimer.decide(&liveness, &shards, &running, Mono(second * 1000));
        assert_eq!(released.len(), expected, "after {second} s: {released:?}");
    }
}

#[test]
fn a_draining_daemon_releases_its_shards() {
    let place = ("vlaanderen", "limburg");
    let mut liveness = LivenessMonitor::default();
    let rows = [member("a", place, 0, true), member("b", place, 0, false)];
    liveness.observe(rows, Mono(0), Mono(0));
    let shards = [shard("r0", place, Some("a")), shard("r1", place, Some("b"))];
    let running = shards.iter().map(|view| view.shard.clone()).collect();
    let released = Claimer::new(owner("a")).decide(&liveness, &shards, &running, Mono(0));
    assert_eq!(released, [Decision::ReleaseShard("r0".into())]);
}

#[test]
fn every_free_shard_is_claimed_by_exactly_one_daemon_and_evenly() {
    fn property(daemons: u8, shards: u8) -> bool {
        let (daemons, shards) = (usize::from(daemons % 9) + 1, usize::from(shards));
        let place = ("vlaanderen", "limburg");
        let names: Vec<String> = (0..daemons).map(|number| format!("d{number}")).collect();
        let mut liveness = LivenessMonitor::default();
        let rows = names.iter().map(|name| member(name, place, 0, false));
        liveness.observe(rows, Mono(0), Mono(0));
        let views: Vec<ShardView> = (0..shards)
            .map(|number| shard(&format!("r{number}"), place, None))
            .collect();
        let counts: Vec<usize> = names
            .iter()
            .map(|name| {
                claimed_shards(&mut Claimer::new(owner(name)), &liveness, &views, Mono(0)).len()
            })
            .collect();
        let even = shards.div_ceil(daemons);
        counts.iter().sum::<usize>() == shards && counts.iter().all(|count| *count <= even)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(property as fn(u8, u8) -> bool);
}
