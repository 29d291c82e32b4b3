//! A whole system in one process, on loopback: the stand-ins over the real wire, and daemons.
//!
//! It is what the quick start, the end-to-end tests and the measurements of control run on.
//! [`Platform`] is the outside; [`System`] adds daemons; [`callers`] sends requests and counts what
//! became of them; [`client`] is the operators' API.

pub mod callers;
pub mod client;
pub mod plan;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Settings;
use fake::executor::FakeExecutor;
use fake::executor::RunLedger;
use fake::hosts::FakeHosts;
use fake::object::FakeObjects;
use fake::server::Server;
use fake::table::FakeTable;
use fake::worker::AgentConfig;
use fake::worker::FakeWorker;
use fake::worker::Ledger;
use fake::worker::ProgramSelector;
use model::Clock;
use model::Size;
use model::id::DaemonId;
use model::place::Place;
use node::context::DaemonContext;
use node::daemon::Daemon;
use node::daemon::StartError;
use node::daemon::connect;
use node::supervisor::PartResult;
use node::supervisor::failure;
use plat::hosts::DaemonEntry;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostList;
use plat::hosts::HostState;
use plat::hosts::WorkerEntry;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// A free port of the loopback interface.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The token of all operators.
pub const TOKEN: &str = "only-for-this-machine";

/// A worker to be made.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Its name.
    pub id: String,
    /// Where it stands.
    pub place: Place,
    /// Its rack.
    pub rack: String,
    /// What it has.
    pub capacity: Size,
}

/// An executor to be made.
#[derive(Clone, Debug)]
pub struct ExecutorPlan {
    /// Its name.
    pub id: String,
    /// Its upstream.
    pub upstream: String,
    /// Where it stands.
    pub place: Place,
    /// How many requests it runs at a time.
    pub slots: usize,
}

/// A daemon to be made.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Its name.
    pub id: String,
    /// Its half.
    pub half: String,
    /// Where it stands.
    pub place: Place,
}

/// The outside: stand-ins, each on its own address.
pub struct Platform {
    /// The table.
    pub table: FakeTable,
    /// The object store.
    pub objects: FakeObjects,
    /// The host list.
    pub hosts: FakeHosts,
    /// What the workers did.
    pub ledger: Ledger,
    /// What the executors did.
    pub runs: RunLedger,
    /// The workers.
    pub workers: Vec<FakeWorker>,
    /// The executors.
    pub executors: Vec<FakeExecutor>,
    servers: Vec<Server>,
    addresses: [SocketAddr; 3],
}

impl WorkerPlan {
    /// Plans a worker.
    #[must_use]
    pub fn new(id: &str, place: Place, rack: &str, capacity: Size) -> Self {
        Self {
            id: id.to_owned(),
            place,
            rack: rack.to_owned(),
            capacity,
        }
    }
}

impl ExecutorPlan {
    /// Plans an executor with 8 slots.
    #[must_use]
    pub fn new(id: &str, upstream: &str, place: Place) -> Self {
        Self {
            id: id.to_owned(),
            upstream: upstream.to_owned(),
            place,
            slots: 8,
        }
    }
}

impl DaemonPlan {
    /// Plans a daemon.
    #[must_use]
    pub fn new(id: &str, half: &str, place: Place) -> Self {
        Self {
            id: id.to_owned(),
            half: half.to_owned(),
            place,
        }
    }
}

/// Three daemons in two regions, two of one half and one of the other.
#[must_use]
pub fn three_daemons(halves: [&str; 2]) -> Vec<DaemonPlan> {
    vec![
        DaemonPlan::new("limburg-1", halves[0], Place::new("vlaanderen", "limburg")),
        DaemonPlan::new(
            "antwerpen-1",
            halves[0],
            Place::new("vlaanderen", "antwerpen"),
        ),
        DaemonPlan::new("namur-1", halves[1], Place::new("wallonie", "namur")),
    ]
}

/// Workers of one size, so many in one rack of each data centre.
#[must_use]
pub fn racks(per_rack: usize, capacity: Size) -> Vec<WorkerPlan> {
    let racks = [
        ("vlaanderen", "limburg"),
        ("vlaanderen", "antwerpen"),
        ("wallonie", "namur"),
    ];
    let worker = |(region, data_centre): (&str, &str), number: usize| {
        let id = format!("{data_centre}-worker-{number}");
        let rack = format!("{data_centre}-rack-1");
        WorkerPlan::new(&id, Place::new(region, data_centre), &rack, capacity)
    };
    racks
        .into_iter()
        .flat_map(|rack| (1..=per_rack).map(move |number| worker(rack, number)))
        .collect()
}

impl Platform {
    /// Starts the stand-ins; `lag` is how far the host list lags behind.
    ///
    /// # Errors
    ///
    /// Returns the error of a listener.
    pub async fn start(
        workers: &[WorkerPlan],
        executors: &[ExecutorPlan],
        daemons: &[DaemonPlan],
        programs: ProgramSelector,
        lag: Duration,
    ) -> std::io::Result<Self> {
        let clock = Clock::start();
        let ledger = Ledger::new(clock);
        let runs = RunLedger::new();
        let table = FakeTable::new();
        let objects = FakeObjects::new();
        let mut list = HostList::default();
        let mut servers = Vec::new();
        let mut made_workers = Vec::new();
        for plan in workers {
            let cfg = AgentConfig {
                capacity: plan.capacity,
                lag: Duration::from_secs(2),
                programs: programs.clone(),
                interference: None,
            };
            let worker = FakeWorker::new(plan.id.as_str(), cfg, &ledger, &objects);
            let server = worker.serve(LOOPBACK).await?;
            list.workers.push(WorkerEntry {
                id: plan.id.as_str().into(),
                address: server.address(),
                place: plan.place.clone(),
                rack: plan.rack.as_str().into(),
                capacity: plan.capacity,
                state: HostState::Live,
            });
            servers.push(server);
            made_workers.push(worker);
        }
        let mut made_executors = Vec::new();
        for plan in executors {
            let executor = FakeExecutor::new(plan.id.as_str(), plan.slots, &runs);
            let server = executor.serve(LOOPBACK).await?;
            list.executors.push(ExecutorEntry {
                id: plan.id.as_str().into(),
                upstream: plan.upstream.as_str().into(),
                address: server.address(),
                place: plan.place.clone(),
                state: HostState::Live,
            });
            servers.push(server);
            made_executors.push(executor);
        }
        let daemon = |plan: &DaemonPlan| DaemonEntry {
            id: DaemonId::from(plan.id.as_str()),
            state: HostState::Live,
        };
        list.daemons = daemons.iter().map(daemon).collect();
        list.revision = 1;
        let hosts = FakeHosts::new(list, lag);
        let at = [
            table.serve(LOOPBACK).await?,
            objects.serve(LOOPBACK).await?,
            hosts.serve(LOOPBACK).await?,
        ];
        let addresses = [at[0].address(), at[1].address(), at[2].address()];
        servers.extend(at);
        Ok(Self {
            table,
            objects,
            hosts,
            ledger,
            runs,
            workers: made_workers,
            executors: made_executors,
            servers,
            addresses,
        })
    }

    /// Returns the settings of a daemon on this platform, with free ports.
    ///
    /// # Panics
    ///
    /// Panics if the settings that are made here are not as the daemon expects them.
    #[must_use]
    pub fn settings(&self, plan: &DaemonPlan) -> Settings {
        let [table, objects, hosts] = self.addresses;
        let settings = json!({
            "daemon": plan.id,
            "half": plan.half,
            "place": plan.place,
            "listen": { "callers": LOOPBACK, "operators": LOOPBACK, "peers": LOOPBACK },
            "platform": { "table": table, "objects": objects, "hosts": hosts },
            "operator_token": TOKEN,
            "drain_ms": 20_000,
        });
        serde_json::from_value(settings).expect("the settings made here are whole")
    }

    /// Returns how many stand-ins listen.
    #[must_use]
    pub const fn listening(&self) -> usize {
        self.servers.len()
    }
}

/// A daemon on a runtime of its own, so that it can be dropped with all that it has under way.
pub struct Hosted {
    /// Its name.
    pub id: String,
    /// What its parts share.
    pub cx: Arc<DaemonContext>,
    /// Where it takes requests.
    pub callers: SocketAddr,
    /// Where it takes operators.
    pub operators: SocketAddr,
    daemon: Daemon,
    runtime: Background,
}

/// A runtime that may be dropped from within another one.
struct Background(Option<Runtime>);

impl Background {
    fn spawn<F>(&self, future: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send + 'static> + Send + 'static,
    {
        let runtime = self
            .0
            .as_ref()
            .expect("the runtime is there until it is dropped");
        runtime.spawn(future)
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Hosted {
    async fn start(platform: &Platform, plan: &DaemonPlan, seed: u64) -> Result<Self, StartError> {
        let settings = platform.settings(plan);
        let broken = |error: std::io::Error| StartError::Platform(error.to_string());
        let mut builder = Builder::new_multi_thread();
        let runtime = builder
            .worker_threads(2)
            .thread_name(&plan.id)
            .enable_all()
            .build();
        let runtime = Background(Some(runtime.map_err(broken)?));
        let start = async move {
            let outside = connect(&settings)?;
            Daemon::start(settings, outside, seed, || 0).await
        };
        let started = runtime.spawn(start).await;
        let daemon = started.map_err(|error| StartError::Platform(error.to_string()))??;
        Ok(Self {
            id: plan.id.clone(),
            cx: daemon.cx.clone(),
            callers: daemon.callers,
            operators: daemon.operators,
            daemon,
            runtime,
        })
    }

    /// Stops the daemon as planned and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of a part that escalated instead.
    pub async fn stop(self) -> PartResult {
        self.daemon.drain();
        let result = self.runtime.spawn(self.daemon.wait()).await;
        result.unwrap_or_else(|error| Err(failure("daemon", &error.to_string())))
    }

    /// Drops the daemon as the failure of its host does.
    pub fn kill(self) {
        drop(self.runtime);
    }
}

/// Daemons on a platform.
pub struct System {
    /// The outside.
    pub platform: Arc<Platform>,
    /// The daemons that run, by the order they were started in.
    pub daemons: Vec<Hosted>,
}

impl System {
    /// Starts the daemons one after the other.
    ///
    /// # Errors
    ///
    /// Returns the error of a daemon that cannot start.
    pub async fn start(
        platform: Platform,
        plans: &[DaemonPlan],
        seed: u64,
    ) -> Result<Self, StartError> {
        let mut system = Self {
            platform: Arc::new(platform),
            daemons: Vec::new(),
        };
        for (index, plan) in plans.iter().enumerate() {
            system.add(plan, seed + index as u64).await?;
        }
        Ok(system)
    }

    /// Starts one more daemon.
    ///
    /// # Errors
    ///
    /// Returns the error of a daemon that cannot start.
    pub async fn add(&mut self, plan: &DaemonPlan, seed: u64) -> Result<(), StartError> {
        self.daemons
            .push(Hosted::start(&self.platform, plan, seed).await?);
        Ok(())
    }

    /// Takes a daemon out of the list, to stop or drop it.
    ///
    /// # Panics
    ///
    /// Panics if there is none of this name.
    pub fn take(&mut self, id: &str) -> Hosted {
        let index = self.daemons.iter().position(|one| one.id == id);
        self.daemons.remove(index.expect("the daemon runs"))
    }

    /// Returns where the daemons take requests.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|one| one.callers).collect()
    }
}

/// Asks again and again until `holds` or the time is up; returns whether it held.
pub async fn wait_until(within: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + within;
    loop {
        if holds().await {
            return true;
        }
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
