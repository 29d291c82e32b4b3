//! Clients: they hand jobs in, again after an answer that leaves the outcome open, and ask for states.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

pub const HOST: &str = "cases.example";
pub const PREFIX: &str = "/q/";
const LIMIT: Duration = Duration::from_secs(3);
const MAX_TRIES: usize = 5;

/// The jobs that were accepted.
#[derive(Clone, Default)]
pub struct Accepted(Arc<Mutex<Vec<String>>>);

impl Accepted {
    pub fn ids(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }
}

/// Hands in a job in the background.
pub fn submit(fronts: &[String], number: usize, body: &str, accepted: &Accepted, record: &Record) {
    let (fronts, body, accepted) = (fronts.to_vec(), body.to_owned(), accepted.clone());
    let record = record.clone();
    std::thread::spawn(move || {
        let id = format!("{number:016x}");
        for attempt in 0..MAX_TRIES {
            let front = &fronts[(number + attempt) % fronts.len()];
            let path = format!("{PREFIX}{id}");
            let answer = http::call(front, "POST", &path, HOST, &body, LIMIT);
            let status = answer.map(|(status, _)| status);
            record.line(&format!("client hands in {id}: {status:?}"));
            match status {
                Some(200..=299) => {
                    accepted.0.lock().unwrap().push(id);
                    return;
                }
                Some(400..=409) => return,
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
    });
}

/// Asks for the state of a job until it is final or the time is over.
pub fn final_state(fronts: &[String], id: &str, until: Instant) -> String {
    let mut state = "no answer".to_owned();
    let mut turn = 0;
    loop {
        let front = &fronts[turn % fronts.len()];
        turn += 1;
        let path = format!("{PREFIX}{id}");
        if let Some((status, body)) = http::call(front, "GET", &path, HOST, "", LIMIT) {
            state = match status {
                200 => body.get("state").text().to_owned(),
                other => format!("status {other}"),
            };
            if ["succeeded", "failed", "cancelled"].contains(&state.as_str()) {
                return state;
            }
        }
        if Instant::now() >= until {
            return state;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}
