//! The daemon that runs on each entry host.
//!
//! `fireflynotchd --settings FILE` checks the settings before it starts anything; if they are
//! invalid, it reports all findings and exits with code 2. `SIGTERM` and `SIGINT` start a drain,
//! and `SIGHUP` reloads the log settings. The exit code is 0 after a drain and 1 after a component
//! has failed too often. The operation of the daemon is documented in `docs/OPERATIONS.md`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use conf::report::Report;
use conf::settings::Settings;
use gumdrop::Options;
use logs::Control;
use logs::Policy;
use logs::reload;
use model::Clock;
use model::hash::combine_hashes;
use model::hash::stable_hash;
use model::time::unix_ms;
use node::daemon::Daemon;
use node::daemon::connect;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for invalid arguments or settings.
const BAD_INPUT: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and exit", no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(path) = arguments.settings else {
        eprintln!("fireflynotchd: --settings FILE is missing; see --help");
        return ExitCode::from(BAD_INPUT);
    };
    let settings = match load_settings(&path) {
        Ok(settings) => settings,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if arguments.check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    runtime.block_on(run(settings, path))
}

fn load_settings(path: &Path) -> Result<Settings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    conf::settings::load(&text)
        .map_err(|invalid| Report::new(&name, &text, &invalid.findings).render())
}

async fn run(settings: Settings, path: PathBuf) -> ExitCode {
    let control = Control::new(log_policy(&settings));
    let name = settings.daemon.to_string();
    let logger = logs::init(&control, name.clone(), Clock::start(), std::io::stderr());
    if logger.is_err() {
        return exit_with_error("the logger is already initialised");
    }
    let initial_settings = settings.clone();
    let seed = combine_hashes(stable_hash(name.as_bytes()), unix_ms());
    let platform = match connect(&settings) {
        Ok(platform) => platform,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    let daemon = match Daemon::start(settings, platform, seed, unix_ms).await {
        Ok(daemon) => daemon,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    let hangup = match reload::handle_sighup() {
        Ok(hangup) => hangup,
        Err(error) => return exit_with_error(&error.to_string()),
    };
    log::info!(
        callers = daemon.callers.to_string().as_str(),
        operators = daemon.operators.to_string().as_str(),
        peers = daemon.peers.to_string().as_str(),
        started_unix_ms = unix_ms(),
        seed;
        "started"
    );
    let drain = daemon.drain_token();
    tokio::spawn(async move {
        if termination_requested().await.is_ok() {
            drain.cancel();
        }
    });
    tokio::spawn(async move {
        let read_policy = || reload_policy(&path, &initial_settings);
        reload::reload_on(hangup, &control, read_policy).await;
    });
    match daemon.wait().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(&error.to_string()),
    }
}

/// Waits for `SIGTERM` or `SIGINT`.
async fn termination_requested() -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn exit_with_error(reason: &str) -> ExitCode {
    log::error!("{reason}");
    eprintln!("fireflynotchd: {reason}");
    ExitCode::FAILURE
}

fn log_policy(settings: &Settings) -> Policy {
    reload::policy_from_settings(settings.observe.log_level, &settings.observe.logs)
}

/// Reads the log settings, and warns if other settings changed, which only a restart applies.
fn reload_policy(path: &Path, initial_settings: &Settings) -> Result<Policy, String> {
    let settings = load_settings(path)?;
    let mut without_log_changes = settings.clone();
    without_log_changes.observe.log_level = initial_settings.observe.log_level;
    without_log_changes.observe.logs = initial_settings.observe.logs.clone();
    if without_log_changes != *initial_settings {
        log::warn!(event = "reload_partial"; "only log settings are reloaded; other changes take effect at the next start");
    }
    Ok(log_policy(&settings))
}
