//! Metrics of the limits on clients, by port.

use std::sync::atomic::Ordering;

use link::gate::Gate;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::register;

/// The `port` label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PortLabel {
    port: &'static str,
}

/// The labels of an enforced limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitedLabel {
    port: &'static str,
    reason: &'static str,
}

/// What clients use and how often they were limited.
#[derive(Default)]
pub(super) struct ClientMetrics {
    connections: Family<PortLabel, Gauge>,
    memory: Family<PortLabel, Gauge>,
    peak_memory: Family<PortLabel, Gauge>,
    limited: Family<LimitedLabel, Counter>,
}

impl ClientMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        register(
            registry,
            "client_connections",
            "Open connections of clients",
            &self.connections,
        );
        register(
            registry,
            "client_memory_bytes",
            "Memory reserved for clients",
            &self.memory,
        );
        register(
            registry,
            "client_memory_peak_bytes",
            "Highest memory reserved for clients since the start",
            &self.peak_memory,
        );
        register(
            registry,
            "clients_limited",
            "Requests refused and connections closed because of a limit",
            &self.limited,
        );
    }

    /// Sets all values to the current state.
    pub(super) fn update(&self, gate: &Gate) {
        let gauge = |value| i64::try_from(value).unwrap_or(i64::MAX);
        for stats in gate.stats() {
            let label = PortLabel { port: stats.name };
            let connections = self.connections.get_or_create(&label);
            connections.set(gauge(stats.usage.connections));
            let memory = self.memory.get_or_create(&label);
            memory.set(gauge(stats.usage.memory));
            let peak_memory = self.peak_memory.get_or_create(&label);
            peak_memory.set(gauge(stats.usage.peak_memory));
            for (reason, count) in stats.counts {
                let label = LimitedLabel {
                    port: stats.name,
                    reason: reason.as_str(),
                };
                let counter = self.limited.get_or_create(&label);
                counter.inner().store(count, Ordering::Relaxed);
            }
        }
    }
}
