//! Starts a daemon and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use conf::settings::Settings;
use derive_more::Display;
use derive_more::Error;
use lease::record::Addresses;
use model::Clock;
use peer::members::Members;
use peer::members::Profile;
use plat::client::Client;
use plat::client::Endpoint;
use plat::rate_limit::RateLimiter;
use plat::rate_limit::RateLimits;
use route::Proxy;
use route::RouterConfig;
use route::proxy::ProxyConfig;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::context::PlatformClients;
use crate::context::Stage;
use crate::gossip;
use crate::heartbeat;
use crate::join::join;
use crate::listeners::Listeners;
use crate::metrics;
use crate::parts::run_supervisors;
use crate::supervisor::PartResult;
use crate::supervisor::StatusBoard;
use crate::supervisor::failure;

/// Time for which a leaving daemon still accepts requests, so that the balancer notices it.
pub const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// Time for which a draining daemon still serves, so that the other daemons' data paths learn that
/// it drains.
const PEER_GRACE: Duration = Duration::from_secs(1);
/// Number of daemons assumed to share the table's capacity until it is known.
const ASSUMED_DAEMONS: u32 = 9;

/// An error that prevents a daemon from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[display("cannot listen on {address}: {reason}")]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        reason: std::io::Error,
    },
    /// A client of the platform cannot be set up.
    #[display("cannot reach the platform: {_0}")]
    Platform(#[error(not(source))] String),
}

/// A running daemon.
pub struct Daemon {
    /// The state that its parts share.
    pub cx: Arc<DaemonContext>,
    /// The bound address for callers.
    pub callers: SocketAddr,
    /// The bound address for operators.
    pub operators: SocketAddr,
    /// The bound address for the other daemons.
    pub peers: SocketAddr,
    drain: CancellationToken,
    stop: CancellationToken,
    supervisor: JoinHandle<PartResult>,
}

/// Creates the clients of the platform that the settings name.
///
/// # Errors
///
/// Returns an error if a client cannot be set up.
pub fn connect(settings: &Settings) -> Result<PlatformClients, StartError> {
    let platform = |error: plat::error::CallError| StartError::Platform(error.to_string());
    let addresses = &settings.platform;
    let table = Client::for_service("table").map_err(platform)?;
    let objects = Client::for_service("objects").map_err(platform)?;
    let hosts = Client::for_service("hosts").map_err(platform)?;
    let workers = Client::for_hosts("workers").map_err(platform)?;
    let endpoint = Endpoint::new;
    let table_endpoint = endpoint(
        addresses.table,
        plat::table::CALL_TIMEOUT,
        plat::table::MAX_RESPONSE_BYTES,
    );
    let objects_endpoint = endpoint(
        addresses.objects,
        plat::object::CALL_TIMEOUT,
        plat::object::MAX_RESPONSE_BYTES,
    );
    let hosts_endpoint = endpoint(
        addresses.hosts,
        plat::hosts::CALL_TIMEOUT,
        plat::hosts::MAX_RESPONSE_BYTES,
    );
    let rate_limiter = RateLimiter::new(RateLimits::per_daemon(ASSUMED_DAEMONS));
    Ok(PlatformClients {
        table: rate_limiter.wrap(plat::table::http(&table, table_endpoint)),
        rate_limiter,
        objects: plat::object::http::http(&objects, objects_endpoint),
        hosts: plat::hosts::http::http(&hosts, hosts_endpoint),
        workers: plat::worker::http(&workers, plat::worker::http::CallLimits::default()),
    })
}

impl Daemon {
    /// Starts a daemon: binds its listeners, begins a new incarnation under its name, then runs its
    /// parts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the metrics client cannot be created.
    pub async fn start(
        settings: Settings,
        platform: PlatformClients,
        seed: u64,
        unix_ms: fn() -> u64,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let listeners = Listeners::bind(&settings.listen).await?;
        let [callers, operators, peers] = listeners.addresses()?;
        let advertised = settings.advertise.as_ref();
        let addresses = Addresses {
            callers: advertised.map_or(callers, |advertised| advertised.callers),
            peers: advertised.map_or(peers, |advertised| advertised.peers),
        };
        let metrics = metrics::client(&settings.daemon, settings.observe.statsd)
            .map_err(|error| StartError::Platform(error.to_string()))?;
        let identity = join(&platform.table, &settings, addresses, seed).await;
        let seed = seed ^ identity.incarnation.0.rotate_left(32);
        let router = RouterConfig::new(
            settings.daemon.clone(),
            settings.half.clone(),
            settings.place.clone(),
        );
        let proxy = Proxy::new(
            ProxyConfig::new(router, unix_ms),
            platform.table.clone(),
            clock,
            seed,
        );
        let profile = Profile {
            incarnation: identity.incarnation,
            half: settings.half.clone(),
            place: settings.place.clone(),
            caller_address: addresses.callers,
            peer_address: addresses.peers,
        };
        let daemon = settings.daemon.clone();
        let members = Members::new(daemon, identity.incarnation, profile, clock.now());
        let board = StatusBoard::default();
        let cx = DaemonContext::new(
            settings, clock, seed, platform, metrics, board, identity, members, proxy,
        );
        let cx = Arc::new(cx.with_unix_ms(unix_ms));
        let drain = CancellationToken::new();
        let stop = CancellationToken::new();
        let supervisor = tokio::spawn(run_supervisors(
            cx.clone(),
            addresses,
            listeners,
            drain.clone(),
            stop.clone(),
        ));
        Ok(Self {
            cx,
            callers,
            operators,
            peers,
            drain,
            stop,
            supervisor,
        })
    }

    /// Asks the daemon to drain, as `SIGTERM` does.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Returns the token that asks the daemon to drain when it is cancelled.
    #[must_use]
    pub fn drain_token(&self) -> CancellationToken {
        self.drain.clone()
    }

    /// Waits until the daemon has ended, because it was drained or a part escalated.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that escalated.
    pub async fn wait(mut self) -> PartResult {
        let shutdown = tokio::select! {
            result = &mut self.supervisor => return flatten(result),
            () = self.drain.cancelled() => self.shut_down(),
        };
        shutdown.await;
        self.stop.cancel();
        let ended = flatten((&mut self.supervisor).await);
        heartbeat::delete_own_row(&self.cx).await;
        ended
    }

    /// Stops the daemon as a crash would: nothing is released or completed.
    pub fn kill(self) {
        self.supervisor.abort();
    }

    /// Shuts down in order: becomes unready, stops accepting work, then completes or releases the
    /// rest within `drain_ms`.
    async fn shut_down(&self) {
        let cx = &self.cx;
        log::info!("shutting down: reporting not ready to the balancer");
        cx.stage.send_replace(Stage::Leaving);
        sleep(BALANCER_GRACE).await;
        cx.stage.send_replace(Stage::Draining);
        gossip::announce_draining(cx).await;
        sleep(PEER_GRACE).await;
        cx.proxy.drain();
        let bound = Duration::from_millis(cx.settings.drain_ms);
        let finished = async { tokio::join!(cx.proxy.drained(), cx.shards.release_all()) };
        if timeout(bound, finished).await.is_err() {
            let unfinished = cx.proxy.unfinished();
            log::warn!(unfinished; "the planned stop exceeded `drain_ms`, abandoning unfinished requests");
        }
        log::info!("shutdown complete");
    }
}

fn flatten(result: Result<PartResult, tokio::task::JoinError>) -> PartResult {
    result.unwrap_or_else(|error| Err(failure("daemon", &error.to_string())))
}
