//! Executors. Each has one address and one life after another; a life runs tasks, holds a lease, lists
//! ends until they are acknowledged, and writes its entry into the store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
pub const HOLD_MAX_MS: u64 = 10_000;
const TICK: Duration = Duration::from_millis(5);

/// What the executors of a case have in common.
pub struct Kind {
    pub service: &'static str,
    /// How long a task works.
    pub work: Duration,
    /// How many tasks fit. All tasks of a case have the same size.
    pub slots: usize,
}

/// One start, as the executor saw it.
#[derive(Clone)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub label: String,
    /// Whether this life had answered a poll, which tells when it was born, before the start arrived.
    pub after_poll: bool,
}

struct Run {
    run: u64,
    until: Instant,
}

struct Life {
    id: String,
    number: u64,
    born: u64,
    begun: Instant,
    label: String,
    fence: u64,
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    ended: BTreeMap<String, u64>,
    lease_until_ms: u64,
    sequence: u64,
    was_polled: bool,
}

struct State {
    life: Life,
    /// Whether the machine has no power, so that nothing answers and no new connection is accepted.
    is_off: bool,
    /// Connections of lives before this number are closed.
    lives: u64,
    starts: Vec<Start>,
}

pub struct Executor {
    pub address: String,
    name: String,
    rack: String,
    zone: String,
    kind: Arc<Kind>,
    state: Mutex<State>,
    changed: Condvar,
    store: Store,
    record: Record,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Life {
    fn new(id: &str, number: u64, label: &str) -> Self {
        Self {
            id: id.to_owned(),
            number,
            born: unix_ms(),
            begun: Instant::now(),
            label: label.to_owned(),
            fence: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            ended: BTreeMap::new(),
            lease_until_ms: 0,
            sequence: 0,
            was_polled: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.finished
            .push((self.next_end, task.to_owned(), run, how));
        self.next_end += 1;
        let ended = self.ended.entry(task.to_owned()).or_default();
        *ended = run.max(*ended);
    }

    fn extend_lease(&mut self, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            let longest = self.clock_ms() + HOLD_MAX_MS;
            self.lease_until_ms = self.lease_until_ms.max(deadline.min(longest));
        }
    }
}

impl Executor {
    pub fn start(
        name: &str,
        address: &str,
        (label, rack, zone): (&str, &str, &str),
        kind: &Arc<Kind>,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let executor = Arc::new(Self {
            address: address.to_owned(),
            name: name.to_owned(),
            rack: rack.to_owned(),
            zone: zone.to_owned(),
            kind: kind.clone(),
            state: Mutex::new(State {
                life: Life::new(&format!("{name}-1"), 1, label),
                is_off: false,
                lives: 1,
                starts: Vec::new(),
            }),
            changed: Condvar::new(),
            store: store.clone(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address)?;
        executor.listen(listener, 1);
        executor.beat();
        let ticking = executor.clone();
        std::thread::spawn(move || ticking.tick());
        Ok(executor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns all starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.lock().starts.clone()
    }

    pub fn label(&self) -> String {
        self.lock().life.label.clone()
    }

    /// Ends the present life without a word. With `is_silent` the machine loses power: its connections
    /// stay silent until it is back. Otherwise the process has crashed and they are closed.
    pub fn crash(&self, is_silent: bool) {
        let mut state = self.lock();
        state.is_off = true;
        if !is_silent {
            state.lives += 1;
        }
        let how = if is_silent { "loses power" } else { "crashes" };
        let runs = state.life.running.len();
        self.record
            .line(&format!("{} {how}, {runs} runs are lost", state.life.id));
        state.life.running.clear();
        drop(state);
        self.changed.notify_all();
    }

    /// Begins the next life, under the same id or another.
    pub fn restart(self: &Arc<Self>, has_same_id: bool, label: &str) {
        let number = {
            let mut state = self.lock();
            let number = state.life.number + 1;
            let id = if has_same_id {
                state.life.id.clone()
            } else {
                format!("{}-{number}", self.name)
            };
            state.life = Life::new(&id, number, label);
            state.lives = state.lives.max(number);
            state.is_off = false;
            self.record.line(&format!(
                "{id} begins, born {}, label {label}",
                state.life.born
            ));
            number
        };
        self.changed.notify_all();
        // The entry is there before the executor can be called.
        self.beat();
        let mut tries = 0;
        loop {
            match TcpListener::bind(&self.address) {
                Ok(listener) => return self.listen(listener, number),
                Err(error) if tries > 200 => {
                    self.record.line(&format!("{}: {error}", self.address));
                    return;
                }
                Err(_) => tries += 1,
            }
            std::thread::sleep(TICK);
        }
    }

    /// Accepts connections until the life with this number has ended.
    fn listen(self: &Arc<Self>, listener: TcpListener, life: u64) {
        let executor = self.clone();
        std::thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            loop {
                {
                    let state = executor.lock();
                    if state.is_off || state.life.number != life {
                        return;
                    }
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let executor = executor.clone();
                        std::thread::spawn(move || executor.serve(stream, life));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Waits until the machine has power. Returns whether the life goes on that a connection belongs to.
    fn goes_on(&self, life: u64) -> bool {
        let mut state = self.lock();
        while state.is_off && state.lives <= life {
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(100))
                .unwrap()
                .0;
        }
        state.life.number == life && !state.is_off
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(closer)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        let watching = self.clone();
        std::thread::spawn(move || {
            let mut state = watching.lock();
            while state.life.number == life && state.lives <= life {
                state = watching
                    .changed
                    .wait_timeout(state, Duration::from_millis(200))
                    .unwrap()
                    .0;
            }
            let _ = closer.shutdown(std::net::Shutdown::Both);
        });
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if !self.goes_on(life) {
                return;
            }
            let (status, body) = self.answer(&request, life);
            if !self.goes_on(life) || !http::write_response(&mut writer, status, &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, life: u64) -> (u16, Json) {
        let body = request.json();
        let mut state = self.lock();
        if state.life.number != life || state.is_off {
            return (503, Json::Null);
        }
        if request.header("Fireflynotch-Expect-Instance") != state.life.id {
            return (421, Json::Null);
        }
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < state.life.fence {
            return refusal(&state.life, "fence");
        }
        state.life.fence = token;
        match request.path() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => {
                let (task, run) = run_of(&body);
                let life = &mut state.life;
                if life
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run)
                {
                    life.running.remove(&task);
                    life.end(&task, run, "stopped");
                    self.record
                        .line(&format!("{} stops {task} run {run}", life.id));
                    self.changed.notify_all();
                } else {
                    let ended = life.ended.entry(task).or_default();
                    *ended = run.max(*ended);
                }
                (200, clock(life))
            }
            "/pace" => (200, clock(&state.life)),
            "/hold" => self.hold(state, &body, life),
            _ => (404, Json::Null),
        }
    }

    fn run_start(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let (task, run) = run_of(body);
        let life = &mut state.life;
        let deadline = body.get("deadline_ms").number();
        if deadline.is_none_or(|deadline| deadline <= life.clock_ms()) {
            return refusal(life, "late");
        }
        life.extend_lease(deadline);
        if life
            .running
            .get(&task)
            .is_some_and(|known| known.run == run)
        {
            return (200, clock(life));
        }
        if life.ended.get(&task).is_some_and(|ended| run <= *ended) {
            return refusal(life, "old");
        }
        if life.running.len() >= self.kind.slots {
            return refusal(life, "room");
        }
        let until = Instant::now() + self.kind.work;
        life.running.insert(task.clone(), Run { run, until });
        self.record.line(&format!(
            "{} ({}) starts {task} run {run}",
            life.id, life.label
        ));
        let start = Start {
            task,
            run,
            label: life.label.clone(),
            after_poll: life.was_polled,
        };
        state.starts.push(start);
        (200, clock(&state.life))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json, life: u64) -> (u16, Json) {
        let acknowledged = body.get("ack_seq").number().unwrap_or(0);
        state.life.finished.retain(|end| end.0 > acknowledged);
        state.life.extend_lease(body.get("deadline_ms").number());
        let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.life.number == life && state.life.finished.is_empty() && !state.is_off {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        if state.life.number != life || state.is_off {
            return (503, Json::Null);
        }
        let life = &mut state.life;
        life.was_polled = true;
        let running = life.running.iter().map(|(task, run)| {
            let left = run.until.saturating_duration_since(Instant::now());
            let part = 1.0 - left.as_secs_f64() / self.kind.work.as_secs_f64();
            let percent = (part * 100.0).floor().clamp(0.0, 99.0);
            let row = vec![
                text(task),
                number(run.run),
                text(""),
                Json::Number(percent),
                number(1_000),
            ];
            Json::List(row)
        });
        let running = running.collect();
        let finished = life.finished.iter().take(500).map(|(end, task, run, how)| {
            Json::List(vec![
                number(*end),
                text(task),
                number(*run),
                text(how),
                text(""),
            ])
        });
        let body = object(vec![
            ("clock_ms", number(life.clock_ms())),
            ("born", number(life.born)),
            ("running", Json::List(running)),
            ("finished", Json::List(finished.collect())),
        ]);
        (200, body)
    }

    /// Ends runs that are done, and all runs once the lease has lapsed; writes the entry.
    fn tick(self: Arc<Self>) {
        let mut beaten = Instant::now();
        loop {
            std::thread::sleep(TICK);
            if beaten.elapsed() >= HEARTBEAT {
                beaten = Instant::now();
                self.beat();
            }
            let mut state = self.lock();
            if state.is_off {
                continue;
            }
            let life = &mut state.life;
            let now = Instant::now();
            let has_lapsed = life.clock_ms() >= life.lease_until_ms;
            let due = life
                .running
                .iter()
                .filter(|(_, run)| has_lapsed || run.until <= now);
            let due: Vec<(String, u64)> = due.map(|(task, run)| (task.clone(), run.run)).collect();
            for (task, run) in &due {
                life.running.remove(task);
                let how = if has_lapsed { "lapsed" } else { "done" };
                life.end(task, *run, how);
                self.record
                    .line(&format!("{} ends {task} run {run}: {how}", life.id));
            }
            drop(state);
            if !due.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    /// Writes the entry into the store, and has the platform remove that of a life that is gone.
    fn beat(&self) {
        let (id, entry) = {
            let mut state = self.lock();
            if state.is_off {
                return;
            }
            let life = &mut state.life;
            life.sequence += 1;
            let capacity = object(vec![
                ("cpu", number(64_000)),
                ("mem_mb", number(250_000)),
                ("gpu", number(0)),
            ]);
            let entry = object(vec![
                ("service", text(self.kind.service)),
                ("address", text(&self.address)),
                ("zone", text(&self.zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                ("state", text("ready")),
                ("cold_remaining_ms", number(0)),
                ("sequence", number(life.sequence)),
                ("capacity", capacity),
                (
                    "labels",
                    Json::List(vec![text(&life.label), text(&self.rack)]),
                ),
                ("clock_ms", number(life.clock_ms())),
                ("born", number(life.born)),
            ]);
            (life.id.clone(), entry)
        };
        self.store.put("servers", &id, &entry.to_string());
    }
}

fn run_of(body: &Json) -> (String, u64) {
    let run = body.get("run").number().unwrap_or(0);
    (body.get("task").text().to_owned(), run)
}

fn clock(life: &Life) -> Json {
    object(vec![("clock_ms", number(life.clock_ms()))])
}

fn refusal(life: &Life, reason: &str) -> (u16, Json) {
    let body = object(vec![
        ("clock_ms", number(life.clock_ms())),
        ("reason", text(reason)),
    ]);
    (409, body)
}
