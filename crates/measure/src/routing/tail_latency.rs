//! Tail latency under load and faults, compared with simpler policies on the same scenarios.

use route::config::Limits;

use super::policy::Policy;
use super::policy::RouterOptions;
use super::scenario::Scenario;
use super::scenario::SimulationResult;
use super::scenario::ratio;
use super::simulation::run;
use crate::figure::Figure;

/// Maximum ratio of the p99 of admitted requests under overload to that under the usual load.
const OVERLOAD_P99_RATIO: f64 = 1.25;
/// Minimum utilization of the slots under overload.
const OVERLOAD_UTILIZATION: f64 = 0.95;
/// Maximum mean number of sends per request, from issue 4.
const MAX_SENDS_PER_REQUEST: f64 = 1.1;
/// Maximum fraction of sends that may cross between regions while each region can serve its own
/// load.
const MAX_CROSS_REGION_FRACTION: f64 = 0.01;
/// Control traffic budget of a daemon in bytes per second, from the users' first letter.
const CONTROL_BYTES_PER_S: f64 = 14_000.0;

/// Runs all simulations and returns their figures.
pub(super) fn figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, scenario) in faults() {
        figures.extend(compare_with_simple(name, &scenario));
    }
    figures.extend(overload());
    figures.extend(regions());
    figures.extend(lending());
    figures.extend(variants());
    figures
}

fn faults() -> [(&'static str, Scenario); 4] {
    let usual = Scenario::usual();
    [
        ("usual", usual),
        (
            "skew",
            Scenario {
                skew: Some(0.3),
                ..usual
            },
        ),
        (
            "slow-executors",
            Scenario {
                slow_executors: 3,
                slow_factor: 8.0,
                load: 0.7,
                ..usual
            },
        ),
        (
            "lost-daemon",
            Scenario {
                daemon_lost_ms: Some(10_000),
                load: 0.7,
                ..usual
            },
        ),
    ]
}

fn product() -> Policy {
    Policy::Router(RouterOptions::product())
}

/// Compares the tail latency of the router with the best of the simple policies.
fn compare_with_simple(name: &str, scenario: &Scenario) -> Vec<Figure> {
    let product_result = run(scenario, product());
    let simple = [Policy::RoundRobin, Policy::Random, Policy::LeastLoaded];
    let simple = simple.map(|policy| run(scenario, policy));
    let best = |percentile| {
        simple
            .iter()
            .map(|result| result.percentile_ms(percentile))
            .fold(f64::INFINITY, f64::min)
    };
    let percentile_figure = |label: &str, percentile| {
        let target = best(percentile);
        let value = product_result.percentile_ms(percentile);
        Figure::at_most(format!("{name}-{label}"), value, "ms", target).baseline(target)
    };
    let mut figures = vec![
        percentile_figure("p99", 99.0),
        percentile_figure("p99.9", 99.9),
    ];
    let refused = ratio(product_result.not_run, product_result.requests);
    figures.push(Figure::at_most(
        format!("{name}-not-run"),
        refused,
        "1",
        0.01,
    ));
    figures.push(above_slots(name, &product_result, &simple));
    figures
}

fn above_slots(
    name: &str,
    product_result: &SimulationResult,
    simple: &[SimulationResult; 3],
) -> Figure {
    let part = |result: &SimulationResult| ratio(result.above_slots, result.sends);
    let least = simple.iter().map(part).fold(f64::INFINITY, f64::min);
    Figure::at_most(
        format!("{name}-sends-above-slots"),
        part(product_result),
        "1",
        0.0,
    )
    .baseline(least)
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn overload() -> Vec<Figure> {
    let usual = Scenario::usual();
    let heavy = Scenario { load: 1.5, ..usual };
    let before = run(&usual, product()).percentile_ms(99.0);
    let product_result = run(&heavy, product());
    let simple = run(&heavy, Policy::LeastLoaded).percentile_ms(99.0);
    let served = product_result.answered as f64 / (product_result.requests as f64 / heavy.load);
    let failing = Scenario {
        broken_fraction: 0.2,
        ..heavy
    };
    let failing = run(&failing, product());
    let p99 = product_result.percentile_ms(99.0);
    vec![
        Figure::at_most("overload-p99", p99, "ms", before * OVERLOAD_P99_RATIO).baseline(simple),
        Figure::at_least("overload-use-of-slots", served, "1", OVERLOAD_UTILIZATION),
        Figure::at_most(
            "overload-sends",
            ratio(product_result.sends, product_result.admitted),
            "1",
            MAX_SENDS_PER_REQUEST,
        ),
        Figure::at_most(
            "overload-failing-sends-per-admitted",
            ratio(failing.sends, failing.admitted),
            "1",
            MAX_SENDS_PER_REQUEST,
        ),
    ]
}

fn regions() -> Vec<Figure> {
    let scenario = Scenario {
        regions: 2,
        daemons: 8,
        executors: 64,
        ..Scenario::usual()
    };
    let product_result = run(&scenario, product());
    let random = run(&scenario, Policy::Random);
    let part = |result: &SimulationResult| ratio(result.cross_region, result.sends);
    vec![
        Figure::at_most(
            "sends-across-regions",
            part(&product_result),
            "1",
            MAX_CROSS_REGION_FRACTION,
        )
        .baseline(part(&random)),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn lending() -> Vec<Figure> {
    let scenario = Scenario {
        executors: 660,
        daemons: 9,
        skew: Some(0.3),
        duration_ms: 10_000,
        ..Scenario::usual()
    };
    let product_result = run(&scenario, product());
    let seconds = scenario.duration_ms as f64 / 1e3;
    let most = product_result
        .lending_bytes
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let bytes_per_s = most as f64 / seconds;
    vec![Figure::at_most(
        "lending-bytes-of-the-busiest-660-executors",
        bytes_per_s,
        "B/s",
        CONTROL_BYTES_PER_S,
    )]
}

/// Compares the ways of sharing slots, and the router without hedging or ejection.
fn variants() -> Vec<Figure> {
    let usual = Scenario::usual();
    let skew = Scenario {
        skew: Some(0.3),
        ..usual
    };
    let slow = Scenario {
        slow_executors: 3,
        slow_factor: 8.0,
        load: 0.7,
        ..usual
    };
    let all = RouterOptions::product();
    let limits = Limits::default();
    let forward_only = RouterOptions { lend: false, ..all };
    let lend_only = RouterOptions {
        forward: false,
        ..all
    };
    let divided_only = RouterOptions {
        forward: false,
        ..forward_only
    };
    let no_hedge = RouterOptions {
        hedge: false,
        ..all
    };
    let no_ejection = RouterOptions {
        limits: Limits {
            eject_slow: false,
            ..limits
        },
        ..all
    };
    let cases = [
        ("skew-all", skew, product()),
        ("skew-lent-only", skew, Policy::Router(lend_only)),
        ("skew-divided-only", skew, Policy::Router(divided_only)),
        ("skew-passed-to-holder", skew, Policy::Router(forward_only)),
        ("skew-two-choices", skew, Policy::TwoChoices),
        ("slow-all", slow, product()),
        ("slow-no-hedge", slow, Policy::Router(no_hedge)),
        ("slow-no-ejection", slow, Policy::Router(no_ejection)),
        ("usual-no-hedge", usual, Policy::Router(no_hedge)),
    ];
    cases
        .iter()
        .flat_map(|(name, scenario, policy)| {
            let result = run(scenario, *policy);
            let refused = ratio(result.not_run, result.requests);
            [
                Figure::reported(format!("way-{name}-p99"), result.percentile_ms(99.0), "ms"),
                Figure::reported(format!("way-{name}-not-run"), refused, "1"),
                Figure::reported(
                    format!("way-{name}-sends"),
                    ratio(result.sends, result.admitted),
                    "1",
                ),
                Figure::reported(
                    format!("way-{name}-passed"),
                    ratio(result.forwarded, result.requests),
                    "1",
                ),
            ]
        })
        .collect()
}
