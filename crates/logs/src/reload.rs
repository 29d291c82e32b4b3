//! Reads the settings of logs again when the process is told that they may have changed.

use std::io;

use conf::observe::LogLevel;
use conf::observe::Logs;
use log::LevelFilter;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::control::Control;
use crate::control::Policy;

/// Returns the policy that settings ask for.
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

/// Puts what `read` returns into force on each `SIGHUP`, for as long as it is polled. Settings that
/// cannot be read change nothing, and a line says why.
///
/// # Errors
///
/// When the signal cannot be listened to.
pub async fn reload_on_sighup(
    control: &Control,
    read: impl Fn() -> Result<Policy, String>,
) -> io::Result<()> {
    let mut sighup = signal(SignalKind::hangup())?;
    while sighup.recv().await.is_some() {
        apply(control, read());
    }
    Ok(())
}

/// Puts a policy into force, or says why there is none.
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
