//! Which hosts relay the calls to which executors.

use std::collections::BTreeMap;

use dispatch::hosts::HostInfo;
use dispatch::node::HostCapacity;
use dispatch::relay::assignment::Demand;
use dispatch::relay::assignment::affinity;
use dispatch::relay::assignment::are_relays_needed;
use dispatch::relay::assignment::calls_per_second;
use dispatch::relay::assignment::choose;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];

/// Hosts and the executors that need their calls.
#[derive(Clone, Debug)]
struct Scene {
    hosts: Vec<HostInfo>,
    demands: Vec<Demand>,
}

impl Arbitrary for Scene {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = usize::arbitrary(random) % 40;
        let hosts = (0..count).map(|number| HostInfo {
            host: format!("host-{number}").into(),
            relay_address: format!("host-{number}").into(),
            data_centre: (*random.choose(&DATA_CENTRES).expect("a name")).into(),
            capacity: HostCapacity {
                cores: f64::from(u8::arbitrary(random) % 40 + 1) / 10.0,
                link_mbps: f64::from(u8::arbitrary(random)) * 2.0 + 1.0,
            },
        });
        let hosts = hosts.collect();
        let mut demands = Vec::new();
        for name in DATA_CENTRES {
            if bool::arbitrary(random) {
                demands.push(Demand {
                    data_centre: name.into(),
                    executors: usize::from(u16::arbitrary(random) % 3_000) + 1,
                });
            }
        }
        Self { hosts, demands }
    }
}

fn strength(host: &HostInfo) -> f64 {
    calls_per_second(host.capacity)
}

/// Calls a second to an executor, as the least capacity for which it needs no relays shows.
fn calls_needed(executors: usize) -> f64 {
    let (mut low, mut high) = (0.0, 1_000.0);
    for _ in 0..80 {
        let cores = (low + high) / 2.0;
        let capacity = HostCapacity {
            cores,
            link_mbps: f64::MAX,
        };
        if are_relays_needed(executors, capacity) {
            low = cores;
        } else {
            high = cores;
        }
    }
    calls_per_second(HostCapacity {
        cores: high,
        link_mbps: f64::MAX,
    })
}

/// Returns the relay of an executor among hosts of its data centre.
fn relay_of<'h>(executor: &str, hosts: &'h [HostInfo]) -> &'h str {
    let suits = |host: &HostInfo| affinity(executor, &host.relay_address, strength(host));
    let best = hosts
        .iter()
        .max_by(|left, right| suits(left).total_cmp(&suits(right)));
    &best.expect("a relay").relay_address
}

fn chooses_as_many_strong_ones_as_needed(scene: Scene) -> bool {
    let chosen = choose(&scene.demands, &scene.hosts);
    let in_demand = chosen.iter().all(|host| {
        let demands = &scene.demands;
        demands
            .iter()
            .any(|demand| demand.data_centre == host.data_centre)
    });
    in_demand
        && scene.demands.iter().all(|demand| {
            let near = |host: &&HostInfo| host.data_centre == demand.data_centre;
            let used: Vec<&HostInfo> = chosen.iter().filter(near).collect();
            let unused: Vec<&HostInfo> = scene
                .hosts
                .iter()
                .filter(near)
                .filter(|host| !used.contains(host))
                .collect();
            let needed = calls_needed(demand.executors);
            let total: f64 = used.iter().map(|host| strength(host)).sum();
            let weakest = used
                .iter()
                .map(|host| strength(host))
                .fold(f64::MAX, f64::min);
            let distinct = used
                .iter()
                .map(|host| &host.relay_address)
                .collect::<std::collections::BTreeSet<_>>()
                .len()
                == used.len();
            let enough = total >= needed * (1.0 - 1e-9) || unused.is_empty();
            let no_more = used.is_empty() || total - weakest < needed;
            let strongest = unused.iter().all(|host| strength(host) <= weakest);
            let at_least_one = !used.is_empty() || unused.is_empty();
            distinct && enough && no_more && strongest && at_least_one
        })
}

#[test]
fn as_many_of_the_strongest_hosts_relay_as_each_data_centre_needs_and_no_more() {
    QuickCheck::new().quickcheck(chooses_as_many_strong_ones_as_needed as fn(Scene) -> bool);
}

fn is_independent_of_the_order(scene: Scene) -> bool {
    let mut reversed = scene.clone();
    reversed.hosts.reverse();
    choose(&scene.demands, &scene.hosts) == choose(&reversed.demands, &reversed.hosts)
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_the_hosts() {
    QuickCheck::new().quickcheck(is_independent_of_the_order as fn(Scene) -> bool);
}

fn moves_only_executors_of_a_lost_relay(scene: Scene, lost: usize) -> bool {
    if scene.hosts.len() < 2 {
        return true;
    }
    let lost = lost % scene.hosts.len();
    let mut left = scene.hosts.clone();
    let lost = left.remove(lost).relay_address;
    (0..200).all(|number| {
        let executor = format!("executor-{number}");
        let before = relay_of(&executor, &scene.hosts);
        before == &*lost || before == relay_of(&executor, &left)
    })
}

#[test]
fn the_loss_of_a_relay_moves_only_its_executors() {
    QuickCheck::new().quickcheck(moves_only_executors_of_a_lost_relay as fn(Scene, usize) -> bool);
}

#[test]
fn shares_of_executors_follow_the_capacities_of_relays() {
    const EXECUTORS: u32 = 6_000;
    let hosts: Vec<HostInfo> = (0..6)
        .map(|number| HostInfo {
            host: format!("host-{number}").into(),
            relay_address: format!("host-{number}").into(),
            data_centre: "north".into(),
            capacity: HostCapacity {
                cores: f64::from(number + 1) / 2.0,
                link_mbps: 100_000.0,
            },
        })
        .collect();
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let names: Vec<String> = (0..EXECUTORS).map(|number| format!("e-{number}")).collect();
    for name in &names {
        *counts.entry(relay_of(name, &hosts)).or_default() += 1;
    }
    let total: f64 = hosts.iter().map(strength).sum();
    for host in &hosts {
        let expected = f64::from(EXECUTORS) * strength(host) / total;
        let count = f64::from(counts[&*host.relay_address]);
        assert!(
            (count / expected - 1.0).abs() < 0.25,
            "{}: {count} executors, {expected} expected",
            host.relay_address
        );
    }
}

#[test]
fn an_owner_of_sufficient_capacity_needs_no_relays() {
    let strong = HostCapacity {
        cores: 1.0,
        link_mbps: 1_000.0,
    };
    assert!(!are_relays_needed(
        0,
        HostCapacity {
            cores: 0.000_1,
            ..strong
        }
    ));
    assert!(!are_relays_needed(60, strong));
    assert!(are_relays_needed(
        60,
        HostCapacity {
            cores: 0.01,
            ..strong
        }
    ));
    assert!(are_relays_needed(
        60,
        HostCapacity {
            link_mbps: 0.5,
            ..strong
        }
    ));
    assert!(choose(&[], &[]).is_empty());
}
