//! The pages that edit the draft: the forms of each section, the document as text, and the page
//! that submits the draft.

use conf::edit;
use conf::finding::any_error;
use serde_json::Value;

use crate::console::ConsoleError;
use crate::console::checked_draft;
use crate::console::checked_draft::CheckedDraft;
use crate::console::console_path;
use crate::console::draft_edits;
use crate::console::draft_edits::entry_path;
use crate::console::form::Form;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::page::Page;
use crate::console::page::button;
use crate::console::page::form;
use crate::console::page::hidden;
use crate::console::section::ControlKind;
use crate::console::section::Field;
use crate::console::section::Section;
use crate::console::session::Session;
use crate::console::session_context::SessionContext;

/// The height of the text area for the whole document, in lines.
const DOCUMENT_TEXTAREA_ROWS: &str = "30";
/// The height of the text area for a list field, in lines.
const LIST_TEXTAREA_ROWS: &str = "4";

/// Renders the page of a section or, if the query names one, of one of its entries.
pub(super) fn edit(
    ctx: &mut SessionContext<'_>,
    key: &str,
    query: &Form,
) -> Result<Page, ConsoleError> {
    let section = draft_edits::section(key)?;
    let checked = CheckedDraft::new(ctx.cx, ctx.current_draft()?);
    let session = &ctx.session;
    let name = query.get("name").ok();
    let mut content: Vec<Element> = Vec::new();
    content.extend(checked.overtaken_notice());
    content.extend(checked.findings_summary());
    content.push(el("p").text(section.intro));
    if checked.values.is_none() {
        content.push(el("p").child(link(
            console_path("text"),
            "Mend the text, which cannot be read",
        )));
        return Ok(Page::new(session, section.title, content));
    }
    let title = match (section.entry_noun, name) {
        (Some(_), None) => {
            content.extend(entries(session, section, &checked));
            section.title.to_owned()
        }
        (entry, name) => {
            let name = name.filter(|_| entry.is_some());
            content.extend(entry_form(session, section, &checked, name)?);
            match (entry, name) {
                (Some(entry), Some(name)) => format!("The {entry} {name}"),
                _ => section.title.to_owned(),
            }
        }
    };
    Ok(Page::new(session, &title, content))
}

/// Renders the list of a section's entries and the form that adds an entry.
fn entries(session: &Session, section: &Section, checked: &CheckedDraft) -> Vec<Element> {
    let entry = section.entry_noun.unwrap_or_default();
    let items = checked.entry_names(section.key).into_iter().map(|name| {
        let pointer = section.pointer(Some(&name));
        let prefix = format!("{pointer}/");
        let wrong = checked.findings.iter().filter(|finding| {
            let place = &finding.location.pointer;
            *place == pointer || place.starts_with(&prefix)
        });
        let wrong = match wrong.count() {
            0 => String::new(),
            count => format!(" (findings: {count})"),
        };
        el("li")
            .child(link(entry_path(section, Some(&name)), &name))
            .text(wrong)
    });
    let add = form(session, &format!("add/{}", section.key)).child(
        el("fieldset")
            .child(el("legend").text(format!("Add a {entry}")))
            .child(el("label").attr("for", "f-name").text("Name"))
            .child(
                el("input")
                    .attr("id", "f-name")
                    .attr("name", "name")
                    .attr("type", "text")
                    .attr("aria-describedby", "f-name-hint")
                    .flag("required", true),
            )
            .child(
                el("p")
                    .attr("class", "hint")
                    .attr("id", "f-name-hint")
                    .text("Letters of ASCII, digits, -, _ or ."),
            )
            .child(el("p").child(button(&format!("Add the {entry}")))),
    );
    vec![
        el("h2").text("Entries"),
        el("ul").children(items),
        add,
        el("p").child(link(console_path("draft"), "Check and send the draft")),
    ]
}

/// Renders the form of one entry, or of a section without entries.
fn entry_form(
    session: &Session,
    section: &Section,
    checked: &CheckedDraft,
    name: Option<&str>,
) -> Result<Vec<Element>, ConsoleError> {
    let pointer = section.pointer(name);
    // A draft that cannot be parsed has no values; this returns the first parse error.
    let values = edit::read(&checked.draft.text)?;
    let present = values.pointer(&pointer);
    if present.is_none() && name.is_some() {
        return Err(ConsoleError {
            status: http::StatusCode::NOT_FOUND,
            reason: format!("the draft has no {} of this name", section.key),
        });
    }
    let halves = checked.entry_names("halves");
    let fields = section.fields.iter().flat_map(|field| {
        let value = present.and_then(|entry| entry.pointer(&format!("/{}", field.key)));
        let findings: Vec<Element> = checked
            .field_findings(section, &pointer, field)
            .map(checked_draft::finding_paragraph)
            .collect();
        control(field, value, &halves, findings)
    });
    let legend = name.unwrap_or(section.title);
    let fields = el("fieldset")
        .attr("id", "entry")
        .attr("tabindex", "-1")
        .child(el("legend").text(legend))
        .children(
            checked
                .entry_findings(section, &pointer)
                .map(checked_draft::finding_paragraph),
        )
        .children(fields);
    let name_field = name.map(|name| hidden("name", name));
    let save = form(session, &format!("edit/{}", section.key))
        .children(name_field.clone())
        .child(fields)
        .child(el("p").child(button("Save in the draft")));
    let remove = name.map(|name| {
        form(session, &format!("remove/{}", section.key))
            .children(name_field)
            .child(button(&format!("Remove {name} from the draft")))
    });
    let mut content = vec![save];
    content.extend(remove);
    if section.entry_noun.is_some() {
        let section_path = console_path(&format!("edit/{}", section.key));
        content.push(el("p").child(link(section_path, section.title)));
    }
    content.push(el("p").child(link(console_path("draft"), "Check and send the draft")));
    Ok(content)
}

/// Renders the label, hint, findings and input control of a field.
fn control(
    field: &Field,
    value: Option<&Value>,
    halves: &[String],
    findings: Vec<Element>,
) -> Vec<Element> {
    let id = field.id();
    let (hint_id, finding_id) = (format!("{id}-hint"), format!("{id}-finding"));
    let shown = field.format_value(value);
    let input = match field.kind {
        ControlKind::Text | ControlKind::Number => {
            el("input").attr("type", "text").attr("value", &shown)
        }
        ControlKind::Lines => el("textarea").attr("rows", LIST_TEXTAREA_ROWS).text(&shown),
        ControlKind::Half => select(halves.iter().map(String::as_str), &shown),
        ControlKind::Choice(values) => select(values.iter().copied(), &shown),
    };
    let input = match field.kind {
        ControlKind::Number => input.attr("inputmode", "numeric"),
        _ => input,
    };
    let described = match findings.is_empty() {
        true => hint_id.clone(),
        false => format!("{hint_id} {finding_id}"),
    };
    let invalid = !findings.is_empty();
    let input = input
        .attr("id", &id)
        .attr("name", field.key)
        .attr("aria-describedby", described)
        .attr("aria-invalid", if invalid { "true" } else { "false" });
    let mut elements = vec![
        el("label").attr("for", &id).text(field.label),
        el("p")
            .attr("class", "hint")
            .attr("id", hint_id)
            .text(field.hint),
    ];
    if invalid {
        elements.push(el("div").attr("id", finding_id).children(findings));
    }
    elements.push(input);
    elements
}

/// Renders a select element. A current value that is not among the options is added as the first
/// option, so that saving the form does not replace it.
fn select<'a>(options: impl Iterator<Item = &'a str>, chosen: &str) -> Element {
    let mut options: Vec<&str> = options.collect();
    if !options.contains(&chosen) {
        options.insert(0, chosen);
    }
    let elements = options.into_iter().map(|value| {
        el("option")
            .attr("value", value)
            .flag("selected", value == chosen)
            .text(value)
    });
    el("select").children(elements)
}

/// Renders the page that edits the draft as text.
pub(super) fn text(ctx: &mut SessionContext<'_>) -> Result<Page, ConsoleError> {
    let checked = CheckedDraft::new(ctx.cx, ctx.current_draft()?);
    let field = el("textarea")
        .attr("id", "f-text")
        .attr("name", "text")
        .attr("class", "text")
        .attr("rows", DOCUMENT_TEXTAREA_ROWS)
        .attr("spellcheck", "false")
        .text(&checked.draft.text);
    let form = form(&ctx.session, "text")
        .child(
            el("label")
                .attr("for", "f-text")
                .text("The whole document, JSON with comments"),
        )
        .child(field)
        .child(el("p").child(button("Save in the draft and check")));
    let content = checked
        .overtaken_notice()
        .into_iter()
        .chain(checked.findings_summary());
    let content: Vec<Element> = content.chain([form]).collect();
    Ok(Page::new(&ctx.session, "Draft as text", content))
}

/// Renders the page that shows the changes of the draft and offers to submit it.
pub(super) fn draft(ctx: &mut SessionContext<'_>) -> Result<Page, ConsoleError> {
    let checked = CheckedDraft::new(ctx.cx, ctx.current_draft()?);
    Ok(draft_page(&ctx.session, &checked, None))
}

/// Renders the page of a draft. `outcome` is the result of submitting it, if it was submitted.
pub(super) fn draft_page(
    session: &Session,
    checked: &CheckedDraft,
    outcome: Option<Element>,
) -> Page {
    let mut content: Vec<Element> = outcome.into_iter().collect();
    content.extend(checked.overtaken_notice());
    content.extend(checked.findings_summary());
    let heading = format!("Differences against version {}", checked.in_force);
    content.push(el("h2").text(heading));
    content.push(
        match checked.values.is_some() && can_show_changes(checked) {
            true => checked_draft::change_list(&checked.changes),
            false => el("p").text("The errors have to be mended before differences can be told."),
        },
    );
    if checked.draft.is_changed() {
        content.push(el("h2").text("Send"));
        content.push(match any_error(&checked.findings) {
            true => el("p").text("A draft with errors is not sent; mend them first."),
            false => send_form(session, checked),
        });
        if checked.is_overtaken() {
            content.push(rebase_form(session, checked));
        }
        let discard = form(session, "discard").child(button("Discard the draft"));
        content.push(discard);
    }
    content.push(el("h2").text("The whole text"));
    content.push(el("pre").attr("tabindex", "0").text(&checked.draft.text));
    content.push(el("p").child(link(console_path("text"), "Edit the text")));
    Page::new(session, "Draft: check and send", content)
}

fn can_show_changes(checked: &CheckedDraft) -> bool {
    !any_error(&checked.findings) || !checked.changes.is_empty()
}

fn send_form(session: &Session, checked: &CheckedDraft) -> Element {
    let (title, text) = match checked.draft.in_doubt {
        true => ("Ask again what became of the change", "Ask again"),
        false => ("Put the draft into force", "Send the draft"),
    };
    form(session, "send").child(
        el("fieldset")
            .child(el("legend").text(title))
            .child(
                el("label")
                    .attr("for", "f-without")
                    .text("Daemons that are certainly dead"),
            )
            .child(
                el("p")
                    .attr("class", "hint")
                    .attr("id", "f-without-hint")
                    .text(
                        "One name a line. Only for daemons that you have seen to be dead: one that \
                         still serves would go on by the former version.",
                    ),
            )
            .child(
                el("textarea")
                    .attr("id", "f-without")
                    .attr("name", "without")
                    .attr("rows", "2")
                    .attr("aria-describedby", "f-without-hint"),
            )
            .child(el("p").child(button(text))),
    )
}

fn rebase_form(session: &Session, checked: &CheckedDraft) -> Element {
    form(session, "rebase")
        .child(el("p").text(format!(
            "This makes the draft's changes anew on version {}; where both changed a place, the \
             draft's value is taken.",
            checked.in_force
        )))
        .child(button(&format!(
            "Move the draft to version {}",
            checked.in_force
        )))
}
