//! Tail latency of services and throughput of batch work under the scheduling policy, in a
//! closed-loop simulation.
//!
//! A small simulated cluster, whose interference the policy does not know, runs for one simulated
//! hour. On the same arrivals and loads, the policy is compared with a variant that does not learn,
//! one that only evicts, and an oracle that knows interference, loads and task sizes without delay.

mod batch_job;
mod cluster;
mod interference;
mod oracle;
mod tail_latency;
mod trial;

use crate::figure::Figure;
use crate::policy::cluster::Scenario;
use crate::policy::trial::Outcome;
use crate::policy::trial::Strategy;

/// Seeds of the runs; every figure is computed from means over them.
pub const SEEDS: [u64; 4] = [20_261_203, 20_261_204, 20_261_205, 20_261_206];
/// Maximum p99 relative to the oracle's, from issue 5.
const P99_RATIO: f64 = 1.10;
/// Minimum batch throughput relative to the oracle's, from issue 5.
const THROUGHPUT_RATIO: f64 = 0.90;
/// Maximum evictions relative to the policy that only evicts, from issue 5.
const EVICTIONS_RATIO: f64 = 0.25;

const SCENARIOS: [Scenario; 6] = [
    Scenario::named("steady"),
    Scenario {
        load_shifts: true,
        ..Scenario::named("load-shifts")
    },
    Scenario {
        noisy_waves: true,
        ..Scenario::named("noisy-waves")
    },
    Scenario {
        wrong_sizes: true,
        ..Scenario::named("wrong-sizes")
    },
    Scenario {
        load_shifts: true,
        noisy_waves: true,
        wrong_sizes: true,
        lag_s: 5,
        ..Scenario::named("all-lag-5s")
    },
    Scenario {
        load_shifts: true,
        noisy_waves: true,
        wrong_sizes: true,
        lag_s: 30,
        ..Scenario::named("all-lag-30s")
    },
];

/// Runs every scenario under every strategy.
#[must_use]
pub fn run() -> Vec<Figure> {
    println!("# seeds {SEEDS:?}");
    SCENARIOS.iter().flat_map(compare).collect()
}

fn compare(scenario: &Scenario) -> Vec<Figure> {
    let mean = |strategy| trial::mean_outcome(scenario, strategy);
    let policy = mean(Strategy::Policy);
    let no_learning = mean(Strategy::NoLearning);
    let evict_only = mean(Strategy::EvictOnly);
    let oracle = mean(Strategy::Oracle);
    print(scenario, "policy", &policy);
    print(scenario, "no-learning", &no_learning);
    print(scenario, "evict-only", &evict_only);
    print(scenario, "oracle", &oracle);
    let name = |figure: &str| format!("policy-{}-{figure}", scenario.name);
    vec![
        Figure::at_most(
            name("p99-vs-oracle"),
            policy.p99 / oracle.p99,
            "1",
            P99_RATIO,
        )
        .baseline(no_learning.p99 / oracle.p99),
        Figure::at_least(
            name("throughput-vs-oracle"),
            policy.cores / oracle.cores,
            "1",
            THROUGHPUT_RATIO,
        )
        .baseline(no_learning.cores / oracle.cores),
        Figure::at_most(
            name("evictions-vs-evict-only"),
            policy.evictions / evict_only.evictions.max(1.0),
            "1",
            EVICTIONS_RATIO,
        )
        .baseline(no_learning.evictions / evict_only.evictions.max(1.0)),
    ]
}

fn print(scenario: &Scenario, strategy: &str, outcome: &Outcome) {
    println!(
        "# {} {strategy}: p99 {:.3} of the target, {:.1} cores of batch, {:.1} evictions, {:.1} throttles, {:.1} failures",
        scenario.name,
        outcome.p99,
        outcome.cores,
        outcome.evictions,
        outcome.throttles,
        outcome.failures
    );
}
