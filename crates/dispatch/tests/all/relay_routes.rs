//! Which relay carries the calls to an executor while connections to relays are open.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::dependencies::Target;
use dispatch::hosts::HostInfo;
use dispatch::relay::link::RelayLink;
use dispatch::relay::pool::RelayPool;
use futures::future::join_all;
use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::scheduler::Scheduler;
use job::scheduler::Timing;
use model::Mono;

use crate::store::StoreFault;
use crate::world::CAPACITY;
use crate::world::World;
use crate::world::plan;

const SECOND: Duration = Duration::from_secs(1);
/// Hosts with their data centres.
const HOSTS: [(&str, &str); 5] = [
    ("r1", "north"),
    ("r2", "north"),
    ("r3", "north"),
    ("r4", "south"),
    ("r5", "south"),
];
/// Number of executors in each data centre.
const EXECUTORS: usize = 60;

/// Returns the keys and data centres of executors in the north, the south and the west.
fn executors() -> Vec<(ExecutorKey, Arc<str>, Arc<str>)> {
    let timing = Timing {
        lease: 5 * SECOND,
        max_lease: 10 * SECOND,
        stop_timeout: SECOND,
        warmup: None,
        remote_slowdown: 1.0,
    };
    let mut scheduler = Scheduler::new(Arc::new(plan(1, false)), timing);
    let listings = ["north", "south", "west"]
        .into_iter()
        .flat_map(|data_centre| {
            (0..EXECUTORS).map(move |number| {
                let listing = Listing {
                    id: format!("{data_centre}-{number}").into(),
                    service: "service".into(),
                    data_centre: data_centre.into(),
                    ..Listing::default()
                };
                (listing, 0)
            })
        });
    scheduler.update_executors(listings.collect(), Mono::ZERO);
    let all = scheduler.fleet.iter().map(|(key, executor)| {
        let listing = &executor.listing;
        (key, listing.id.clone(), listing.data_centre.clone())
    });
    all.collect()
}

fn info((address, data_centre): (&str, &str)) -> HostInfo {
    HostInfo {
        host: address.into(),
        relay_address: address.into(),
        data_centre: data_centre.into(),
        capacity: CAPACITY,
    }
}

/// Returns the relays of the executors by the executors' names.
fn routes(
    pool: &RelayPool,
    executors: &[(ExecutorKey, Arc<str>, Arc<str>)],
    links: &BTreeMap<Arc<str>, Rc<RelayLink>>,
    now: Mono,
) -> BTreeMap<Arc<str>, Arc<str>> {
    let mut routes = BTreeMap::new();
    for (key, id, data_centre) in executors {
        let target = Target {
            address: "".into(),
            id: id.clone(),
            incarnation: None,
            epoch: 1,
        };
        if let Some(route) = pool.route(*key, &target, data_centre, now) {
            let (address, _) = links
                .iter()
                .find(|(_, link)| Rc::ptr_eq(link, &route))
                .expect("a link");
            routes.insert(id.clone(), address.clone());
        }
    }
    routes
}

#[tokio::test(start_paused = true)]
async fn executors_are_called_by_relays_of_their_data_centres_and_move_only_if_theirs_is_lost() {
    let world = World::new(0);
    for (host, _) in HOSTS {
        world.start(host);
        world.host(host).store_fault.set(StoreFault::Refuses);
    }
    world.advance(SECOND).await;
    let node = world.host("r1").node.clone();
    let pool = RelayPool::default();
    let all: Vec<HostInfo> = HOSTS.into_iter().map(info).collect();
    let executors = executors();
    let now = node.now();
    let opened = pool.use_relays(all.clone(), now);
    let links: BTreeMap<Arc<str>, Rc<RelayLink>> = opened
        .iter()
        .map(|(info, link)| (info.relay_address.clone(), link.clone()))
        .collect();
    assert_eq!(links.len(), HOSTS.len());
    assert!(
        routes(&pool, &executors, &links, now).is_empty(),
        "a connection that is not open carries nothing"
    );
    let runs = opened
        .iter()
        .map(|(info, link)| link.run(&node, info.relay_address.clone(), 7));
    let check = async {
        tokio::time::sleep(SECOND).await;
        assert!(pool.use_relays(all.clone(), node.now()).is_empty());
        let before = routes(&pool, &executors, &links, node.now());
        assert_eq!(before.len(), 2 * EXECUTORS, "there is no relay in the west");
        for (executor, relay) in &before {
            let (_, data_centre) = HOSTS
                .into_iter()
                .find(|(host, _)| *host == &**relay)
                .expect("a host");
            assert!(executor.starts_with(data_centre), "{executor} by {relay}");
        }
        for (host, _) in HOSTS {
            let count = before.values().filter(|relay| ***relay == *host).count();
            assert!(count > 5, "{host} has {count} executors");
        }
        links["r2"].close();
        tokio::time::sleep(SECOND / 10).await;
        pool.use_relays(all.clone(), node.now());
        let after = routes(&pool, &executors, &links, node.now());
        assert_eq!(after.len(), before.len());
        for (executor, relay) in &after {
            assert_ne!(&**relay, "r2");
            let moved = before[executor] != *relay;
            assert_eq!(moved, &*before[executor] == "r2", "{executor}");
        }
        // The calls to an executor whose relay does not reach it go directly, and by the relay again later.
        let one = &executors[..1];
        assert!(pool.bypass(one[0].0, node.now()));
        assert!(routes(&pool, one, &links, node.now()).is_empty());
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(routes(&pool, one, &links, node.now()).len(), 1);
    };
    world
        .run_on("r1", async {
            tokio::select! {
                _ = join_all(runs) => panic!("all connections ended"),
                () = check => {}
            }
        })
        .await;
}
