//! A complete system in one process on the loopback interface: a fake platform reached over real
//! sockets, and daemons.
//!
//! The quick start, the end-to-end tests and the measurements of control overhead run on it.
//! [`FakePlatform`] provides everything outside the daemons; [`System`] adds the daemons;
//! [`callers`] generates load; [`client`] calls the operators' API.

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

/// Listen address that lets the kernel choose a free port of the loopback interface.
pub const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Bearer token of the operators' API on every daemon.
pub const TOKEN: &str = "only-for-this-machine";

/// Description of a worker to start.
#[derive(Clone, Debug)]
pub struct WorkerPlan {
    /// Unique id.
    pub id: String,
    /// Region and data centre.
    pub place: Place,
    /// Rack within the data centre.
    pub rack: String,
    /// CPU, memory and accelerators.
    pub capacity: Size,
}

/// Description of an executor to start.
#[derive(Clone, Debug)]
pub struct ExecutorPlan {
    /// Unique id.
    pub id: String,
    /// Upstream that it serves.
    pub upstream: String,
    /// Region and data centre.
    pub place: Place,
    /// Number of requests that it runs concurrently.
    pub slots: usize,
}

/// Description of a daemon to start.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Unique id.
    pub id: String,
    /// Half of the organisation that it belongs to.
    pub half: String,
    /// Region and data centre.
    pub place: Place,
}

/// Everything outside the daemons: fake services, workers and executors, each with its own address.
pub struct FakePlatform {
    /// The table store.
    pub table: FakeTable,
    /// The object store.
    pub objects: FakeObjects,
    /// The host list.
    pub hosts: FakeHosts,
    /// Record of the runs on all workers.
    pub ledger: Ledger,
    /// Record of the requests run by all executors.
    pub runs: RunLedger,
    /// The workers.
    pub workers: Vec<FakeWorker>,
    /// The executors.
    pub executors: Vec<FakeExecutor>,
    servers: Vec<Server>,
    addresses: [SocketAddr; 3],
}

impl WorkerPlan {
    /// Describes a worker.
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
    /// Describes an executor with 8 slots.
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
    /// Describes a daemon.
    #[must_use]
    pub fn new(id: &str, half: &str, place: Place) -> Self {
        Self {
            id: id.to_owned(),
            half: half.to_owned(),
            place,
        }
    }
}

/// Returns three daemons in two regions: two of the first half and one of the second.
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

/// Returns `per_rack` workers of equal capacity in one rack of each of the three data centres.
#[must_use]
pub fn workers_in_racks(per_rack: usize, capacity: Size) -> Vec<WorkerPlan> {
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

impl FakePlatform {
    /// Starts the fake platform. The host list publishes changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if a server cannot listen.
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
        let mut fake_workers = Vec::new();
        for plan in workers {
            let cfg = AgentConfig {
                capacity: plan.capacity,
                lag: Duration::from_secs(2),
                programs: programs.clone(),
                interference: None,
            };
            let worker = FakeWorker::new(plan.id.as_str(), cfg, &ledger, &objects);
            let server = worker.serve(LOOPBACK_ANY_PORT).await?;
            list.workers.push(WorkerEntry {
                id: plan.id.as_str().into(),
                address: server.address(),
                place: plan.place.clone(),
                rack: plan.rack.as_str().into(),
                capacity: plan.capacity,
                state: HostState::Live,
            });
            servers.push(server);
            fake_workers.push(worker);
        }
        let mut fake_executors = Vec::new();
        for plan in executors {
            let executor = FakeExecutor::new(plan.id.as_str(), plan.slots, &runs);
            let server = executor.serve(LOOPBACK_ANY_PORT).await?;
            list.executors.push(ExecutorEntry {
                id: plan.id.as_str().into(),
                upstream: plan.upstream.as_str().into(),
                address: server.address(),
                place: plan.place.clone(),
                state: HostState::Live,
            });
            servers.push(server);
            fake_executors.push(executor);
        }
        let daemon = |plan: &DaemonPlan| DaemonEntry {
            id: DaemonId::from(plan.id.as_str()),
            state: HostState::Live,
        };
        list.daemons = daemons.iter().map(daemon).collect();
        list.revision = 1;
        let hosts = FakeHosts::new(list, lag);
        let service_servers = [
            table.serve(LOOPBACK_ANY_PORT).await?,
            objects.serve(LOOPBACK_ANY_PORT).await?,
            hosts.serve(LOOPBACK_ANY_PORT).await?,
        ];
        let addresses = [
            service_servers[0].address(),
            service_servers[1].address(),
            service_servers[2].address(),
        ];
        servers.extend(service_servers);
        Ok(Self {
            table,
            objects,
            hosts,
            ledger,
            runs,
            workers: fake_workers,
            executors: fake_executors,
            servers,
            addresses,
        })
    }

    /// Returns the settings of a daemon that uses this platform and listens on free ports.
    ///
    /// # Panics
    ///
    /// Panics if the settings do not match the daemon's schema.
    #[must_use]
    pub fn settings(&self, plan: &DaemonPlan) -> Settings {
        let [table, objects, hosts] = self.addresses;
        let settings = json!({
            "daemon": plan.id,
            "half": plan.half,
            "place": plan.place,
            "listen": { "callers": LOOPBACK_ANY_PORT, "operators": LOOPBACK_ANY_PORT, "peers": LOOPBACK_ANY_PORT },
            "platform": { "table": table, "objects": objects, "hosts": hosts },
            "operator_token": TOKEN,
            "drain_ms": 20_000,
        });
        serde_json::from_value(settings).expect("the settings match the schema")
    }

    /// Returns the number of servers that the platform runs.
    #[must_use]
    pub const fn server_count(&self) -> usize {
        self.servers.len()
    }
}

/// A daemon on its own runtime, so that it can be killed together with all its tasks.
pub struct HostedDaemon {
    /// Unique id.
    pub id: String,
    /// Context shared by the parts of the daemon.
    pub cx: Arc<DaemonContext>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address of the operators' API.
    pub operators: SocketAddr,
    daemon: Daemon,
    runtime: BackgroundRuntime,
}

/// A runtime that may be dropped inside another runtime, where a plain [`Runtime`] panics.
struct BackgroundRuntime(Option<Runtime>);

impl BackgroundRuntime {
    fn spawn<F>(&self, future: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send + 'static> + Send + 'static,
    {
        let runtime = self
            .0
            .as_ref()
            .expect("the runtime exists until it is dropped");
        runtime.spawn(future)
    }
}

impl Drop for BackgroundRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl HostedDaemon {
    async fn start(
        platform: &FakePlatform,
        plan: &DaemonPlan,
        seed: u64,
    ) -> Result<Self, StartError> {
        let settings = platform.settings(plan);
        let runtime_error = |error: std::io::Error| StartError::Platform(error.to_string());
        let mut builder = Builder::new_multi_thread();
        let runtime = builder
            .worker_threads(2)
            .thread_name(&plan.id)
            .enable_all()
            .build();
        let runtime = BackgroundRuntime(Some(runtime.map_err(runtime_error)?));
        let start = async move {
            let platform = connect(&settings)?;
            Daemon::start(settings, platform, seed, || 0).await
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

    /// Drains the daemon and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of a part of the daemon that failed instead of draining.
    pub async fn stop(self) -> PartResult {
        self.daemon.drain();
        let result = self.runtime.spawn(self.daemon.wait()).await;
        result.unwrap_or_else(|error| Err(failure("daemon", &error.to_string())))
    }

    /// Kills the daemon without draining, as a failure of its host would.
    pub fn kill(self) {
        drop(self.runtime);
    }
}

/// A platform with its daemons.
pub struct System {
    /// The fake platform.
    pub platform: Arc<FakePlatform>,
    /// The running daemons in the order of their start.
    pub daemons: Vec<HostedDaemon>,
}

impl System {
    /// Starts the daemons one after another.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon cannot start.
    pub async fn start(
        platform: FakePlatform,
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
    /// Returns an error if a daemon cannot start.
    pub async fn add(&mut self, plan: &DaemonPlan, seed: u64) -> Result<(), StartError> {
        self.daemons
            .push(HostedDaemon::start(&self.platform, plan, seed).await?);
        Ok(())
    }

    /// Removes a daemon from the system, so that it can be stopped or killed.
    ///
    /// # Panics
    ///
    /// Panics if no daemon with this id is running.
    pub fn remove(&mut self, id: &str) -> HostedDaemon {
        let index = self.daemons.iter().position(|daemon| daemon.id == id);
        self.daemons
            .remove(index.expect("a daemon with this id is running"))
    }

    /// Returns the addresses at which the daemons accept callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }
}

/// Polls `condition` until it holds or `timeout` has passed; returns whether it held.
pub async fn wait_until(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        if condition().await {
            return true;
        }
        if tokio::time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
