//! Routing tables and helpers for tests of the router.

use std::net::SocketAddr;
use std::sync::Arc;

use conf::doc::Document;
use conf::doc::Upstream;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::HalfId;
use model::id::UpstreamId;
use model::place::Place;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostState;
use route::Router;
use route::RouterConfig;
use route::config::Limits;
use route::decision::Decision;
use route::decision::Grant;
use route::decision::RouteRequest;
use route::decision::SendOutcome;
use route::update::ActiveDocument;
use route::update::Member;
use route::update::RouteUpdate;

pub const SEED: u64 = 20_261_203;

pub fn place() -> Place {
    Place::new("vlaanderen", "limburg")
}

pub fn member(name: &str, half: &str, caller_address: SocketAddr) -> Member {
    Member {
        id: DaemonId::from(name),
        half: HalfId::from(half),
        place: place(),
        caller_address,
    }
}

pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

pub fn members(names: &[&str]) -> Vec<Member> {
    let one = |name: &&str| member(name, "rsh", unused_address());
    names.iter().map(one).collect()
}

pub fn executor(name: &str, address: SocketAddr) -> ExecutorEntry {
    ExecutorEntry {
        id: name.into(),
        upstream: UpstreamId::from("plan"),
        address,
        place: place(),
        state: HostState::Live,
    }
}

pub fn executors(count: usize) -> Vec<ExecutorEntry> {
    let one = |at: usize| executor(&format!("plan-{at}"), unused_address());
    (0..count).map(one).collect()
}

/// Returns a document in which `half` owns the upstream `plan` with the route `/plan`.
pub fn document(version: u64, half: &str) -> ActiveDocument {
    let upstream = Upstream {
        half: HalfId::from(half),
        routes: vec!["/plan".to_owned()],
        slots: 8,
        connections: 64,
        deadline_ms: 10_000,
        weight: 1,
    };
    let mut document = Document::default();
    document.upstreams.insert("plan".into(), upstream);
    for (name, weight) in [("planner", 3), ("portal", 1)] {
        let caller = conf::doc::Caller {
            half: HalfId::from(half),
            weight,
        };
        document.callers.insert(name.into(), caller);
    }
    ActiveDocument {
        version: DocVersion(version),
        document: Arc::new(document),
    }
}

pub fn config(name: &str, half: &str, limits: Limits) -> RouterConfig {
    RouterConfig::new(DaemonId::from(name), HalfId::from(half), place()).limits(limits)
}

/// Returns limits without a delay after membership changes, for tests that are not about it.
pub fn without_settle_delay() -> Limits {
    Limits {
        settle_delay: std::time::Duration::ZERO,
        ..Limits::default()
    }
}

/// Returns a router of the daemon `name` with a document, `count` executors and members at time 0.
pub fn router(name: &str, count: usize, names: &[&str], limits: Limits) -> Router {
    let mut router = Router::new(config(name, "rsh", limits), SEED);
    let update = RouteUpdate {
        document: Some(document(1, "rsh")),
        executors: Some(executors(count)),
        members: Some(members(names)),
        released: Vec::new(),
    };
    router.update(update, Mono::ZERO);
    router
}

pub fn route_request() -> RouteRequest {
    RouteRequest {
        path: "/plan/visit".to_owned(),
        ..RouteRequest::default()
    }
}

/// Routes requests until one is not sent at once, and returns the grants.
pub fn take_all_slots(router: &mut Router, now: Mono) -> Vec<Grant> {
    let mut grants = Vec::new();
    loop {
        match router.route(&route_request(), now) {
            Decision::Send(grant) => grants.push(grant),
            Decision::Wait(ticket) => {
                router.cancel(ticket, now);
                return grants;
            }
            _ => return grants,
        }
    }
}

/// Runs requests that take `ms` milliseconds, so that the router estimates this service time, and
/// returns the time after the last one.
pub fn observe_service_time(router: &mut Router, ms: u64, times: usize) -> Mono {
    let mut now = Mono(1);
    for _ in 0..times {
        let Decision::Send(grant) = router.route(&route_request(), now) else {
            panic!("a slot is free");
        };
        now = Mono(now.0 + ms);
        router.finish(&grant, SendOutcome::Answered, now);
    }
    now
}
