//! Prints one line a figure and exits with 1 when one misses its target.

use std::process::ExitCode;

use measure::figure::Figure;
use measure::placement;
use measure::policy;

fn main() -> ExitCode {
    let figures = match std::env::args().nth(1).as_deref() {
        Some("placement") => placement::run(),
        Some("policy") => policy::run(),
        _ => {
            eprintln!("usage: measure placement|policy");
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
