//! Load generator: callers that send requests and count the outcomes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fake::executor::Echo;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Timeout of a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Outcomes of the requests of all callers.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete responses to the caller's own request.
    pub answered: u64,
    /// Number of requests that were refused and, as reported to the caller, not run.
    pub not_run: u64,
    /// Number of requests for which it is unknown whether they were run.
    pub unknown: u64,
    /// Number of responses reported as answered whose body is incomplete or belongs to another
    /// request.
    pub wrong: u64,
    /// Ids of the requests reported as not run.
    pub not_run_ids: Vec<String>,
    /// Ids of the non-idempotent requests.
    pub non_idempotent_ids: Vec<String>,
    /// Number of requests that were not answered, by status and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latency of the answered requests, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl Counts {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3);
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            not_run_ids: Vec::new(),
            non_idempotent_ids: Vec::new(),
            reasons: BTreeMap::new(),
            latency_us: latency_us.expect("the bounds are in order"),
        }
    }
}

/// The load of a group of callers.
#[derive(Clone, Debug)]
pub struct Load {
    /// Number of callers; each sends one request at a time.
    pub callers: usize,
    /// Mean pause of a caller between two requests.
    pub pause: Duration,
    /// Path prefix of the requests; the id of the request is appended.
    pub path: String,
    /// Percentage of non-idempotent requests.
    pub non_idempotent_percent: u32,
    /// Seed of the callers' random choices.
    pub seed: u64,
}

/// A running group of callers.
pub struct Callers {
    counts: Arc<Mutex<Counts>>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts the callers.
    ///
    /// They choose a random address of `targets` for each request, as a load balancer does. The
    /// owner of the list updates it when daemons start and stop.
    #[must_use]
    pub fn start(load: &Load, targets: &Arc<Mutex<Vec<SocketAddr>>>) -> Self {
        let counts = Arc::new(Mutex::new(Counts::new()));
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for index in 0..load.callers {
            let task = run_caller(
                index,
                load.clone(),
                targets.clone(),
                counts.clone(),
                stop.clone(),
            );
            tasks.spawn(task);
        }
        Self {
            counts,
            stop,
            tasks,
        }
    }

    /// Returns a snapshot of the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Stops the callers, waits for their requests in flight, and returns the counts.
    pub async fn finish(mut self) -> Counts {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        self.counts()
    }
}

async fn run_caller(
    index: usize,
    load: Load,
    targets: Arc<Mutex<Vec<SocketAddr>>>,
    counts: Arc<Mutex<Counts>>,
    stop: CancellationToken,
) {
    let mut rng = SmallRng::seed_from_u64(load.seed + index as u64);
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .timeout(CALLER_TIMEOUT)
        .build()
        .unwrap_or_default();
    let mut number = 0_u64;
    while !stop.is_cancelled() {
        number += 1;
        let target = {
            let targets = targets.lock().unwrap_or_else(PoisonError::into_inner);
            targets
                .get(rng.random_range(0..targets.len().max(1)))
                .copied()
        };
        if let Some(target) = target {
            let id = format!("{}-{index}-{number}", load.seed);
            let non_idempotent = rng.random_range(0..100) < load.non_idempotent_percent;
            send_request(&http, target, &load.path, id, non_idempotent, &counts).await;
        }
        let pause = load.pause.mul_f64(rng.random_range(0.5..1.5));
        tokio::select! {
            () = sleep(pause) => {}
            () = stop.cancelled() => {}
        }
    }
}

async fn send_request(
    http: &reqwest::Client,
    target: SocketAddr,
    path: &str,
    id: String,
    non_idempotent: bool,
    counts: &Arc<Mutex<Counts>>,
) {
    let url = format!("http://{target}{path}/{id}");
    let req = if non_idempotent {
        http.post(url)
    } else {
        http.get(url)
    };
    let req = req
        .header("ff-request-id", &id)
        .header("ff-caller", "quickstart");
    let started = Instant::now();
    let result = classify(req, &id).await;
    let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    counts.sent += 1;
    match result {
        RequestResult::Answered => {
            counts.answered += 1;
            counts.latency_us.saturating_record(took);
        }
        RequestResult::NotRun(reason) => {
            counts.not_run += 1;
            counts.not_run_ids.push(id.clone());
            *counts.reasons.entry(reason).or_default() += 1;
        }
        RequestResult::Unknown(reason) => {
            counts.unknown += 1;
            *counts.reasons.entry(reason).or_default() += 1;
        }
        RequestResult::Wrong => counts.wrong += 1,
    }
    if non_idempotent {
        counts.non_idempotent_ids.push(id);
    }
}

enum RequestResult {
    Answered,
    NotRun(String),
    Unknown(String),
    Wrong,
}

async fn classify(req: reqwest::RequestBuilder, id: &str) -> RequestResult {
    let res = match req.send().await {
        Ok(res) => res,
        Err(error) if error.is_connect() => return RequestResult::NotRun("no connection".into()),
        Err(error) => return RequestResult::Unknown(error.to_string()),
    };
    let status = res.status();
    let outcome = res
        .headers()
        .get("ff-outcome")
        .and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or("unknown").to_owned();
    let body = res.bytes().await;
    match (outcome.as_str(), body) {
        ("answered", Ok(body)) => match serde_json::from_slice::<Echo>(&body) {
            Ok(echo) if echo.id == id => RequestResult::Answered,
            _ => RequestResult::Wrong,
        },
        ("answered", Err(error)) => RequestResult::Unknown(error.to_string()),
        ("not-run", body) => RequestResult::NotRun(refusal_reason(status, body.ok())),
        (_, body) => RequestResult::Unknown(refusal_reason(status, body.ok())),
    }
}

fn refusal_reason(status: reqwest::StatusCode, body: Option<bytes::Bytes>) -> String {
    let body = body.unwrap_or_default();
    format!(
        "{} {}",
        status.as_u16(),
        String::from_utf8_lossy(&body).trim()
    )
}
