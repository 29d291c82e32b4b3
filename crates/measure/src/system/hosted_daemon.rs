//! A daemon that shares the process with the rest of the system.

use std::net::SocketAddr;
use std::sync::Arc;

use node::context::DaemonContext;
use node::daemon::Daemon;
use node::daemon::StartError;
use node::daemon::connect;
use node::supervisor::PartResult;
use node::supervisor::failure;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::system::DaemonPlan;
use crate::system::FakePlatform;
use crate::system::client;

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

impl HostedDaemon {
    /// Starts a daemon on a new runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the daemon cannot start.
    pub(super) async fn start(
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

    /// Returns whether the daemon accepts requests, as the operators' API reports it.
    pub async fn is_ready(&self) -> bool {
        let status = client::status(self.operators).await;
        status.is_ok_and(|status| status.ready)
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
