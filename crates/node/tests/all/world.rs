//! Runs one daemon against in-memory fakes, under the paused clock; only its own listeners use
//! sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::api::ApplyReply;
use conf::api::ApplyRequest;
use conf::settings::Settings;
use fake::hosts::FakeHosts;
use fake::object::FakeObjects;
use fake::table::FakeTable;
use lease::record::TaskSpec;
use model::Priority;
use model::Size;
use model::id::DaemonId;
use model::id::OpId;
use model::place::Place;
use node::context::DaemonContext;
use node::context::PlatformClients;
use node::daemon::Daemon;
use node::document::propose::propose;
use node::shards::input::Reply;
use node::shards::input::Request;
use plat::call::call;
use plat::error::CallError;
use plat::hosts::DaemonEntry;
use plat::hosts::HostList;
use plat::hosts::HostState;
use plat::hosts::WorkerEntry;
use plat::rate_limit::RateLimiter;
use plat::rate_limit::RateLimits;
use plat::table::Table;
use plat::worker::WorkerError;
use plat::worker::WorkerRequest;
use plat::worker::Workers;
use serde_json::json;

/// The token that operators use.
pub const TOKEN: &str = "only-for-this-machine";
/// The seed of the daemons; printed at each start.
const SEED: u64 = 20_261_203;

/// A document with comments, which edits must preserve.
pub const DOCUMENT: &str = r#"{
  // The two halves.
  "halves": { "noord": { "share_percent": 60 }, "zuid": { "share_percent": 40 } },
  "regions": { "vlaanderen": { "data_centres": ["limburg"] } },
  "upstreams": {
    "planning": { "half": "noord" /* until May */, "routes": ["/plan"], "weight": 2 },
  },
  "teams": { "fleet": { "half": "noord", "quota": { "cpu_millis": 1000, "memory_mib": 64 } } },
  "classes": { "check": { "kind": "batch", "half": "noord" } },
  "sharing": { "batch_percent": 70 }, // agreed in March
}
"#;

/// A daemon and its fake table.
pub struct World {
    pub table: FakeTable,
    pub daemon: Daemon,
}

impl World {
    /// Starts a daemon with the table that `wrap` returns, and applies the document.
    pub async fn start(statsd: Option<SocketAddr>, wrap: impl FnOnce(Table) -> Table) -> Self {
        println!("seed {SEED}");
        let table = FakeTable::new();
        let entry = |id: &str| DaemonEntry {
            id: id.into(),
            state: HostState::Live,
        };
        let worker = WorkerEntry {
            id: "w1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            place: Place::new("vlaanderen", "limburg"),
            rack: "r1".into(),
            capacity: Size::new(8000, 16_384, 0),
            state: HostState::Live,
        };
        let list = HostList {
            revision: 1,
            workers: vec![worker],
            daemons: ["d1", "d2", "d3"].map(entry).into(),
            ..HostList::default()
        };
        let platform = PlatformClients {
            table: wrap(table.direct()),
            rate_limiter: RateLimiter::new(RateLimits::per_daemon(1)),
            objects: FakeObjects::new().direct(),
            hosts: FakeHosts::new(list, Duration::ZERO).direct(),
            workers: Workers {
                send: call(|_: WorkerRequest| async {
                    Err(WorkerError::Call(CallError::Refused("no worker".into())))
                }),
            },
        };
        let daemon = Daemon::start(settings(statsd), platform, SEED, || 0).await;
        let daemon = daemon.unwrap();
        let world = Self { table, daemon };
        let accepted = world.apply(DOCUMENT).await;
        assert!(
            matches!(accepted, ApplyReply::Accepted { .. }),
            "{accepted:?}"
        );
        world
    }

    /// Returns the state that the daemon's parts share.
    pub fn cx(&self) -> &Arc<DaemonContext> {
        &self.daemon.cx
    }

    /// Applies a text as another operator does through the API.
    pub async fn apply(&self, text: &str) -> ApplyReply {
        let req = ApplyRequest {
            op: OpId::new(format!("test/{text}")),
            text: text.to_owned(),
            by: "bram".into(),
            base: None,
            without: Vec::new(),
            wait: true,
        };
        propose(self.cx(), req).await.unwrap()
    }

    /// Submits a task, retrying until the daemon owns the shard of its worker.
    pub async fn submit(&self, task: &str, size: Size) {
        let spec = TaskSpec {
            task: task.into(),
            team: "fleet".into(),
            class: "check".into(),
            priority: Priority::Normal,
            size,
            run_ms: None,
            max_failures: 3,
        };
        let request = Request::Submit { shard: None, spec };
        while !matches!(
            self.cx().shards.request(request.clone()).await,
            Reply::Done(_)
        ) {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Writes the heartbeat row of a daemon that does not answer.
    pub fn add_silent_daemon(&self, id: &str) {
        let port = 1;
        let row = json!({
            "daemon": DaemonId::from(id), "incarnation": 1, "beat": 1, "half": "noord",
            "place": { "region": "vlaanderen", "data_centre": "limburg" },
            "addresses": {
                "callers": SocketAddr::from(([127, 0, 0, 1], port)),
                "peers": SocketAddr::from(([127, 0, 0, 1], port)),
            },
            "draining": false, "staged": 0, "in_force": 1,
        });
        self.table.put(&format!("member/{id}"), row);
    }
}

fn settings(statsd: Option<SocketAddr>) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = json!({
        "daemon": "d1",
        "half": "noord",
        "place": { "region": "vlaanderen", "data_centre": "limburg" },
        "listen": { "callers": free, "operators": free, "peers": free },
        "platform": { "table": nowhere, "objects": nowhere, "hosts": nowhere },
        "operator_token": TOKEN,
        "observe": { "statsd": statsd },
    });
    serde_json::from_value(settings).unwrap()
}
