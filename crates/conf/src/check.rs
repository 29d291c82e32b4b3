//! Checks what a document says: names, owners, shares, where work may run, what is promised.
//!
//! One pass collects everything: faults of form from [`crate::validate`], then, on the part that has
//! none, those of meaning. [`Context`] brings what the text alone cannot tell: the workers, the
//! running work and the document in force.

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

/// What the workers of each data centre have, from the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The sum over the workers of a data centre.
    pub capacity: BTreeMap<DataCentreId, Size>,
}

/// The work that runs now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Groups of running tasks.
    pub groups: Vec<RunningGroup>,
}

/// The running tasks of one class and team in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningGroup {
    /// Their class.
    pub class: ClassId,
    /// Their team.
    pub team: TeamId,
    /// Where they run.
    pub data_centre: DataCentreId,
    /// How many there are.
    pub tasks: u64,
}

/// What a document is checked against, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context<'a> {
    /// What the workers have.
    pub inventory: Option<&'a Inventory>,
    /// The work that runs now.
    pub running: Option<&'a Running>,
    /// The document in force.
    pub in_force: Option<&'a Document>,
}

/// A checked text.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    /// The document, unless a finding is an error.
    pub document: Option<Document>,
    /// What is wrong, in the order of the text.
    pub findings: Vec<Finding>,
}

/// The findings that keep a text from being used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{} findings", findings.len())]
pub struct Invalid {
    /// What is wrong, in the order of the text.
    pub findings: Vec<Finding>,
}

/// Checks the text of a document and collects all findings.
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

/// Reads a document that was accepted once, without the checks against its surroundings.
///
/// # Errors
///
/// Returns the findings if the text is not a valid document.
pub fn read(text: &str) -> Result<Document, Invalid> {
    let Checked { document, findings } = check(text, &Context::default());
    document.ok_or(Invalid { findings })
}

/// Returns the data centres that a class may run in, of those that the document has.
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

/// The findings so far and the places of the text.
struct Collector {
    findings: Vec<Finding>,
    locations: Locations,
}

impl Collector {
    fn error(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.value(pointer);
        self.push(Finding::error(code, message, location))
    }

    fn error_at_key(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.key(pointer);
        self.push(Finding::error(code, message, location))
    }

    fn warning(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let location = self.locations.value(pointer);
        self.push(Finding::warning(code, message, location))
    }

    /// Adds a finding on a name that is not among `known`.
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
