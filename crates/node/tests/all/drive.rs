//! Runs parts of daemons against in-memory fakes without sockets, under the paused clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Settings;
use fake::hosts::FakeHosts;
use fake::object::FakeObjects;
use fake::table::FakeTable;
use fake::worker::AgentConfig;
use fake::worker::FakeWorker;
use fake::worker::FakeWorkers;
use fake::worker::Ledger;
use fake::worker::Program;
use fake::worker::RunSpec;
use lease::record::Addresses;
use lease::record::JobRow;
use lease::record::ShardRow;
use lease::record::TaskRow;
use lease::record::TaskSpec;
use lease::record::key;
use model::Clock;
use model::Priority;
use model::Size;
use model::id::DocVersion;
use model::id::ShardId;
use model::id::TaskId;
use model::place::Place;
use node::context::ActiveDocument;
use node::context::DaemonContext;
use node::context::PlatformClients;
use node::context::Stage;
use node::heartbeat;
use node::hosts;
use node::join::join;
use node::metrics;
use node::shards::input::Reply;
use node::shards::input::Request;
use node::shards::input::Snapshot;
use node::supervisor::PartResult;
use node::supervisor::StatusBoard;
use peer::members::Members;
use peer::members::Profile;
use plat::hosts::HostList;
use plat::hosts::HostState;
use plat::hosts::WorkerEntry;
use plat::rate_limit::RateLimiter;
use plat::rate_limit::RateLimits;
use route::Proxy;
use route::RouterConfig;
use route::proxy::ProxyConfig;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub const SEED: u64 = 20_261_203;
/// An address on which nothing listens; no test here uses a socket.
const UNUSED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Capacity of each worker.
pub const CAPACITY: Size = Size::new(8000, 8192, 0);
/// Time to wait for conditions without a bound of their own, on the paused clock.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

const DOCUMENT: &str = r#"{
    "halves": { "noord": { "share_percent": 100 } },
    "regions": { "vlaanderen": { "data_centres": ["limburg"] } },
    "upstreams": { "planning": { "half": "noord", "routes": ["/plan"] } },
    "teams": { "fleet": { "half": "noord", "quota": { "cpu_millis": 900000, "memory_mib": 900000 } } },
    "classes": { "fleet-check": { "kind": "batch", "half": "noord" } }
}"#;

/// The fake platform of a test.
pub struct World {
    pub table: FakeTable,
    pub objects: FakeObjects,
    pub hosts: FakeHosts,
    pub workers: FakeWorkers,
    pub fleet: Vec<FakeWorker>,
    pub ledger: Ledger,
}

/// The parts of one daemon that are needed to own shards.
pub struct Node {
    pub cx: Arc<DaemonContext>,
    pub token: CancellationToken,
    pub part: JoinHandle<PartResult>,
    heartbeat: JoinHandle<PartResult>,
    hosts: JoinHandle<PartResult>,
}

impl World {
    /// Creates one worker for each rack named; tasks run for `run`.
    pub fn new(racks: &[&str], run: Duration) -> Self {
        println!("seed {SEED}");
        let ledger = Ledger::new(Clock::start());
        let objects = FakeObjects::new();
        let workers = FakeWorkers::new();
        let mut list = HostList::default();
        let mut fleet = Vec::new();
        for (number, rack) in (0_u16..).zip(racks) {
            let cfg = AgentConfig {
                capacity: CAPACITY,
                lag: Duration::from_secs(2),
                programs: Arc::new(move |_: &RunSpec| Program::batch(Size::new(500, 500, 0), run)),
                interference: None,
            };
            let address = SocketAddr::from(([10, 0, 0, 1], 1000 + number));
            let id = format!("worker-{number}");
            let worker = FakeWorker::new(id.as_str(), cfg, &ledger, &objects);
            workers.add(address, worker.clone());
            fleet.push(worker);
            list.workers.push(WorkerEntry {
                id: id.into(),
                address,
                place: place(),
                rack: ShardId::from(*rack),
                capacity: CAPACITY,
                state: HostState::Live,
            });
        }
        list.revision = 1;
        Self {
            table: FakeTable::new(),
            objects,
            hosts: FakeHosts::new(list, Duration::ZERO),
            workers,
            fleet,
            ledger,
        }
    }

    pub fn platform(&self) -> PlatformClients {
        let rate_limiter = RateLimiter::new(RateLimits::per_daemon(1));
        PlatformClients {
            table: self.table.direct(),
            rate_limiter,
            objects: self.objects.direct(),
            hosts: self.hosts.direct(),
            workers: self.workers.direct(),
        }
    }

    /// Begins an incarnation under this name and creates the shared state; runs no part.
    pub async fn cx(&self, name: &str) -> Arc<DaemonContext> {
        let platform = self.platform();
        let settings = settings(name);
        let clock = Clock::start();
        let identity = join(&platform.table, &settings, addresses(), SEED).await;
        let router = RouterConfig::new(
            settings.daemon.clone(),
            settings.half.clone(),
            settings.place.clone(),
        );
        let cfg = ProxyConfig::new(router, || 0);
        let proxy = Proxy::new(cfg, platform.table.clone(), clock, SEED);
        let profile = Profile {
            incarnation: identity.incarnation,
            half: settings.half.clone(),
            place: settings.place.clone(),
            caller_address: UNUSED_ADDRESS,
            peer_address: UNUSED_ADDRESS,
        };
        let daemon = settings.daemon.clone();
        let members = Members::new(daemon, identity.incarnation, profile, clock.now());
        let metrics = metrics::client(&settings.daemon, None).expect("the client has no socket");
        let board = StatusBoard::default();
        let cx = DaemonContext::new(
            settings, clock, SEED, platform, metrics, board, identity, members, proxy,
        );
        cx.doc.send_replace(Some(Arc::new(in_force())));
        Arc::new(cx)
    }

    /// Starts the parts of a daemon that are needed to own shards.
    pub async fn node(&self, name: &str) -> Node {
        let cx = self.cx(name).await;
        let token = CancellationToken::new();
        Node {
            heartbeat: tokio::spawn(heartbeat::run(cx.clone(), addresses(), token.clone())),
            hosts: tokio::spawn(hosts::run(cx.clone(), token.clone())),
            part: spawn_part(&cx, &token),
            cx,
            token,
        }
    }

    pub fn shard_row(&self, shard: &str) -> Option<ShardRow> {
        let row = self.table.rows().row(&key::shard(&shard.into()))?;
        serde_json::from_value(row.value).ok()
    }

    pub fn job(&self, task: &str) -> Option<JobRow> {
        let row = self.table.rows().row(&key::job(&task.into()))?;
        serde_json::from_value(row.value).ok()
    }

    /// Returns the rows of tasks that have not ended, with their keys.
    pub fn tasks(&self) -> Vec<(String, TaskRow)> {
        let rows = self.table.rows().rows_with_prefix("task/");
        let parse =
            |row: plat::table::Row| Some((row.key, serde_json::from_value(row.value).ok()?));
        rows.into_iter().filter_map(parse).collect()
    }

    /// Asserts that no task ran twice at once, no worker was overcommitted, and no run resumed from
    /// a missing checkpoint.
    pub fn assert_invariants(&self) {
        self.workers.advance();
        let tally = self.ledger.counts();
        let violations = (
            tally.overlapping,
            tally.overcommits,
            tally.missing_checkpoints,
        );
        assert_eq!(violations, (0, 0, 0), "{tally:?}");
    }

    pub fn run_count(&self, task: &str) -> usize {
        self.ledger.runs(&TaskId::from(task)).len()
    }
}

impl Node {
    pub async fn submit(&self, spec: &TaskSpec) -> Reply {
        self.submit_at(None, spec).await
    }

    pub async fn submit_at(&self, shard: Option<&str>, spec: &TaskSpec) -> Reply {
        let request = Request::Submit {
            shard: shard.map(ShardId::from),
            spec: spec.clone(),
        };
        self.cx.shards.request(request).await
    }

    pub async fn cancel(&self, shard: &str, task: &str) -> Reply {
        let request = Request::Cancel {
            shard: shard.into(),
            task: task.into(),
        };
        self.cx.shards.request(request).await
    }

    pub async fn snapshot(&self) -> Snapshot {
        self.cx.shards.snapshot().await.expect("the part runs")
    }

    /// Returns whether this daemon owns a shard and may act for it.
    pub async fn owns(&self, shard: &str) -> bool {
        let snapshot = self.snapshot().await;
        let mut shards = snapshot.shards.iter();
        shards.any(|status| status.shard.as_str() == shard && status.here)
    }

    /// Aborts all parts as a failure of the host does.
    pub fn kill(&self) {
        self.part.abort();
        self.heartbeat.abort();
        self.hosts.abort();
    }

    /// Shuts down as a planned stop does, without the waits for the balancer and for requests.
    pub async fn shut_down(self) {
        self.cx.stage.send_replace(Stage::Draining);
        self.cx.shards.release_all().await;
        self.token.cancel();
        heartbeat::delete_own_row(&self.cx).await;
    }
}

pub fn spawn_part(cx: &Arc<DaemonContext>, token: &CancellationToken) -> JoinHandle<PartResult> {
    let (cx, token) = (cx.clone(), token.clone());
    tokio::spawn(async move { cx.shards.clone().run(cx, token).await })
}

/// Waits on the paused clock until `holds`; returns whether it did within the time.
pub async fn within(time: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < deadline {
        if holds().await {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    holds().await
}

pub fn settings(name: &str) -> Settings {
    let settings = json!({
        "daemon": name,
        "half": "noord",
        "place": place(),
        "listen": { "callers": UNUSED_ADDRESS, "operators": UNUSED_ADDRESS, "peers": UNUSED_ADDRESS },
        "platform": { "table": UNUSED_ADDRESS, "objects": UNUSED_ADDRESS, "hosts": UNUSED_ADDRESS },
        "operator_token": "only-for-this-machine",
        "drain_ms": 20_000,
    });
    serde_json::from_value(settings).expect("the settings are valid")
}

pub fn addresses() -> Addresses {
    Addresses {
        callers: UNUSED_ADDRESS,
        peers: UNUSED_ADDRESS,
    }
}

/// A batch task that takes a sixteenth of a worker.
pub fn spec(name: &str) -> TaskSpec {
    TaskSpec {
        task: name.into(),
        team: "fleet".into(),
        class: "fleet-check".into(),
        priority: Priority::Normal,
        size: Size::new(500, 512, 0),
        run_ms: Some(60_000),
        max_failures: 3,
    }
}

pub fn urgent(name: &str) -> TaskSpec {
    TaskSpec {
        priority: Priority::Urgent,
        ..spec(name)
    }
}

fn place() -> Place {
    Place::new("vlaanderen", "limburg")
}

fn in_force() -> ActiveDocument {
    let document = conf::check::read(DOCUMENT).expect("the document is valid");
    ActiveDocument {
        version: DocVersion(1),
        text: DOCUMENT.into(),
        by: "test".into(),
        op: "first".into(),
        document: Arc::new(document),
    }
}
