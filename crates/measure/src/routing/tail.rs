//! The tail under load and faults, against simpler policies in the same run.

use route::config::Limits;

use super::bench::run;
use super::policy::Policy;
use super::policy::Routed;
use super::scenario::Found;
use super::scenario::Scenario;
use super::scenario::ratio;
use crate::figure::Figure;

/// How much the tail of what is admitted may rise from the usual load to overload.
const OVERLOAD_RISE: f64 = 1.25;
/// How much of the slots' capacity has to be used under overload.
const OVERLOAD_USE: f64 = 0.95;
/// The most sends per request, from issue 4.
const SENDS: f64 = 1.1;
/// The largest part of the requests that may cross between regions while each can serve its own.
const CROSSING: f64 = 0.01;
/// What a node may spend on control, in bytes a second, from the users' first letter.
const CONTROL_BYTES: f64 = 14_000.0;

/// Returns the figures of the discrete loop.
pub(super) fn figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (name, scenario) in faults() {
        figures.extend(against_simple(name, &scenario));
    }
    figures.extend(overload());
    figures.extend(regions());
    figures.extend(lending());
    figures.extend(weighed());
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
                slow: 3,
                slow_factor: 8.0,
                load: 0.7,
                ..usual
            },
        ),
        (
            "lost-daemon",
            Scenario {
                lost_ms: Some(10_000),
                load: 0.7,
                ..usual
            },
        ),
    ]
}

fn product() -> Policy {
    Policy::Routed(Routed::product())
}

/// Returns the tail of the product against the best of the simple policies.
fn against_simple(name: &str, scenario: &Scenario) -> Vec<Figure> {
    let ours = run(scenario, product());
    let simple = [Policy::RoundRobin, Policy::Random, Policy::LeastLoaded];
    let simple = simple.map(|policy| run(scenario, policy));
    let best = |percentile| {
        simple
            .iter()
            .map(|found| found.percentile_ms(percentile))
            .fold(f64::INFINITY, f64::min)
    };
    let tail = |label: &str, percentile| {
        let target = best(percentile);
        let value = ours.percentile_ms(percentile);
        Figure::at_most(format!("{name}-{label}"), value, "ms", target).baseline(target)
    };
    let mut figures = vec![tail("p99", 99.0), tail("p99.9", 99.9)];
    let refused = ratio(ours.not_run, ours.requests);
    figures.push(Figure::at_most(
        format!("{name}-not-run"),
        refused,
        "1",
        0.01,
    ));
    figures.push(above_slots(name, &ours, &simple));
    figures
}

fn above_slots(name: &str, ours: &Found, simple: &[Found; 3]) -> Figure {
    let part = |found: &Found| ratio(found.above_slots, found.sends);
    let least = simple.iter().map(part).fold(f64::INFINITY, f64::min);
    Figure::at_most(format!("{name}-sends-above-slots"), part(ours), "1", 0.0).baseline(least)
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn overload() -> Vec<Figure> {
    let usual = Scenario::usual();
    let heavy = Scenario { load: 1.5, ..usual };
    let before = run(&usual, product()).percentile_ms(99.0);
    let ours = run(&heavy, product());
    let simple = run(&heavy, Policy::LeastLoaded).percentile_ms(99.0);
    let served = ours.answered as f64 / (ours.requests as f64 / heavy.load);
    let failing = Scenario {
        broken: 0.2,
        ..heavy
    };
    let failing = run(&failing, product());
    let p99 = ours.percentile_ms(99.0);
    vec![
        Figure::at_most("overload-p99", p99, "ms", before * OVERLOAD_RISE).baseline(simple),
        Figure::at_least("overload-use-of-slots", served, "1", OVERLOAD_USE),
        Figure::at_most(
            "overload-sends",
            ratio(ours.sends, ours.admitted),
            "1",
            SENDS,
        ),
        Figure::at_most(
            "overload-failing-sends-per-admitted",
            ratio(failing.sends, failing.admitted),
            "1",
            SENDS,
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
    let ours = run(&scenario, product());
    let random = run(&scenario, Policy::Random);
    let part = |found: &Found| ratio(found.far, found.sends);
    vec![
        Figure::at_most("sends-across-regions", part(&ours), "1", CROSSING).baseline(part(&random)),
    ]
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn lending() -> Vec<Figure> {
    let scenario = Scenario {
        executors: 660,
        daemons: 9,
        skew: Some(0.3),
        span_ms: 10_000,
        ..Scenario::usual()
    };
    let ours = run(&scenario, product());
    let seconds = scenario.span_ms as f64 / 1e3;
    let most = ours.lending_bytes.iter().max().copied().unwrap_or_default();
    let each = most as f64 / seconds;
    vec![Figure::at_most(
        "lending-bytes-of-the-busiest-660-executors",
        each,
        "B/s",
        CONTROL_BYTES,
    )]
}

/// Returns the three ways of sharing slots, and the product without one of its parts.
fn weighed() -> Vec<Figure> {
    let usual = Scenario::usual();
    let skew = Scenario {
        skew: Some(0.3),
        ..usual
    };
    let slow = Scenario {
        slow: 3,
        slow_factor: 8.0,
        load: 0.7,
        ..usual
    };
    let all = Routed::product();
    let limits = Limits::default();
    let passed = Routed { lend: false, ..all };
    let lent = Routed { pass: false, ..all };
    let divided = Routed {
        pass: false,
        ..passed
    };
    let unhedged = Routed {
        hedge: false,
        ..all
    };
    let kept = Routed {
        limits: Limits {
            eject_slow: false,
            ..limits
        },
        ..all
    };
    let ways = [
        ("skew-all", skew, product()),
        ("skew-lent-only", skew, Policy::Routed(lent)),
        ("skew-divided-only", skew, Policy::Routed(divided)),
        ("skew-passed-to-holder", skew, Policy::Routed(passed)),
        ("skew-two-choices", skew, Policy::TwoChoices),
        ("slow-all", slow, product()),
        ("slow-no-hedge", slow, Policy::Routed(unhedged)),
        ("slow-no-ejection", slow, Policy::Routed(kept)),
        ("usual-no-hedge", usual, Policy::Routed(unhedged)),
    ];
    ways.iter()
        .flat_map(|(name, scenario, policy)| {
            let found = run(scenario, *policy);
            let refused = ratio(found.not_run, found.requests);
            [
                Figure::reported(format!("way-{name}-p99"), found.percentile_ms(99.0), "ms"),
                Figure::reported(format!("way-{name}-not-run"), refused, "1"),
                Figure::reported(
                    format!("way-{name}-sends"),
                    ratio(found.sends, found.admitted),
                    "1",
                ),
                Figure::reported(
                    format!("way-{name}-passed"),
                    ratio(found.passed, found.requests),
                    "1",
                ),
            ]
        })
        .collect()
}
