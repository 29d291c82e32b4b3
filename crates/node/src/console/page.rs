//! The layout that all pages share: heading, navigation, skip link and style sheet.

use std::fmt;

use crate::console::ConsoleError;
use crate::console::PATH;
use crate::console::console_path;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::section::SECTIONS;
use crate::console::session::Session;

/// The style sheet. Focus stays visible, and no information is conveyed by colour alone.
pub const STYLE_SHEET: &str = "\
body { font-family: sans-serif; line-height: 1.4; margin: 0 auto; max-width: 64rem; padding: 0 1rem; }
a:focus-visible, button:focus-visible, input:focus-visible, select:focus-visible,
textarea:focus-visible { outline: 3px solid #1a4fa3; outline-offset: 2px; }
.skip { position: absolute; left: -100rem; }
.skip:focus { left: 1rem; }
nav ul { display: flex; flex-wrap: wrap; gap: .25rem 1rem; list-style: none; padding: 0; }
table { border-collapse: collapse; width: 100%; }
caption { text-align: left; padding: .5rem 0; }
th, td { border: 1px solid #767676; padding: .25rem .5rem; text-align: left; vertical-align: top; }
fieldset { border: 1px solid #767676; margin: 1rem 0; }
label { display: block; font-weight: bold; margin-top: .75rem; }
label.inline { display: inline; font-weight: normal; }
input, select, textarea { font: inherit; max-width: 100%; border: 1px solid #595959; }
textarea { width: 100%; }
textarea.text, pre { font-family: monospace; }
pre { white-space: pre-wrap; overflow-wrap: anywhere; }
.hint { margin: .1rem 0; color: #4a4a4a; }
.finding { border-left: .4rem solid #a1260d; padding-left: .5rem; }
.warning { border-left-style: double; }
.notice { border: 2px solid #595959; padding: 0 1rem; }
";

/// A complete HTML page.
#[derive(Clone, Debug)]
pub struct Page {
    html: Element,
}

impl Page {
    /// Creates a page with navigation for a logged-in operator.
    #[must_use]
    pub fn new(session: &Session, title: &str, content: impl IntoIterator<Item = Element>) -> Self {
        Self::layout(title, Some(session), content)
    }

    fn layout(
        title: &str,
        session: Option<&Session>,
        content: impl IntoIterator<Item = Element>,
    ) -> Self {
        let head = el("head")
            .child(el("meta").attr("charset", "utf-8"))
            .child(
                el("meta")
                    .attr("name", "viewport")
                    .attr("content", "width=device-width"),
            )
            .child(el("title").text(format!("{title} - fireflynotch")))
            .child(
                el("link")
                    .attr("rel", "stylesheet")
                    .attr("href", console_path("style.css")),
            );
        let skip = link("#content", "Skip to the content").attr("class", "skip");
        let main = el("main")
            .attr("id", "content")
            .attr("tabindex", "-1")
            .child(el("h1").text(title))
            .children(content);
        let body = el("body")
            .child(skip)
            .children(session.map(navigation))
            .child(main);
        Self {
            html: el("html").attr("lang", "en").child(head).child(body),
        }
    }
}

impl fmt::Display for Page {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "<!DOCTYPE html>{}", self.html)
    }
}

fn navigation(session: &Session) -> Element {
    let state_links = [
        ("upstreams", "Upstreams in service"),
        ("hosts", "Hosts"),
        ("shards", "Shards and queues"),
        ("tasks", "Tasks"),
        ("members", "Members"),
        ("parts", "Parts"),
        ("dump", "Dump"),
    ];
    let state_links =
        state_links.map(|(page, title)| link(console_path(&format!("look/{page}")), title));
    let forms = SECTIONS.iter().map(|section| {
        link(
            console_path(&format!("edit/{}", section.key)),
            section.title,
        )
    });
    let draft = [
        link(console_path("draft"), "Draft: check and send"),
        link(console_path("text"), "Draft as text"),
    ];
    let list =
        |links: Vec<Element>| el("ul").children(links.into_iter().map(|link| el("li").child(link)));
    let logout = form(session, "logout")
        .child(el("p").text(format!("Logged in as {}. ", session.operator)))
        .child(button("Log out"));
    el("header")
        .child(
            el("nav").attr("aria-label", "What there is").child(list(
                [link(PATH, "Overview")]
                    .into_iter()
                    .chain(state_links)
                    .collect(),
            )),
        )
        .child(
            el("nav")
                .attr("aria-label", "The document")
                .child(list(draft.into_iter().chain(forms).collect())),
        )
        .child(logout)
}

/// Creates a form that posts to a path of the console. Its hidden fields contain the anti-forgery
/// token and the revision of the draft, so that forms of other sites and outdated forms are
/// rejected.
#[must_use]
pub fn form(session: &Session, to: &str) -> Element {
    el("form")
        .attr("method", "post")
        .attr("action", console_path(to))
        .child(hidden("anti_forgery", &session.anti_forgery))
        .child(hidden("revision", &session.revision.to_string()))
}

/// Creates a hidden form field.
#[must_use]
pub fn hidden(name: &str, value: &str) -> Element {
    el("input")
        .attr("type", "hidden")
        .attr("name", name)
        .attr("value", value)
}

/// Creates the submit button of a form.
#[must_use]
pub fn button(text: &str) -> Element {
    el("button").attr("type", "submit").text(text)
}

/// Creates a table in which the first cell of each row is its header. Without rows, it creates a
/// paragraph that says so.
#[must_use]
pub fn table(caption: &str, heads: &[&str], rows: Vec<Vec<String>>) -> Element {
    if rows.is_empty() {
        return el("p").text(format!("{caption}: none."));
    }
    let head = heads
        .iter()
        .map(|head| el("th").attr("scope", "col").text(head));
    let row = |cells: Vec<String>| {
        let cells = cells.into_iter().enumerate().map(|(index, text)| {
            let cell = match index {
                0 => el("th").attr("scope", "row"),
                _ => el("td"),
            };
            cell.text(text)
        });
        el("tr").children(cells)
    };
    el("table")
        .child(el("caption").text(caption))
        .child(el("thead").child(el("tr").children(head)))
        .child(el("tbody").children(rows.into_iter().map(row)))
}

/// Creates the log-in page, with the reason if a log-in was rejected.
#[must_use]
pub fn login_page(rejection: Option<&str>) -> Page {
    let notice = rejection.map(|reason| {
        el("p")
            .attr("class", "finding")
            .attr("role", "alert")
            .text(format!("Not logged in: {reason}."))
    });
    let field = |id: &'static str, label: &str, kind: &str, autocomplete: &str| {
        [
            el("label").attr("for", id).text(label),
            el("input")
                .attr("id", id)
                .attr("name", id)
                .attr("type", kind)
                .attr("autocomplete", autocomplete)
                .flag("required", true),
        ]
    };
    let form = el("form")
        .attr("method", "post")
        .attr("action", console_path("login"))
        .child(
            el("fieldset")
                .child(el("legend").text("Log in"))
                .children(field(
                    "by",
                    "Your name, told to other operators with each change",
                    "text",
                    "username",
                ))
                .children(field(
                    "token",
                    "The operators' token of the daemon's settings",
                    "password",
                    "current-password",
                ))
                .child(el("p").child(button("Log in"))),
        );
    Page::layout("Log in", None, notice.into_iter().chain([form]))
}

/// Creates the page that shows why a request was rejected.
#[must_use]
pub fn error_page(error: &ConsoleError) -> Page {
    let content = [
        el("p")
            .attr("class", "finding")
            .attr("role", "alert")
            .text(format!("Nothing was done: {}.", error.reason)),
        el("p").child(link(PATH, "Overview")),
        el("p").child(link(console_path("draft"), "The draft")),
        el("p").child(link(console_path("login"), "Log in")),
    ];
    Page::layout("Not carried out", None, content)
}
