//! Checks what a document says: names, owners, shares, where work may run, what is promised.
//!
//! One pass collects everything: faults of form from [`crate::shape`], then, on the part that has
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

pub use crate::check::names::is_name;
use crate::doc::Class;
use crate::doc::Document;
use crate::finding::Code;
use crate::finding::Finding;
use crate::finding::any_error;
use crate::finding::sort;
use crate::hint;
use crate::schema;
use crate::shape::Shape;
use crate::tree;
use crate::tree::Lines;
use crate::tree::Places;

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
    let places = Places::collect(&root, &Lines::new(text));
    let schema = schema::document();
    let (sound, form) = Shape::new(&schema, text).check(&root);
    let sound: Option<Document> = sound.and_then(|value| serde_json::from_value(value).ok());
    let mut found = Found {
        findings: form.into_iter().map(owners::name_owner_faults).collect(),
        places,
    };
    if let Some(document) = &sound {
        names::check(document, &mut found);
        owners::check(document, &mut found);
        capacity::check(document, cx, &mut found);
        running::check(document, cx, &mut found);
    }
    let mut findings = found.findings;
    sort(&mut findings);
    Checked {
        document: sound.filter(|_| !any_error(&findings)),
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
pub fn allowed(document: &Document, class: &Class) -> Vec<DataCentreId> {
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
struct Found {
    findings: Vec<Finding>,
    places: Places,
}

impl Found {
    fn error(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let place = self.places.value(pointer);
        self.push(Finding::error(code, message, place))
    }

    fn error_at_key(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let place = self.places.key(pointer);
        self.push(Finding::error(code, message, place))
    }

    fn warning(&mut self, code: Code, pointer: &str, message: String) -> &mut Finding {
        let place = self.places.value(pointer);
        self.push(Finding::warning(code, message, place))
    }

    /// Adds a finding on a name that is not among `known`.
    fn unknown(&mut self, kind: &str, name: &str, known: &[String], pointer: &str) {
        if known.iter().any(|known| known == name) {
            return;
        }
        let help = hint::help(name, known.iter().map(String::as_str));
        let message = format!("there is no {kind} `{name}`");
        self.error(Code::UnknownName, pointer, message).help = help;
    }

    fn push(&mut self, finding: Finding) -> &mut Finding {
        let index = self.findings.len();
        self.findings.push(finding);
        &mut self.findings[index]
    }
}
