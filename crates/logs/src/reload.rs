//! Reloads the logging policy from the settings on `SIGHUP`.

use std::io;

use conf::observe::LogLevel;
use conf::observe::Logs;
use log::LevelFilter;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::control::Control;
use crate::control::Policy;

/// Converts the logging settings to a policy.
#[must_use]
pub fn policy_from_settings(level: LogLevel, logs: &Logs) -> Policy {
    let events = logs.events.iter();
    Policy {
        level: level_filter(level),
        events: events
            .map(|(event, level)| (event.clone(), level_filter(*level)))
            .collect(),
        lines_per_second: logs.lines_per_second,
    }
}

/// Installs the handler of `SIGHUP`, which would otherwise end the process. A process calls this
/// before it reports that it has started.
///
/// # Errors
///
/// Returns an error if the handler cannot be installed.
pub fn handle_sighup() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Calls `read` on each signal and applies its result, for as long as the future is polled.
///
/// If `read` fails, the current policy stays and the reason is logged.
pub async fn reload_on(
    mut sighup: Signal,
    control: &Control,
    read: impl Fn() -> Result<Policy, String>,
) {
    while sighup.recv().await.is_some() {
        apply(control, read());
    }
}

/// Applies the policy read from the settings, or logs why there is none and keeps the current one.
pub fn apply(control: &Control, read: Result<Policy, String>) {
    match read {
        Ok(policy) => {
            let level = policy.level.as_str().to_lowercase();
            let (events, limit) = (policy.events.len(), policy.lines_per_second);
            control.set_policy(policy);
            log::info!(event = "reloaded", log_level = level.as_str(), events, lines_per_second = limit; "");
        }
        Err(reason) => log::error!(event = "reload_refused", reason = reason.as_str(); ""),
    }
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
