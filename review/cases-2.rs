//! The scripts of the second review: stand-ins of the platform's store, of executors and of clients,
//! around processes of the project that are started with the command of the deploy file.
//!
//! `cases-2 CASE FOLDER` runs one case and writes `record.txt` into the folder. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.
//! Everything listens on addresses in 127.0.0.0/8.

#[path = "cases-2-client.rs"]
mod client;
#[path = "cases-2-executor.rs"]
mod executor;
#[path = "cases-2-hosts.rs"]
mod hosts;
#[path = "cases-2-http.rs"]
mod http;
#[path = "cases-2-json.rs"]
mod json;
#[path = "cases-2-kinds.rs"]
mod kinds;
#[path = "cases-2-record.rs"]
mod record;
#[path = "cases-2-store.rs"]
mod store;

use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(usize),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: cases-2 kinds FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "kinds" => kinds::run(&record, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(times) => (format!("the rule was broken {times} times"), 1),
        Verdict::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
