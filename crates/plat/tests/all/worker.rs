use std::sync::Arc;
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
use plat::client::Client;
use plat::worker;
use plat::worker::Command;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerRequest;
use plat::worker::http::CallLimits;

use crate::support::LONG;
use crate::support::LOOPBACK;
use crate::support::MAX_BYTES;
use crate::support::call_outcome;
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

fn message(epoch: u64, sequence: u64, last_report: u64, commands: Vec<Command>) -> WorkerMessage {
    WorkerMessage {
        epoch: Epoch(epoch),
        sequence,
        last_report,
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
async fn a_start_over_http_reports_the_outcome_that_each_fault_permits() {
    for (fault, expected, executions) in fault_cases() {
        let ledger = Ledger::new(Clock::start());
        let fake = fake_worker(&ledger);
        let server = fake.serve(LOOPBACK).await.expect("a port is free");
        let address = server.address();
        let limits = CallLimits {
            timeout: endpoint(address, fault.as_ref()).timeout,
            max_response_bytes: MAX_BYTES,
        };
        let client = Client::for_hosts("test").expect("the HTTP client is made");
        let workers = worker::http(&client, limits);
        let first = message(1, 1, 0, Vec::new());
        let first = (workers.send)(WorkerRequest {
            address,
            message: first,
        })
        .await;
        let last_report = first.expect("no fault is set").sequence;
        if let Some(fault) = &fault {
            fake.faults().set_next(fault.clone(), 1);
        }
        let message = message(1, 2, last_report, vec![start()]);
        let report = (workers.send)(WorkerRequest { address, message }).await;
        let report = report.map_err(|error| match error {
            WorkerError::Call(error) => error,
            WorkerError::Fenced { .. } => panic!("the shard has no other owner"),
        });
        assert_eq!(call_outcome(&report), expected, "{fault:?}");
        assert_eq!(ledger.counts().started, executions as usize, "{fault:?}");
        if let Ok(report) = report {
            assert_eq!(report.runs[0].state, RunState::Running);
        }
    }
}

#[tokio::test]
async fn a_lower_epoch_is_fenced_over_http() {
    let ledger = Ledger::new(Clock::start());
    let server = fake_worker(&ledger)
        .serve(LOOPBACK)
        .await
        .expect("a port is free");
    let address = server.address();
    let client = Client::for_hosts("test").expect("the HTTP client is made");
    let [old, new] = [(); 2].map(|()| worker::http(&client, CallLimits::default()));
    let send = |epoch, commands| WorkerRequest {
        address,
        message: message(epoch, 1, 0, commands),
    };
    assert!((old.send)(send(1, Vec::new())).await.is_ok());
    assert!((new.send)(send(2, Vec::new())).await.is_ok());
    let fenced = WorkerError::Fenced { epoch: Epoch(2) };
    assert_eq!((old.send)(send(1, vec![start()])).await, Err(fenced));
    assert_eq!(ledger.counts().started, 0);
}
