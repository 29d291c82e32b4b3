//! The forms of the draft: each part's entries, the whole text, and the page that sends it.

use conf::edit;
use conf::finding::any_error;
use serde_json::Value;

use crate::console::Fault;
use crate::console::form::Form;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::page::Page;
use crate::console::page::button;
use crate::console::page::form;
use crate::console::page::hidden;
use crate::console::path;
use crate::console::section::Field;
use crate::console::section::Kind;
use crate::console::section::Section;
use crate::console::session::Session;
use crate::console::sheet;
use crate::console::sheet::Sheet;
use crate::console::visit::Visit;
use crate::console::write;
use crate::console::write::entry_path;

/// How many lines the field of the whole text shows.
const TEXT_ROWS: &str = "30";
/// How many lines a list's field shows.
const LIST_ROWS: &str = "4";

/// The page of a part, or of one of its entries.
pub(super) fn edit(visit: &mut Visit<'_>, key: &str, query: &Form) -> Result<Page, Fault> {
    let section = write::section(key)?;
    let sheet = Sheet::new(visit.cx, visit.draft()?);
    let session = &visit.session;
    let name = query.get("name").ok();
    let mut content: Vec<Element> = Vec::new();
    content.extend(sheet.overtaken());
    content.extend(sheet.summary());
    content.push(el("p").text(section.intro));
    if sheet.values.is_none() {
        content.push(el("p").child(link(path("text"), "Mend the text, which cannot be read")));
        return Ok(Page::new(session, section.title, content));
    }
    let title = match (section.entry, name) {
        (Some(_), None) => {
            content.extend(entries(session, section, &sheet));
            section.title.to_owned()
        }
        (entry, name) => {
            let name = name.filter(|_| entry.is_some());
            content.extend(entry_form(session, section, &sheet, name)?);
            match (entry, name) {
                (Some(entry), Some(name)) => format!("The {entry} {name}"),
                _ => section.title.to_owned(),
            }
        }
    };
    Ok(Page::new(session, &title, content))
}

/// The list of a part's entries, and the form that adds one.
fn entries(session: &Session, section: &Section, sheet: &Sheet) -> Vec<Element> {
    let entry = section.entry.unwrap_or_default();
    let items = sheet.names(section.key).into_iter().map(|name| {
        let pointer = section.pointer(Some(&name));
        let prefix = format!("{pointer}/");
        let wrong = sheet.findings.iter().filter(|finding| {
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
        el("p").child(link(path("draft"), "Check and send the draft")),
    ]
}

/// The form of one entry.
fn entry_form(
    session: &Session,
    section: &Section,
    sheet: &Sheet,
    name: Option<&str>,
) -> Result<Vec<Element>, Fault> {
    let pointer = section.pointer(name);
    // The first error tells why there are no values.
    let values = edit::read(&sheet.draft.text)?;
    let present = values.pointer(&pointer);
    if present.is_none() && name.is_some() {
        return Err(Fault {
            status: http::StatusCode::NOT_FOUND,
            reason: format!("the draft has no {} of this name", section.key),
        });
    }
    let halves = sheet.names("halves");
    let fields = section.fields.iter().flat_map(|field| {
        let value = present.and_then(|entry| entry.pointer(&format!("/{}", field.key)));
        let findings: Vec<Element> = sheet
            .at_field(section, &pointer, field)
            .map(sheet::shown)
            .collect();
        control(field, value, &halves, findings)
    });
    let legend = name.unwrap_or(section.title);
    let fields = el("fieldset")
        .attr("id", "entry")
        .attr("tabindex", "-1")
        .child(el("legend").text(legend))
        .children(sheet.at_entry(section, &pointer).map(sheet::shown))
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
    if section.entry.is_some() {
        let all = path(&format!("edit/{}", section.key));
        content.push(el("p").child(link(all, section.title)));
    }
    content.push(el("p").child(link(path("draft"), "Check and send the draft")));
    Ok(content)
}

/// The label, the hint, the findings and the control of a field.
fn control(
    field: &Field,
    value: Option<&Value>,
    halves: &[String],
    findings: Vec<Element>,
) -> Vec<Element> {
    let id = field.id();
    let (hint_id, finding_id) = (format!("{id}-hint"), format!("{id}-finding"));
    let shown = field.shown(value);
    let input = match field.kind {
        Kind::Text | Kind::Number => el("input").attr("type", "text").attr("value", &shown),
        Kind::Lines => el("textarea").attr("rows", LIST_ROWS).text(&shown),
        Kind::Half => choice(halves.iter().map(String::as_str), &shown),
        Kind::Word(words) => choice(words.iter().copied(), &shown),
    };
    let input = match field.kind {
        Kind::Number => input.attr("inputmode", "numeric"),
        _ => input,
    };
    let described = match findings.is_empty() {
        true => hint_id.clone(),
        false => format!("{hint_id} {finding_id}"),
    };
    let wrong = !findings.is_empty();
    let input = input
        .attr("id", &id)
        .attr("name", field.key)
        .attr("aria-describedby", described)
        .attr("aria-invalid", if wrong { "true" } else { "false" });
    let mut all = vec![
        el("label").attr("for", &id).text(field.label),
        el("p")
            .attr("class", "hint")
            .attr("id", hint_id)
            .text(field.hint),
    ];
    if wrong {
        all.push(el("div").attr("id", finding_id).children(findings));
    }
    all.push(input);
    all
}

/// A choice of words; one that is chosen but not offered is shown all the same.
fn choice<'a>(words: impl Iterator<Item = &'a str>, chosen: &str) -> Element {
    let mut words: Vec<&str> = words.collect();
    if !words.contains(&chosen) {
        words.insert(0, chosen);
    }
    let options = words.into_iter().map(|word| {
        el("option")
            .attr("value", word)
            .flag("selected", word == chosen)
            .text(word)
    });
    el("select").children(options)
}

/// The page of the draft as text.
pub(super) fn text(visit: &mut Visit<'_>) -> Result<Page, Fault> {
    let sheet = Sheet::new(visit.cx, visit.draft()?);
    let field = el("textarea")
        .attr("id", "f-text")
        .attr("name", "text")
        .attr("class", "text")
        .attr("rows", TEXT_ROWS)
        .attr("spellcheck", "false")
        .text(&sheet.draft.text);
    let form = form(&visit.session, "text")
        .child(
            el("label")
                .attr("for", "f-text")
                .text("The whole document, JSON with comments"),
        )
        .child(field)
        .child(el("p").child(button("Save in the draft and check")));
    let content = sheet.overtaken().into_iter().chain(sheet.summary());
    let content: Vec<Element> = content.chain([form]).collect();
    Ok(Page::new(&visit.session, "Draft as text", content))
}

/// The page that shows what the draft changes, and sends it.
pub(super) fn draft(visit: &mut Visit<'_>) -> Result<Page, Fault> {
    let sheet = Sheet::new(visit.cx, visit.draft()?);
    Ok(draft_page(&visit.session, &sheet, None))
}

/// Makes the page of a draft, with what became of sending it if it was sent.
pub(super) fn draft_page(session: &Session, sheet: &Sheet, outcome: Option<Element>) -> Page {
    let mut content: Vec<Element> = outcome.into_iter().collect();
    content.extend(sheet.overtaken());
    content.extend(sheet.summary());
    let before = format!("Differences against version {}", sheet.in_force);
    content.push(el("h2").text(before));
    content.push(match sheet.values.is_some() && readable(sheet) {
        true => sheet::changes(&sheet.changes),
        false => el("p").text("The errors have to be mended before differences can be told."),
    });
    if sheet.draft.is_changed() {
        content.push(el("h2").text("Send"));
        content.push(match any_error(&sheet.findings) {
            true => el("p").text("A draft with errors is not sent; mend them first."),
            false => send_form(session, sheet),
        });
        if sheet.is_overtaken() {
            content.push(rebase_form(session, sheet));
        }
        let discard = form(session, "discard").child(button("Discard the draft"));
        content.push(discard);
    }
    content.push(el("h2").text("The whole text"));
    content.push(el("pre").attr("tabindex", "0").text(&sheet.draft.text));
    content.push(el("p").child(link(path("text"), "Edit the text")));
    Page::new(session, "Draft: check and send", content)
}

fn readable(sheet: &Sheet) -> bool {
    !any_error(&sheet.findings) || !sheet.changes.is_empty()
}

fn send_form(session: &Session, sheet: &Sheet) -> Element {
    let (title, text) = match sheet.draft.in_doubt {
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

fn rebase_form(session: &Session, sheet: &Sheet) -> Element {
    form(session, "rebase")
        .child(el("p").text(format!(
            "This makes the draft's changes anew on version {}; where both changed a place, the \
             draft's value is taken.",
            sheet.in_force
        )))
        .child(button(&format!(
            "Move the draft to version {}",
            sheet.in_force
        )))
}
