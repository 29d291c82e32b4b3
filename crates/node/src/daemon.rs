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
use route::proxy::server::harden;
use salvo::Router;
use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::context::DaemonContext;
use crate::context::PlatformClients;
use crate::context::Stage;
use crate::document;
use crate::gossip;
use crate::heartbeat;
use crate::hosts;
use crate::janitor;
use crate::join::join;
use crate::metrics;
use crate::observe;
use crate::operators::Operators;
use crate::peers;
use crate::routing;
use crate::supervisor::PartResult;
use crate::supervisor::StatusBoard;
use crate::supervisor::Supervisor;
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

/// The listeners of a daemon, bound before anything else happens.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
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
        let listeners = Listeners {
            callers: listen(settings.listen.callers).await?,
            operators: listen(settings.listen.operators).await?,
            peers: listen(settings.listen.peers).await?,
        };
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

impl Listeners {
    fn addresses(&self) -> Result<[SocketAddr; 3], StartError> {
        let address = |listener: &TcpListener| {
            listener
                .local_addr()
                .map_err(|error| StartError::Platform(error.to_string()))
        };
        Ok([
            address(&self.callers)?,
            address(&self.operators)?,
            address(&self.peers)?,
        ])
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|reason| StartError::Listen { address, reason })
}

fn flatten(result: Result<PartResult, tokio::task::JoinError>) -> PartResult {
    result.unwrap_or_else(|error| Err(failure("daemon", &error.to_string())))
}

/// Runs the supervision tree.
async fn run_supervisors(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
    listeners: Listeners,
    drain: CancellationToken,
    stop: CancellationToken,
) -> PartResult {
    let clock = cx.clock;
    let board = cx.board.clone();
    let operators = Operators::new(cx.clone(), drain);
    let requests = Router::with_path("{**path}").goal(operators);
    let callers = cx.proxy.service();
    let listeners = Arc::new(listeners);
    let top = Supervisor::new("daemon", clock, board.clone())
        .part("membership", membership_supervisor(cx.clone(), addresses))
        .part(
            "requests",
            request_supervisor(cx.clone(), callers, listeners.clone()),
        )
        .part("shards", shard_part(cx.clone(), addresses))
        .part("observe", with_context(&cx, observe::run))
        .part(
            "operators",
            serve(listeners.clone(), requests, |all| &all.operators),
        )
        .part("peers", peer_server(cx, listeners));
    top.run(stop).await
}

fn membership_supervisor(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let supervisor = Supervisor::new("membership", cx.clock, cx.board.clone())
            .part(
                "heartbeat",
                with_context(&cx, move |cx, token| heartbeat::run(cx, addresses, token)),
            )
            .part("gossip", with_context(&cx, gossip::run))
            .part("hosts", with_context(&cx, hosts::run))
            .part("document", with_context(&cx, document::run))
            .part("janitor", with_context(&cx, janitor::run));
        Box::pin(supervisor.run(token))
    }
}

fn request_supervisor(
    cx: Arc<DaemonContext>,
    callers: Router,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    let callers = Arc::new(callers);
    move |token| {
        let run_proxy = |cx: Arc<DaemonContext>, token: CancellationToken| async move {
            tokio::select! {
                () = cx.proxy.clone().run() => Ok(()),
                () = token.cancelled() => Ok(()),
            }
        };
        let supervisor = Supervisor::new("requests", cx.clock, cx.board.clone())
            .part("proxy", with_context(&cx, run_proxy))
            .part("routing", with_context(&cx, routing::run))
            .part(
                "callers",
                serve_shared(listeners.clone(), callers.clone(), |all| &all.callers),
            );
        Box::pin(supervisor.run(token))
    }
}

/// Creates a part from a function that takes the shared state.
fn with_context<F, Fut>(
    cx: &Arc<DaemonContext>,
    run: F,
) -> impl Fn(CancellationToken) -> Fut + Send + Sync + use<F, Fut>
where
    F: Fn(Arc<DaemonContext>, CancellationToken) -> Fut + Send + Sync,
{
    let cx = cx.clone();
    move |token| run(cx.clone(), token)
}

/// Creates the part that owns shards. Each restart begins a new incarnation of the daemon, because
/// an earlier run may have left messages in flight.
fn shard_part(
    cx: Arc<DaemonContext>,
    addresses: Addresses,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    let runs = Arc::new(std::sync::atomic::AtomicU64::new(0));
    move |token| {
        let cx = cx.clone();
        let run = runs.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Box::pin(async move {
            if run > 0 {
                let seed = cx.seed ^ run;
                let identity = join(&cx.platform.table, &cx.settings, addresses, seed).await;
                cx.set_identity(identity);
            }
            cx.shards.run(cx.clone(), token).await
        })
    }
}

fn serve(
    listeners: Arc<Listeners>,
    router: Router,
    pick: fn(&Listeners) -> &TcpListener,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    serve_shared(listeners, Arc::new(router), pick)
}

/// Serves HTTP on one of the listeners; a restart uses the same socket.
fn serve_shared(
    listeners: Arc<Listeners>,
    router: Arc<Router>,
    pick: fn(&Listeners) -> &TcpListener,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let listener = clone_listener(pick(&listeners));
        let router = router.clone();
        Box::pin(async move {
            let server_error = |error: std::io::Error| failure("server", &error.to_string());
            let acceptor =
                TcpAcceptor::try_from(listener.map_err(server_error)?).map_err(server_error)?;
            let server = harden(salvo::Server::new(acceptor));
            tokio::select! {
                () = server.serve(router) => Err(failure("server", "ended by itself")),
                () = token.cancelled() => Ok(()),
            }
        })
    }
}

fn peer_server(
    cx: Arc<DaemonContext>,
    listeners: Arc<Listeners>,
) -> impl Fn(CancellationToken) -> futures::future::BoxFuture<'static, PartResult> + Send + Sync {
    move |token| {
        let cx = cx.clone();
        let listener = clone_listener(&listeners.peers);
        Box::pin(async move {
            let server_error = |error: std::io::Error| failure("peers", &error.to_string());
            let server = peers::serve(cx, listener.map_err(server_error)?).map_err(server_error)?;
            token.cancelled().await;
            // The server may have stopped already.
            let _ = server.stop();
            Ok(())
        })
    }
}

/// Creates a second listener on the same socket.
fn clone_listener(listener: &TcpListener) -> std::io::Result<TcpListener> {
    use std::os::fd::AsFd;
    let socket = listener.as_fd().try_clone_to_owned()?;
    TcpListener::from_std(std::net::TcpListener::from(socket))
}
