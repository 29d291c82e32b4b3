//! Changes the draft by what was posted; comments and layout of its text stay.

use std::sync::Arc;

use conf::check;
use conf::diff;
use conf::diff::ChangeKind;
use conf::doc::Document;
use conf::edit;
use conf::edit::EditError;
use model::id::DocVersion;
use model::id::HalfId;

use crate::console::Answer;
use crate::console::Answered;
use crate::console::Fault;
use crate::console::form::Form;
use crate::console::form::FormError;
use crate::console::path;
use crate::console::section;
use crate::console::section::Section;
use crate::console::session::Draft;
use crate::console::visit::Visit;
use crate::context::DaemonContext;

/// What a draft starts from before there is a document in force.
const FIRST_TEXT: &str = "{\n    \"halves\": {},\n    \"regions\": {},\n    \"upstreams\": {}\n}\n";

/// Why a form did not change a text.
#[derive(Clone, Debug, derive_more::From)]
enum NotSaved {
    Form(FormError),
    Edit(EditError),
}

impl From<NotSaved> for Fault {
    fn from(error: NotSaved) -> Self {
        match error {
            NotSaved::Form(error) => error.into(),
            NotSaved::Edit(error) => error.into(),
        }
    }
}

/// Returns the document in force as a draft without changes.
#[must_use]
pub fn in_force(cx: &DaemonContext) -> Draft {
    let doc = cx.doc.borrow().clone();
    let (base, text) = match doc {
        Some(doc) => (doc.version, doc.text.clone()),
        None => (DocVersion(0), Arc::from(FIRST_TEXT)),
    };
    Draft {
        base,
        base_text: text.clone(),
        text,
        in_doubt: false,
    }
}

/// Finds the part of the document that a path names.
///
/// # Errors
///
/// Returns a fault if there is none.
pub fn section(key: &str) -> Result<&'static Section, Fault> {
    section::find(key).ok_or_else(|| Fault {
        status: http::StatusCode::NOT_FOUND,
        reason: format!("the document has no part {key}"),
    })
}

/// Saves the fields of one entry.
pub(super) fn edit(visit: &mut Visit<'_>, key: &str, form: &Form) -> Answered {
    let section = section(key)?;
    let name = name_of(section, form)?;
    let draft = visit.held()?;
    let text = save(&draft.text, section, name, form)?;
    put(visit, draft, &text)?;
    Ok(to_entry(section, name))
}

/// Adds an entry with what it cannot do without, and opens its form.
pub(super) fn add(visit: &mut Visit<'_>, key: &str, form: &Form) -> Answered {
    let section = section(key)?;
    let Some(name) = name_of(section, form)? else {
        return Err(Fault::bad("nothing can be added here"));
    };
    let draft = visit.held()?;
    let values = edit::read(&draft.text)?;
    let pointer = section.pointer(Some(name));
    if values.pointer(&pointer).is_some() {
        return Err(Fault::bad(format!("the draft already has {key} {name}")));
    }
    let halves = values.get("halves").and_then(|halves| halves.as_object());
    let half = halves.and_then(|halves| halves.keys().next());
    let half = half.map(HalfId::new);
    let text = edit::set(&draft.text, &pointer, &section.start(half.as_ref()))?;
    put(visit, draft, &text)?;
    Ok(to_entry(section, Some(name)))
}

/// Takes an entry away.
pub(super) fn remove(visit: &mut Visit<'_>, key: &str, form: &Form) -> Answered {
    let section = section(key)?;
    let Some(name) = name_of(section, form)? else {
        return Err(Fault::bad("nothing can be removed here"));
    };
    let draft = visit.held()?;
    let text = edit::remove(&draft.text, &section.pointer(Some(name)))?;
    put(visit, draft, &text)?;
    Ok(Answer::SeeOther(path(&format!("edit/{key}"))))
}

/// Takes the whole text as the operator wrote it, faults included.
pub(super) fn text(visit: &mut Visit<'_>, form: &Form) -> Answered {
    let draft = visit.held()?;
    let text = form.get("text")?;
    put(visit, draft, text)?;
    Ok(Answer::SeeOther(path("draft")))
}

/// Drops the draft.
pub(super) fn discard(visit: &mut Visit<'_>) -> Answered {
    visit.replace(None)?;
    Ok(Answer::SeeOther(path("draft")))
}

/// Makes the draft's changes anew on the document in force; where both changed a place, the draft's
/// value is taken, which the operator sees among the changes before anything is sent.
pub(super) fn rebase(visit: &mut Visit<'_>) -> Answered {
    let draft = visit.held()?;
    let before = check::read(&draft.base_text).unwrap_or_default();
    let after = check::read(&draft.text)
        .map_err(|_| Fault::bad("mend the errors of the draft before it is moved"))?;
    let start = in_force(visit.cx);
    let text = replay(&start.text, &before, &after)?;
    put(visit, start, &text)?;
    Ok(Answer::SeeOther(path("draft")))
}

fn replay(text: &str, before: &Document, after: &Document) -> Result<String, EditError> {
    let mut text = text.to_owned();
    for change in diff::changes(before, after) {
        text = match change.kind {
            ChangeKind::Removed => edit::remove(&text, &change.pointer)?,
            ChangeKind::Added | ChangeKind::Set => {
                edit::set(&text, &change.pointer, &change.after)?
            }
        };
    }
    Ok(text)
}

fn save(
    text: &str,
    section: &Section,
    name: Option<&str>,
    form: &Form,
) -> Result<String, NotSaved> {
    let values = edit::read(text)?;
    let entry = section.pointer(name);
    let mut text = text.to_owned();
    for field in section.fields {
        let pointer = format!("{entry}/{}", field.key);
        let present = values.pointer(&pointer);
        let entered = form.get(field.key)?;
        if field.shown(present).trim() == entered.trim() {
            continue;
        }
        text = match field.read(entered, present.is_some()) {
            Some(value) => edit::set(&text, &pointer, &value)?,
            None => edit::remove(&text, &pointer)?,
        };
    }
    Ok(text)
}

fn put(visit: &mut Visit<'_>, draft: Draft, text: &str) -> Result<(), Fault> {
    let draft = Draft {
        text: Arc::from(text),
        in_doubt: false,
        ..draft
    };
    visit.replace(Some(draft))
}

fn name_of<'a>(section: &Section, form: &'a Form) -> Result<Option<&'a str>, Fault> {
    if section.entry.is_none() {
        return Ok(None);
    }
    let name = form.get("name")?;
    if name.trim().is_empty() {
        return Err(Fault::bad("give a name"));
    }
    Ok(Some(name))
}

fn to_entry(section: &Section, name: Option<&str>) -> Answer {
    Answer::SeeOther(entry_path(section, name))
}

/// Returns the path of the form of an entry.
#[must_use]
pub fn entry_path(section: &Section, name: Option<&str>) -> String {
    let mut to = path(&format!("edit/{}", section.key));
    if let Some(name) = name {
        let name: String = form_urlencoded::byte_serialize(name.as_bytes()).collect();
        to.push_str("?name=");
        to.push_str(&name);
    }
    to
}
