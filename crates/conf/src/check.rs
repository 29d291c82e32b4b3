//! Semantic checks of a document: names, owners, shares, allowed data centres and quotas.
//!
//! One pass collects all findings: first those of [`crate::validate`] against the schema, then the
//! semantic ones on the part that is valid. [`Context`] supplies what the text does not contain:
//! the workers, the running tasks and the document in force.

mod capacity;
mod names;
mod owners;
mod running;

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;
use model::Size;
use model::id::ClassId;
use model::id::DataCentreId;
use model::id::TeamId;
use serde::Deserialize;
use serde::Serialize;

pub use crate::check::names::is_valid_name;
use crate::doc::Class;
use crate::doc::Document;
use crate::finding::Code;
use crate::finding::Finding;
use crate::finding::any_error;
use crate::finding::sort;
use crate::hint;
use crate::schema;
use crate::tree;
use crate::tree::LineIndex;
use crate::tree::Locations;
use crate::validate::Validator;

/// The capacity of the workers in each data centre, from the platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The total capacity of the workers by data centre.
    pub capacity: BTreeMap<DataCentreId, Size>,
}

/// The tasks that are running now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The running tasks, grouped by class, team and data centre.
    pub groups: Vec<RunningGroup>,
}

/// The running tasks of one class and team in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningGroup {
    /// The class of the tasks.
    pub class: ClassId,
    /// The team of the tasks.
    pub team: TeamId,
    /// The data centre in which they run.
    pub data_centre: DataCentreId,
    /// The number of tasks in the group.
    pub tasks: u64,
}

/// What a document is checked against; checks that need an absent part are skipped.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// The capacity of the workers.
    pub inventory: Option<&'a Inventory>,
    /// The tasks that are running now.
    pub running: Option<&'a Running>,
    /// The document in force, to determine which problems a change causes.
    pub in_force: Option<&'a Document>,
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The document; `None` if any finding is an error.
    pub document: Option<Document>,
    /// The findings, in the order of the text.
    pub findings: Vec<Finding>,
}

/// The error for a text that has findings which prevent its use.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{} findings", findings.len())]
pub struct Invalid {
    /// The findings, in the order of the text.
    pub findings: Vec<Finding>,
}

/// Checks the text of a document and returns all findings.
#[must_use]
pub fn check(text: &str, cx: &Context<'_>) -> Checked {
    let root = match tree::parse(text) {
        Ok(root) => root,
        Err(finding) => {
            return Checked {
                document: None,
                findings: vec![finding],
            };
        }
    };
    let locations = Locations::collect(&root, &LineIndex::new(text));
    let schema = schema::document();
    let (valid, form_findings) = Validator::new(&schema, text).check(&root);
    let valid: Option<Document> = valid.and_then(|value| serde_json::from_value(value).ok());
    let mut collector = Collector {
        findings: form_findings
            .into_iter()
            .map(owners::classify_owner_findings)
            .collect(),
        locations,
    };
    if let Some(document) = &valid {
        names::check(document, &mut collector);
        owners::check(document, &mut collector);
        capacity::check(document, cx, &mut collector);
        running::check(document, cx, &mut collector);
    }
    let mut findings = collector.findings;
    sort(&mut findings);
    Checked {
        document: valid.filter(|_| !any_error(&findings)),
        findings,
    }
}

/// Parses a document that was accepted earlier, without the checks that need a [`Context`].
///
/// # Errors
///
/// Returns the findings if the text is not a valid document.
pub fn read(text: &str) -> Result<Document, Invalid> {
    let Checked { document, findings } = check(text, &Context::default());
    document.ok_or(Invalid { findings })
}

/// Returns the data centres of the document in which tasks of a class may run.
#[must_use]
pub fn allowed_data_centres(document: &Document, class: &Class) -> Vec<DataCentreId> {
    let in_region = |region| class.regions.is_empty() || class.regions.contains(region);
    let listed = |centre: &DataCentreId| {
        class.data_centres.is_empty() || class.data_centres.contains(centre)
    };
    document
        .regions
        .iter()
        .filter(|(region, _)| in_region(*region))
        .flat_map(|(_, region)| &region.data_centres)
        .filter(|centre| listed(centre))
        .cloned()
        .collect()
}

/// Collects findings, with the locations of values and keys in the text.
struct Collector {
    findings: Vec<Finding>,
    locations: Locations,
}

impl Collector {
    /// Adds an error at the value at `pointer`.
    fn error(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.value(pointer);
        self.push(Finding::error(code, message, location))
    }

    /// Adds an error at the key at `pointer`.
    fn error_at_key(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.key(pointer);
        self.push(Finding::error(code, message, location))
    }

    /// Adds a warning at the value at `pointer`.
    fn warning(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.value(pointer);
        self.push(Finding::warning(code, message, location))
    }

    /// Adds an error if `name` is not among `known`.
    fn check_known(&mut self, kind: &str, name: &str, known: &[String], pointer: &str) {
        if known.iter().any(|known| known == name) {
            return;
        }
        let help = hint::suggest(name, known.iter().map(String::as_str));
        let message = format!("there is no {kind} `{name}`");
        self.error(Code::UnknownName, pointer, message).help = help;
    }

    fn push(&mut self, finding: Finding) -> &mut Finding {
        let index = self.findings.len();
        self.findings.push(finding);
        &mut self.findings[index]
    }
}
