//! Runs one measurement and prints one line per figure.
//!
//! Exits with 1 if a target is missed, and with 2 if the measurement is not known.

use std::process::ExitCode;

use measure::figure::Figure;

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let figures: Vec<Figure> = match name.as_str() {
        "routing" => measure::routing::run(),
        "placement" => measure::placement::run(),
        "policy" => measure::policy::run(),
        "configuration" => measure::configuration::run(),
        "capacity" => measure::capacity::run(),
        "jobs" => measure::jobs::run(),
        "fleet" => measure::fleet_load::run(),
        "logs" => measure::logs::run(),
        _ => {
            eprintln!(
                "measure: expected one of: routing, placement, policy, configuration, capacity, jobs, fleet, logs"
            );
            return ExitCode::from(2);
        }
    };
    for figure in &figures {
        println!("{figure}");
    }
    if figures.iter().all(Figure::met) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
