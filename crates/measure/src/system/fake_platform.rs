//! Everything outside the daemons: fake services, workers and executors, each with its own address.

use std::net::SocketAddr;
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
use model::id::DaemonId;
use plat::hosts::DaemonEntry;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostList;
use plat::hosts::HostState;
use plat::hosts::WorkerEntry;
use serde_json::json;

use crate::system::DaemonPlan;
use crate::system::ExecutorPlan;
use crate::system::LOOPBACK_ANY_PORT;
use crate::system::TOKEN;
use crate::system::WorkerPlan;

/// The fake services, workers and executors of a system.
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
