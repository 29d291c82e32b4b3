//! Applies posted forms to the draft and preserves the comments and layout of its text.

use std::sync::Arc;

use conf::check;
use conf::diff;
use conf::diff::ChangeKind;
use conf::doc::Document;
use conf::edit;
use conf::edit::EditError;
use model::id::DocVersion;
use model::id::HalfId;

use crate::console::ConsoleError;
use crate::console::ConsoleResponse;
use crate::console::ConsoleResult;
use crate::console::console_path;
use crate::console::form::Form;
use crate::console::form::FormError;
use crate::console::section;
use crate::console::section::Section;
use crate::console::session::Draft;
use crate::console::session_context::SessionContext;
use crate::context::DaemonContext;

/// The initial text of a draft while no document is in force.
const FIRST_TEXT: &str = "{\n    \"halves\": {},\n    \"regions\": {},\n    \"upstreams\": {}\n}\n";

/// The reason why a form could not be applied to the text of a draft.
#[derive(Clone, Debug, derive_more::From)]
enum SaveError {
    Form(FormError),
    Edit(EditError),
}

impl From<SaveError> for ConsoleError {
    fn from(error: SaveError) -> Self {
        match error {
            SaveError::Form(error) => error.into(),
            SaveError::Edit(error) => error.into(),
        }
    }
}

/// Returns an unchanged draft of the document in force.
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

/// Returns the section with the key given in a path.
///
/// # Errors
///
/// Returns an error with status 404 if there is no such section.
pub fn section(key: &str) -> Result<&'static Section, ConsoleError> {
    section::find(key).ok_or_else(|| ConsoleError {
        status: http::StatusCode::NOT_FOUND,
        reason: format!("the document has no part {key}"),
    })
}

/// Saves the fields of an entry, or of a section without entries, to the draft.
pub(super) fn edit(ctx: &mut SessionContext<'_>, key: &str, form: &Form) -> ConsoleResult {
    let section = section(key)?;
    let name = entry_name(section, form)?;
    let draft = ctx.existing_draft()?;
    let text = save(&draft.text, section, name, form)?;
    store_text(ctx, draft, &text)?;
    Ok(redirect_to_entry(section, name))
}

/// Adds an entry with its required keys and redirects to its form.
pub(super) fn add(ctx: &mut SessionContext<'_>, key: &str, form: &Form) -> ConsoleResult {
    let section = section(key)?;
    let Some(name) = entry_name(section, form)? else {
        return Err(ConsoleError::bad_request("nothing can be added here"));
    };
    let draft = ctx.existing_draft()?;
    let values = edit::read(&draft.text)?;
    let pointer = section.pointer(Some(name));
    if values.pointer(&pointer).is_some() {
        return Err(ConsoleError::bad_request(format!(
            "the draft already has {key} {name}"
        )));
    }
    let halves = values.get("halves").and_then(|halves| halves.as_object());
    let half = halves.and_then(|halves| halves.keys().next());
    let half = half.map(HalfId::new);
    let text = edit::set(&draft.text, &pointer, &section.initial_value(half.as_ref()))?;
    store_text(ctx, draft, &text)?;
    Ok(redirect_to_entry(section, Some(name)))
}

/// Removes an entry from the draft.
pub(super) fn remove(ctx: &mut SessionContext<'_>, key: &str, form: &Form) -> ConsoleResult {
    let section = section(key)?;
    let Some(name) = entry_name(section, form)? else {
        return Err(ConsoleError::bad_request("nothing can be removed here"));
    };
    let draft = ctx.existing_draft()?;
    let text = edit::remove(&draft.text, &section.pointer(Some(name)))?;
    store_text(ctx, draft, &text)?;
    Ok(ConsoleResponse::SeeOther(console_path(&format!(
        "edit/{key}"
    ))))
}

/// Replaces the whole text of the draft, even if it contains errors.
pub(super) fn text(ctx: &mut SessionContext<'_>, form: &Form) -> ConsoleResult {
    let draft = ctx.existing_draft()?;
    let text = form.get("text")?;
    store_text(ctx, draft, text)?;
    Ok(ConsoleResponse::SeeOther(console_path("draft")))
}

/// Discards the draft.
pub(super) fn discard(ctx: &mut SessionContext<'_>) -> ConsoleResult {
    ctx.replace_draft(None)?;
    Ok(ConsoleResponse::SeeOther(console_path("draft")))
}

/// Rebases the draft onto the document in force. Where both changed the same value, the draft's
/// value is used; the operator sees it in the list of changes before submitting the draft.
pub(super) fn rebase(ctx: &mut SessionContext<'_>) -> ConsoleResult {
    let draft = ctx.existing_draft()?;
    let before = check::read(&draft.base_text).unwrap_or_default();
    let after = check::read(&draft.text).map_err(|_| {
        ConsoleError::bad_request("mend the errors of the draft before it is moved")
    })?;
    let start = in_force(ctx.cx);
    let text = replay(&start.text, &before, &after)?;
    store_text(ctx, start, &text)?;
    Ok(ConsoleResponse::SeeOther(console_path("draft")))
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
) -> Result<String, SaveError> {
    let values = edit::read(text)?;
    let entry = section.pointer(name);
    let mut text = text.to_owned();
    for field in section.fields {
        let pointer = format!("{entry}/{}", field.key);
        let present = values.pointer(&pointer);
        let entered = form.get(field.key)?;
        if field.format_value(present).trim() == entered.trim() {
            continue;
        }
        text = match field.parse_value(entered, present.is_some()) {
            Some(value) => edit::set(&text, &pointer, &value)?,
            None => edit::remove(&text, &pointer)?,
        };
    }
    Ok(text)
}

fn store_text(ctx: &mut SessionContext<'_>, draft: Draft, text: &str) -> Result<(), ConsoleError> {
    let draft = Draft {
        text: Arc::from(text),
        in_doubt: false,
        ..draft
    };
    ctx.replace_draft(Some(draft))
}

fn entry_name<'a>(section: &Section, form: &'a Form) -> Result<Option<&'a str>, ConsoleError> {
    if section.entry_noun.is_none() {
        return Ok(None);
    }
    let name = form.get("name")?;
    if name.trim().is_empty() {
        return Err(ConsoleError::bad_request("give a name"));
    }
    Ok(Some(name))
}

fn redirect_to_entry(section: &Section, name: Option<&str>) -> ConsoleResponse {
    ConsoleResponse::SeeOther(entry_path(section, name))
}

/// Returns the path of the form for an entry, or of the section's page if `name` is `None`.
#[must_use]
pub fn entry_path(section: &Section, name: Option<&str>) -> String {
    let mut to = console_path(&format!("edit/{}", section.key));
    if let Some(name) = name {
        let name: String = form_urlencoded::byte_serialize(name.as_bytes()).collect();
        to.push_str("?name=");
        to.push_str(&name);
    }
    to
}
