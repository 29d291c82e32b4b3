//! Tests of stored records that no release would write for the job, such as a damaged one. A record
//! that makes a successor panic would end each takeover.

use std::sync::Arc;

use job::id::JobId;
use job::record::JobRecord;
use job::record::TaskRecord;
use job::scheduler::AbandonedRun;
use job::scheduler::Submission;
use job::spec::JobSpec;
use job::spec::Repeat;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Fixture;
use crate::fixture::QUEUE;
use crate::fixture::step;

/// The number of records that are tried.
const RECORDS: u64 = 2_000;

/// Returns a slot that the job may or may not have.
fn slot(rng: &mut impl Rng) -> u32 {
    match rng.random_range(0..10) {
        0 => u32::MAX,
        1 => rng.random_range(0..2_000),
        _ => rng.random_range(0..8),
    }
}

fn slots(rng: &mut impl Rng) -> Vec<u32> {
    let count = rng.random_range(0..6);
    (0..count).map(|_| slot(rng)).collect()
}

fn task(rng: &mut impl Rng) -> TaskRecord {
    let executor = rng.random_bool(0.6);
    TaskRecord {
        slot: slot(rng),
        run: rng.random_range(0..4),
        failures: rng.random_range(0..4),
        failed_gang_runs: (0..rng.random_range(0..3)).collect(),
        stalls: rng.random_range(0..4),
        crashes: rng.random_range(0..6),
        executor: executor.then(|| format!("e{}", rng.random_range(1..6)).into()),
        executor_started_unix_ms: rng.random_bool(0.5).then(|| rng.random_range(0..3_000)),
        address: rng.random_bool(0.5).then(|| "10.0.0.1:80".into()),
        checkpoint: None,
    }
}

fn record(rng: &mut impl Rng) -> JobRecord {
    let abandoned = slots(rng).into_iter().map(|slot| AbandonedRun {
        slot,
        run: u64::from(slot % 3),
        executor: slot
            .is_multiple_of(2)
            .then(|| format!("e{}", slot % 6).into()),
        executor_started_unix_ms: slot.is_multiple_of(3).then_some(u64::from(slot % 3_000)),
    });
    JobRecord {
        state: ['q', 'r', 's', 'f', 'c', '?'][rng.random_range(0..6)],
        done: slots(rng),
        abandoned: abandoned.collect(),
        tasks: (0..rng.random_range(0..8)).map(|_| task(rng)).collect(),
        row_version: None,
    }
}

fn spec(rng: &mut impl Rng) -> JobSpec {
    let gang = rng.random_bool(0.2);
    let mut steps = vec![step(rng.random_range(1..4), 4, 600), step(2, 4, 600)];
    steps[0].gang = gang;
    steps[1].after = vec![0];
    steps[1].long_running = rng.random_bool(0.3);
    JobSpec {
        payload: "payload".into(),
        steps,
        repeat: rng.random_bool(0.2).then_some(Repeat {
            first_due_unix_ms: 0,
            interval_ms: 100,
            times: 2,
        }),
    }
}

#[test]
fn a_successor_goes_on_whatever_a_record_contains() {
    let seed = 20_261_204;
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0..RECORDS {
        let mut fixture = Fixture::new(0);
        let id = JobId::parse(&format!("{number:016x}")).expect("a valid job identifier");
        let submission = Submission {
            id,
            queue: QUEUE.into(),
            age_ms: 0,
            spec: Arc::new(spec(&mut rng)),
            row_version: 1,
            terms: None,
        };
        let record = record(&mut rng);
        let now = fixture.now;
        fixture.scheduler.restore(submission, &record, now);
        let sound = fixture.submit(RECORDS + number, vec![step(1, 4, 600)]);
        fixture.list((1..=5).map(crate::fixture::listing).collect());
        for _ in 0..3 {
            fixture.start_all();
            for executor in 1..=5 {
                fixture.report(executor, vec![]);
            }
            fixture.scheduler.tick(fixture.now);
            fixture.pass(2_000);
        }
        fixture.scheduler.cancel(id);
        fixture.store();
        let state = fixture.scheduler.state(sound).expect("the job is known");
        assert_eq!(state.as_str(), "running", "record {number}: {record:?}");
    }
}
