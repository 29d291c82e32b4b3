//! A complete system in one process on the loopback interface: a fake platform reached over real
//! sockets, and daemons.
//!
//! The quick start, the end-to-end tests and the measurements of control overhead run on it.
//! [`FakePlatform`] provides everything outside the daemons; [`System`] adds the daemons;
//! [`callers`] generates load; [`client`] calls the operators' API.

pub mod callers;
pub mod client;
mod fake_platform;
mod host_plan;
mod hosted_daemon;
pub mod plan;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use node::daemon::StartError;

pub use self::fake_platform::FakePlatform;
pub use self::host_plan::DaemonPlan;
pub use self::host_plan::ExecutorPlan;
pub use self::host_plan::WorkerPlan;
pub use self::host_plan::three_daemons;
pub use self::host_plan::workers_in_racks;
pub use self::hosted_daemon::HostedDaemon;

/// Listen address that lets the kernel choose a free port of the loopback interface.
pub const LOOPBACK_ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Bearer token of the operators' API on every daemon.
pub const TOKEN: &str = "only-for-this-machine";

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

    /// Waits until every daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics if a daemon is not ready within `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) {
        for daemon in &self.daemons {
            let ready = wait_until(timeout, async || daemon.is_ready().await);
            assert!(ready.await, "{} is not ready", daemon.id);
        }
    }

    /// Returns the addresses at which the daemons accept callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }
}

/// Runs a future on a new runtime with several threads.
///
/// # Panics
///
/// Panics if the threads cannot be started.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.expect("threads can be started").block_on(future)
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
