//! The definitions of the forms: the sections of the document and the fields of each.

use model::id::HalfId;
use serde_json::Value;
use serde_json::json;

/// A top-level section of the document that has a form.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// The key of the section in the document.
    pub key: &'static str,
    /// The heading of the section's page.
    pub title: &'static str,
    /// The noun for one entry; `None` if the section has no entries and consists of one form.
    pub entry_noun: Option<&'static str>,
    /// The introductory text, which explains what the section configures.
    pub intro: &'static str,
    /// The fields of the form of an entry, or of the section if it has no entries.
    pub fields: &'static [Field],
}

/// A field of a form.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The JSON pointer relative to the entry, without the leading slash.
    pub key: &'static str,
    /// The label of the input control.
    pub label: &'static str,
    /// The help text, which describes valid input.
    pub hint: &'static str,
    /// The kind of the input control.
    pub kind: ControlKind,
}

/// The kind of input control of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlKind {
    /// A single line of text.
    Text,
    /// A non-negative integer.
    Number,
    /// A selection among the halves of the draft.
    Half,
    /// A selection among fixed values.
    Choice(&'static [&'static str]),
    /// A list of names or paths, one per line.
    Lines,
}

const fn field(
    key: &'static str,
    label: &'static str,
    hint: &'static str,
    kind: ControlKind,
) -> Field {
    Field {
        key,
        label,
        hint,
        kind,
    }
}

const HALF: Field = field(
    "half",
    "Half",
    "The half that it belongs to.",
    ControlKind::Half,
);
const WEIGHT: Field = field(
    "weight",
    "Weight",
    "1 to 1000; empty means 1. A weight of 2 gets twice the share of a weight of 1.",
    ControlKind::Number,
);

/// All sections that have a form, in the order of the navigation.
pub const SECTIONS: [Section; 7] = [
    Section {
        key: "halves",
        title: "Halves",
        entry_noun: Some("half"),
        intro: "The halves of the organisation and the part of the workers that each may take.",
        fields: &[
            field("title", "Title", "A title for people.", ControlKind::Text),
            field(
                "share_percent",
                "Share of the workers in percent",
                "0 to 100; empty means 100. All halves together may have at most 100.",
                ControlKind::Number,
            ),
        ],
    },
    Section {
        key: "regions",
        title: "Regions",
        entry_noun: Some("region"),
        intro: "The regions and their data centres, which work may be tied to.",
        fields: &[field(
            "data_centres",
            "Data centres",
            "One name a line.",
            ControlKind::Lines,
        )],
    },
    Section {
        key: "upstreams",
        title: "Upstreams",
        entry_noun: Some("upstream"),
        intro: "Which half owns each upstream, and how its requests are served. Another half here \
                hands the upstream over.",
        fields: &[
            HALF,
            field(
                "routes",
                "Routes",
                "Path prefixes such as /visits, one a line.",
                ControlKind::Lines,
            ),
            field(
                "slots",
                "Slots",
                "How many requests one executor serves at a time, 1 to 4096; empty means 8.",
                ControlKind::Number,
            ),
            field(
                "connections",
                "Connections",
                "How many connections one executor takes, 1 to 16384; empty means 64.",
                ControlKind::Number,
            ),
            field(
                "deadline_ms",
                "Deadline in milliseconds",
                "For requests that name none, 1 to 3600000; empty means 10000.",
                ControlKind::Number,
            ),
            WEIGHT,
        ],
    },
    Section {
        key: "callers",
        title: "Callers",
        entry_noun: Some("caller"),
        intro: "The callers and their weights when slots are scarce.",
        fields: &[HALF, WEIGHT],
    },
    Section {
        key: "teams",
        title: "Teams",
        entry_noun: Some("team"),
        intro: "The teams that submit tasks, and the most that the running tasks of each may hold.",
        fields: &[
            HALF,
            field(
                "quota/cpu_millis",
                "Quota of processors in thousandths",
                "1000 is one processor.",
                ControlKind::Number,
            ),
            field(
                "quota/memory_mib",
                "Quota of memory in MiB",
                "A whole number.",
                ControlKind::Number,
            ),
            field(
                "quota/accelerators",
                "Quota of accelerators",
                "A whole number.",
                ControlKind::Number,
            ),
            WEIGHT,
        ],
    },
    Section {
        key: "classes",
        title: "Classes, and where work may run",
        entry_noun: Some("class"),
        intro: "The classes of tasks, and the regions and data centres that each may run in.",
        fields: &[
            field(
                "kind",
                "Kind",
                "A service is latency-critical; a batch task may be throttled and evicted.",
                ControlKind::Choice(&["service", "batch"]),
            ),
            HALF,
            field(
                "regions",
                "Regions it may run in",
                "One name a line; empty means all.",
                ControlKind::Lines,
            ),
            field(
                "data_centres",
                "Data centres it may run in",
                "One name a line; empty means all of its regions.",
                ControlKind::Lines,
            ),
            field(
                "p99_target_us",
                "Target of the 99th percentile in microseconds",
                "For services only; empty means none.",
                ControlKind::Number,
            ),
            field(
                "max_per_rack",
                "Most tasks on one rack",
                "Empty means no bound.",
                ControlKind::Number,
            ),
        ],
    },
    Section {
        key: "sharing",
        title: "Sharing between services and batch",
        entry_noun: None,
        intro: "How services and batch share the workers, and what is weighed against what.",
        fields: &[
            field(
                "batch_percent",
                "Most of a worker for batch, in percent, while services run there",
                "0 to 100; empty means 70.",
                ControlKind::Number,
            ),
            field(
                "tail_weight",
                "Weight of the tail latency of services",
                "0 to 1000; empty means 1.",
                ControlKind::Number,
            ),
            field(
                "throughput_weight",
                "Weight of batch throughput",
                "0 to 1000; empty means 1.",
                ControlKind::Number,
            ),
            field(
                "evictions_weight",
                "Weight of an eviction less",
                "0 to 1000; empty means 1.",
                ControlKind::Number,
            ),
        ],
    },
];

/// Returns the section with this key.
#[must_use]
pub fn find(key: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.key == key)
}

impl Section {
    /// Returns the JSON pointer of an entry, or of the section itself if `name` is `None`.
    #[must_use]
    pub fn pointer(&self, name: Option<&str>) -> String {
        match name {
            Some(name) => format!("/{}/{}", self.key, conf::tree::escape(name)),
            None => format!("/{}", self.key),
        }
    }

    /// Returns the initial value of a new entry, with placeholders for its required keys.
    #[must_use]
    pub fn initial_value(&self, half: Option<&HalfId>) -> Value {
        let half = half.map(HalfId::as_str).unwrap_or_default();
        match self.key {
            // A missing share means 100 percent, which would exceed what the other halves leave.
            "halves" => json!({ "share_percent": 0 }),
            "regions" => json!({ "data_centres": [] }),
            "upstreams" => json!({ "half": half, "routes": [] }),
            "callers" => json!({ "half": half }),
            "teams" => json!({ "half": half, "quota": { "cpu_millis": 0, "memory_mib": 0 } }),
            "classes" => json!({ "kind": "batch", "half": half }),
            _ => json!({}),
        }
    }
}

impl Field {
    /// Returns the HTML id of the input control.
    #[must_use]
    pub fn id(&self) -> String {
        format!("f-{}", self.key.replace('/', "-"))
    }

    /// Returns a JSON value as the text that the input control shows.
    #[must_use]
    pub fn format_value(&self, value: Option<&Value>) -> String {
        let format = |value: &Value| match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        match value {
            None | Some(Value::Null) => String::new(),
            Some(Value::Array(lines)) => lines.iter().map(format).collect::<Vec<_>>().join("\n"),
            Some(value) => format(value),
        }
    }

    /// Parses the text that was entered; `None` means that the key is omitted. Text that is not a
    /// number stays a string, so that the check of the document reports the error at its field.
    #[must_use]
    pub fn parse_value(&self, entered: &str, was_present: bool) -> Option<Value> {
        let entered = entered.trim();
        if entered.is_empty() && !(was_present && self.kind == ControlKind::Lines) {
            return None;
        }
        Some(match self.kind {
            ControlKind::Lines => {
                let lines = entered.lines().map(str::trim);
                lines
                    .filter(|line| !line.is_empty())
                    .map(Value::from)
                    .collect()
            }
            ControlKind::Number => entered
                .parse::<u64>()
                .map_or_else(|_| Value::from(entered), Value::from),
            ControlKind::Text | ControlKind::Half | ControlKind::Choice(_) => Value::from(entered),
        })
    }
}
