//! The executor selection policies under comparison.

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

/// How a daemon chooses an executor.
#[derive(Clone, Copy, Debug)]
pub(super) enum Policy {
    /// The real router.
    Router(RouterOptions),
    /// Each daemon uses the executors in turn; full executors queue.
    RoundRobin,
    /// A random executor; full executors queue.
    Random,
    /// The executor with the fewest requests of this daemon in flight; full executors queue.
    LeastLoaded,
    /// Of two random executors, the one with fewer requests of this daemon in flight. A full
    /// executor refuses, and the request is retried at most twice.
    TwoChoices,
}

/// Which features of the router are enabled.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouterOptions {
    /// Whether daemons lend each other slots.
    pub lend: bool,
    /// Whether a request that finds no slot is forwarded to a peer, at most once.
    pub forward: bool,
    /// Whether slow requests are hedged.
    pub hedge: bool,
    /// Timeouts, queue sizes and shares with which every router runs.
    pub limits: Limits,
}

impl RouterOptions {
    /// Returns the options of the production configuration.
    pub(super) fn product() -> Self {
        Self {
            lend: true,
            forward: true,
            hedge: true,
            limits: Limits::default(),
        }
    }
}

/// Returns the place of the daemon or executor with this index.
pub(super) fn place(at: usize, regions: usize) -> Place {
    Place::new(format!("region-{}", at % regions), format!("dc-{}", at % 3))
}

/// Returns all daemons of the scenario except the `lost` one.
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

/// Creates the router of a daemon, with its tables filled and its slots usable at time 0.
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
