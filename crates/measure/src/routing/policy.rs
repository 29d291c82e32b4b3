//! The ways of choosing an executor that are compared.

use std::sync::Arc;
use std::time::Duration;

use conf::doc::Document;
use conf::doc::Upstream;
use model::Mono;
use model::id::DocVersion;
use model::place::Place;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostState;
use route::Router;
use route::RouterConfig;
use route::config::Limits;
use route::update::ActiveDocument;
use route::update::Member;
use route::update::RouteUpdate;

use super::SEED;
use super::scenario::Scenario;

/// How a daemon chooses.
#[derive(Clone, Copy, Debug)]
pub(super) enum Policy {
    /// The product's router.
    Router(RouterOptions),
    /// Each daemon takes the executors in turn; executors queue.
    RoundRobin,
    /// At random; executors queue.
    Random,
    /// The one with the fewest requests of this daemon; executors queue.
    LeastLoaded,
    /// The better of two at random by this daemon's own requests; a full executor refuses, and the
    /// request tries again at most twice.
    TwoChoices,
}

/// How the router is used.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouterOptions {
    /// Whether slots are lent.
    pub lend: bool,
    /// Whether a request that finds no slot is passed to a peer, once.
    pub forward: bool,
    /// Whether slow requests are hedged.
    pub hedge: bool,
    /// The limits of the router.
    pub limits: Limits,
}

impl RouterOptions {
    /// As the product does it.
    pub(super) fn product() -> Self {
        Self {
            lend: true,
            forward: true,
            hedge: true,
            limits: Limits::default(),
        }
    }
}

/// Returns the region of the daemon or executor with this number.
pub(super) fn place(at: usize, regions: usize) -> Place {
    Place::new(format!("region-{}", at % regions), format!("dc-{}", at % 3))
}

/// Returns the daemons `0..count` without those that are `lost`.
pub(super) fn members(scenario: &Scenario, lost: Option<usize>) -> Vec<Member> {
    (0..scenario.daemons)
        .filter(|at| Some(*at) != lost)
        .map(|at| Member {
            id: format!("entry-{at}").into(),
            half: "rsh".into(),
            place: place(at, scenario.regions),
            caller_address: ([127, 0, 0, 1], 9).into(),
        })
        .collect()
}

fn executors(scenario: &Scenario) -> Vec<ExecutorEntry> {
    (0..scenario.executors)
        .map(|at| ExecutorEntry {
            id: format!("plan-{at}").into(),
            upstream: "plan".into(),
            address: ([127, 0, 0, 1], 9).into(),
            place: place(at, scenario.regions),
            state: HostState::Live,
        })
        .collect()
}

/// Makes the router of a daemon with its tables filled and its slots settled at time 0.
pub(super) fn router(scenario: &Scenario, at: usize, limits: Limits) -> Router {
    let mut document = Document::default();
    let upstream = Upstream {
        half: "rsh".into(),
        routes: vec!["/plan".to_owned()],
        slots: scenario.slots,
        connections: 64,
        deadline_ms: scenario.deadline_ms,
        weight: 1,
    };
    document.upstreams.insert("plan".into(), upstream);
    let place = place(at, scenario.regions);
    let settled = Limits {
        settle_delay: Duration::ZERO,
        ..limits
    };
    let name = format!("entry-{at}").into();
    let cfg = RouterConfig::new(name, "rsh".into(), place).limits(settled);
    let mut router = Router::new(cfg, SEED + at as u64);
    let update = RouteUpdate {
        document: Some(ActiveDocument {
            version: DocVersion(1),
            document: Arc::new(document),
        }),
        executors: Some(executors(scenario)),
        members: Some(members(scenario, None)),
        released: Vec::new(),
    };
    router.update(update, Mono::ZERO);
    router
}
