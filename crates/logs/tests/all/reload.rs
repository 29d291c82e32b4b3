//! Reloading of the logging policy while the process runs.

use log::Level;
use log::LevelFilter;
use log::Log;
use log::Record;
use logs::Control;
use logs::JsonLogger;
use logs::Policy;
use logs::reload;
use model::Clock;

use crate::json::Buffer;

fn write(logger: &dyn Log, level: Level, event: &str) {
    let pairs = [("event", log::kv::Value::from(event))];
    logger.log(&Record::builder().level(level).key_values(&pairs).build());
}

fn settings(text: &str) -> Result<Policy, String> {
    let settings =
        conf::observe::load(text).map_err(|invalid| invalid.findings[0].message.clone())?;
    Ok(reload::policy_from_settings(
        settings.log_level,
        &settings.logs,
    ))
}

#[tokio::test(start_paused = true)]
async fn global_and_per_event_levels_follow_the_settings_without_a_new_logger() {
    let buffer = Buffer::default();
    let control = Control::new(Policy::with_level(LevelFilter::Info));
    let logger = JsonLogger::new(control.clone(), "d".into(), Clock::start(), buffer.clone());
    let cases = [
        (
            "{}",
            [("placed", Level::Info), ("run_ended", Level::Debug)],
            1,
        ),
        (
            r#"{ "logs": { "events": { "run_ended": "debug" } } }"#,
            [("run_ended", Level::Debug), ("run_started", Level::Debug)],
            1,
        ),
        (
            r#"{ "log_level": "debug", /* but */ "logs": { "events": { "placed": "off" } } }"#,
            [("placed", Level::Error), ("run_started", Level::Debug)],
            1,
        ),
        (
            r#"{ "log_level": "error" }"#,
            [("placed", Level::Info), ("refused", Level::Warn)],
            0,
        ),
        (
            r#"{ "logs": { "lines_per_second": 1 } }"#,
            [("other", Level::Info), ("other", Level::Info)],
            1,
        ),
    ];
    for (text, lines, expected) in cases {
        let before = buffer.text().lines().count();
        reload::apply(&control, settings(text));
        for (event, level) in lines {
            write(&*logger, level, event);
        }
        assert_eq!(buffer.text().lines().count() - before, expected, "{text}");
    }
    let stats = control.stats();
    assert_eq!(stats.lines, 4);
    assert_eq!(stats.bytes, buffer.text().len() as u64);
    assert_eq!(stats.suppressed, 1);
}

#[tokio::test(start_paused = true)]
async fn settings_that_cannot_be_read_change_nothing() {
    let control = Control::new(Policy::with_level(LevelFilter::Debug));
    for text in [
        r#"{ "log_level": "loud" }"#,
        r#"{ "levels": {} }"#,
        r#"{ "logs": { "lines_per_second": 0 } }"#,
        "{",
    ] {
        let read = settings(text);
        assert!(read.is_err(), "{text}");
        reload::apply(&control, read);
        assert_eq!(
            control.policy(),
            Policy::with_level(LevelFilter::Debug),
            "{text}"
        );
    }
}
