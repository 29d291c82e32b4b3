//! A draft with the results of the document check, and the place where each finding is shown.

use conf::diff::Change;
use conf::edit;
use conf::finding::Finding;
use conf::finding::Severity;
use conf::tree::unescape;
use model::id::DocVersion;
use serde_json::Value;

use crate::console::console_path;
use crate::console::draft_edits::entry_path;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::section;
use crate::console::section::Field;
use crate::console::section::Section;
use crate::console::session::Draft;
use crate::context::DaemonContext;
use crate::operators::queries;

/// The maximum number of changes or findings that a page lists.
const MAX_LISTED: usize = 200;

/// A draft with its findings and its changes against the document in force.
#[derive(Clone, Debug)]
pub struct CheckedDraft {
    /// The draft that was checked.
    pub draft: Draft,
    /// The parsed draft; `None` if its text is not valid JSON with comments.
    pub values: Option<Value>,
    /// The errors and warnings of the check, in the order of the text.
    pub findings: Vec<Finding>,
    /// The changes against the document in force.
    pub changes: Vec<Change>,
    /// The version of the document in force, or 0 if there is none.
    pub in_force: DocVersion,
}

impl CheckedDraft {
    /// Checks a draft in the same way as the API checks a text.
    #[must_use]
    pub fn new(cx: &DaemonContext, draft: Draft) -> Self {
        let reply = queries::check(cx, &draft.text);
        Self {
            values: edit::read(&draft.text).ok(),
            findings: reply.findings,
            changes: reply.changes,
            in_force: reply.base,
            draft,
        }
    }

    /// Returns the names of the entries in a section.
    #[must_use]
    pub fn entry_names(&self, section: &str) -> Vec<String> {
        let part = self.values.as_ref().and_then(|values| values.get(section));
        let entries = part.and_then(Value::as_object);
        entries.map_or_else(Vec::new, |entries| entries.keys().cloned().collect())
    }

    /// Returns the findings for one field of an entry.
    pub fn field_findings<'a>(
        &'a self,
        section: &'a Section,
        entry: &'a str,
        field: &'a Field,
    ) -> impl Iterator<Item = &'a Finding> {
        self.findings.iter().filter(move |finding| {
            let pointer = finding.location.pointer.as_str();
            field_at(section, entry, pointer).is_some_and(|found| found.key == field.key)
        })
    }

    /// Returns the findings for an entry that belong to none of its fields.
    pub fn entry_findings<'a>(
        &'a self,
        section: &'a Section,
        entry: &'a str,
    ) -> impl Iterator<Item = &'a Finding> {
        self.findings.iter().filter(move |finding| {
            let pointer = finding.location.pointer.as_str();
            is_within(pointer, entry) && field_at(section, entry, pointer).is_none()
        })
    }

    /// Renders the list of findings, each with a link to its field; `None` if there are none.
    #[must_use]
    pub fn findings_summary(&self) -> Option<Element> {
        if self.findings.is_empty() {
            return None;
        }
        let items = self.findings.iter().take(MAX_LISTED).map(|finding| {
            let to = self.link_target(&finding.location.pointer);
            el("li")
                .child(link(to, finding_text(finding)))
                .text(format!(
                    " (line {}, column {}, {})",
                    finding.location.line, finding.location.column, finding.code
                ))
        });
        Some(
            el("section")
                .attr("class", "notice")
                .attr("id", "findings")
                .attr("role", "alert")
                .child(el("h2").text(format!("Findings: {}", self.findings.len())))
                .child(el("ol").children(items)),
        )
    }

    /// Returns whether submitting the draft would be rejected, because another version came into
    /// force since the draft was started.
    #[must_use]
    pub fn is_overtaken(&self) -> bool {
        let draft = &self.draft;
        draft.is_changed() && !draft.in_doubt && draft.base != self.in_force
    }

    /// Renders the notice that another version came into force since the draft was started; `None`
    /// if none did.
    #[must_use]
    pub fn overtaken_notice(&self) -> Option<Element> {
        self.is_overtaken().then(|| {
            el("p").attr("class", "notice").text(format!(
                "The draft was started from version {}; version {} is in force since. Sending it \
                 will be refused until it is moved, which the page of the draft offers.",
                self.draft.base, self.in_force
            ))
        })
    }

    /// Returns the link to the form, and the input control in it, that shows the value at a JSON
    /// pointer.
    fn link_target(&self, pointer: &str) -> String {
        let segments: Vec<String> = pointer.split('/').skip(1).map(unescape).collect();
        let section = segments.first().and_then(|key| section::find(key));
        let Some(section) = section else {
            return console_path("text#f-text");
        };
        let name = segments.get(1).filter(|_| section.entry_noun.is_some());
        let to = entry_path(section, name.map(String::as_str));
        if name.is_none() && section.entry_noun.is_some() {
            return to;
        }
        let entry = section.pointer(name.map(String::as_str));
        match field_at(section, &entry, pointer) {
            Some(field) => format!("{to}#{}", field.id()),
            None => format!("{to}#entry"),
        }
    }
}

/// Returns the field of an entry that a JSON pointer belongs to: the field that contains the
/// pointer, otherwise the first field that the pointer contains.
fn field_at(section: &Section, entry: &str, pointer: &str) -> Option<&'static Field> {
    if pointer == entry {
        return None;
    }
    let place = |field: &&Field| format!("{entry}/{}", field.key);
    let fields = section.fields;
    let named = fields
        .iter()
        .find(|field| is_within(pointer, &place(field)));
    named.or_else(|| {
        let inner = is_within(pointer, entry);
        fields
            .iter()
            .find(|field| inner && is_within(&place(field), pointer))
    })
}

fn is_within(pointer: &str, ancestor: &str) -> bool {
    pointer
        .strip_prefix(ancestor)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns the severity, message and help of a finding as one line of text.
#[must_use]
pub fn finding_text(finding: &Finding) -> String {
    let help = finding.help.as_ref();
    let help = help.map_or_else(String::new, |help| format!("; {help}"));
    let severity = match finding.severity {
        Severity::Error => "Error",
        Severity::Warning => "Warning",
    };
    format!("{severity}: {}{help}", finding.message)
}

/// Renders a finding as the paragraph shown next to its field.
#[must_use]
pub fn finding_paragraph(finding: &Finding) -> Element {
    let class = match finding.severity {
        Severity::Error => "finding",
        Severity::Warning => "finding warning",
    };
    el("p").attr("class", class).text(finding_text(finding))
}

/// Renders a list of changes.
#[must_use]
pub fn change_list(changes: &[Change]) -> Element {
    if changes.is_empty() {
        return el("p").text("No differences.");
    }
    let items = changes.iter().take(MAX_LISTED);
    let items = items.map(|change| el("li").text(&change.summary));
    let more = changes.len().saturating_sub(MAX_LISTED);
    let more = (more > 0).then(|| el("li").text(format!("and {more} more")));
    el("ul").children(items).children(more)
}
