use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fake::object::FakeObjects;
use fake::worker::AgentConfig;
use fake::worker::FakeWorker;
use fake::worker::Ledger;
use fake::worker::Program;
use model::Clock;
use model::Size;
use model::id::Attempt;
use model::id::ClassId;
use model::id::Epoch;
use model::id::TaskId;
use plat::call::call;
use plat::client::Client;
use plat::error::CallError;
use plat::worker;
use plat::worker::Addressed;
use plat::worker::Command;
use plat::worker::Following;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;
use plat::worker::follow;
use plat::worker::http::Bounds;

use crate::support::LONG;
use crate::support::LOOPBACK;
use crate::support::MAX_BYTES;
use crate::support::concluded;
use crate::support::endpoint;
use crate::support::fault_cases;

const LEASE_MS: u64 = 600_000;

fn fake_worker(ledger: &Ledger) -> FakeWorker {
    let size = Size::new(1000, 1000, 0);
    let cfg = AgentConfig {
        capacity: size,
        lag: Duration::ZERO,
        programs: Arc::new(move |_| Program::batch(size, LONG)),
        interference: None,
    };
    FakeWorker::new("worker-1", cfg, ledger, &FakeObjects::new())
}

fn message(epoch: u64, commands: Vec<Command>) -> WorkerMessage {
    WorkerMessage {
        epoch: Epoch(epoch),
        lease_ms: LEASE_MS,
        commands,
    }
}

fn start() -> Command {
    Command::Start {
        task: TaskId::from("task-1"),
        attempt: Attempt(1),
        class: ClassId::from("ice-jam"),
        size: Size::new(1000, 1000, 0),
        checkpoint: None,
    }
}

#[tokio::test]
async fn a_start_over_the_wire_concludes_no_more_than_each_fault_allows() {
    for (fault, expected, carried_out) in fault_cases() {
        let ledger = Ledger::new(Clock::start());
        let fake = fake_worker(&ledger);
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        let address = server.address();
        let bounds = Bounds {
            deadline: endpoint(address, fault.as_ref()).deadline,
            max_answer_bytes: MAX_BYTES,
        };
        let client = Client::to_hosts("test").expect("the HTTP client is made");
        let workers = worker::http(&client, bounds);
        let hello = message(1, Vec::new());
        let hello = (workers.send)(Addressed {
            address,
            message: hello,
        })
        .await;
        assert!(hello.is_ok(), "{hello:?}");
        if let Some(fault) = &fault {
            fake.faults().next(fault.clone(), 1);
        }
        let message = message(1, vec![start()]);
        let report = (workers.send)(Addressed { address, message }).await;
        let report = report.map_err(|error| match error {
            WorkerError::Call(error) => error,
            WorkerError::Fenced { .. } => panic!("nobody else owns the shard"),
        });
        assert_eq!(concluded(&report), expected, "{fault:?}");
        assert_eq!(ledger.tally().begun, carried_out as usize, "{fault:?}");
        if let Ok(report) = report {
            assert_eq!(report.runs[0].state, RunState::Running);
        }
    }
}

#[tokio::test]
async fn a_lower_epoch_is_fenced_over_the_wire() {
    let ledger = Ledger::new(Clock::start());
    let server = fake_worker(&ledger)
        .serve(LOOPBACK)
        .await
        .expect("a port is free");
    let address = server.address();
    let client = Client::to_hosts("test").expect("the HTTP client is made");
    let [old, new] = [(); 2].map(|()| worker::http(&client, Bounds::default()));
    let send = |epoch, commands| Addressed {
        address,
        message: message(epoch, commands),
    };
    assert!((old.send)(send(1, Vec::new())).await.is_ok());
    assert!((new.send)(send(2, Vec::new())).await.is_ok());
    let fenced = WorkerError::Fenced { epoch: Epoch(2) };
    assert_eq!((old.send)(send(1, vec![start()])).await, Err(fenced));
    assert_eq!(ledger.tally().begun, 0);
}

#[tokio::test]
async fn every_message_follows_a_report_and_a_failure_asks_for_a_new_one_first() {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (seen, fails) = (sent.clone(), [3]);
    let workers = follow(call(move |following: Following| {
        let mut seen = seen.lock().expect("no test panics with it locked");
        let grants = following.to.message.lease_ms > 0;
        seen.push((following.after, grants));
        let number = seen.len();
        let report = WorkerReport {
            epoch: Epoch(1),
            sequence: 100 + number as u64,
            age_ms: 0,
            runs: Vec::new(),
        };
        async move {
            if fails.contains(&number) {
                return Err(CallError::Unknown("lost".to_owned()).into());
            }
            Ok(report)
        }
    }));
    for _ in 0..4 {
        let message = message(1, vec![start()]);
        let to = Addressed {
            address: LOOPBACK,
            message,
        };
        let _lost_once = (workers.send)(to).await;
    }
    let expected = vec![
        (None, false),
        (Some(101), true),
        (Some(102), true),
        (None, false),
        (Some(104), true),
        (Some(105), true),
    ];
    assert_eq!(
        *sent.lock().expect("no test panics with it locked"),
        expected
    );
}
