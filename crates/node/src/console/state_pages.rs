//! The read-only pages that show the state of the daemon, from the same data as the API.

use std::sync::Arc;

use conf::api::StatusView;
use http::StatusCode;
use model::Size;
use model::place::Place;
use plat::hosts::HostState;
use serde_json::Value;

use crate::console::ConsoleError;
use crate::console::form::Form;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::page::Page;
use crate::console::page::table;
use crate::console::session_context::SessionContext;
use crate::console::status_tables::handovers;
use crate::console::status_tables::members;
use crate::console::status_tables::shards;
use crate::console::status_tables::upstreams;
use crate::console::task_list::tasks;
use crate::context::DaemonContext;
use crate::operators::ApiError;
use crate::operators::queries;

impl From<ApiError> for ConsoleError {
    fn from(error: ApiError) -> Self {
        Self {
            status: error.status,
            reason: error.problem.reason,
        }
    }
}

/// Renders the start page: the state of this daemon, handovers in progress, and the other daemons.
pub(super) async fn overview(ctx: &SessionContext<'_>) -> Page {
    let status = queries::status(ctx.cx).await;
    let state = match (status.ready, status.draining) {
        (true, _) => "takes requests",
        (false, true) => "is leaving",
        (false, false) => "is starting: no document is in force here yet",
    };
    let store = match status.store_silent_ms {
        Some(ms) => format!("last answered {ms} ms ago"),
        None => "has not answered yet".into(),
    };
    let by = queries::document(ctx.cx).map_or_else(|_| String::new(), |doc| doc.by);
    let facts = [
        ("Daemon", format!("{} {state}", status.daemon)),
        (
            "Document in force",
            format!("version {} {by}", status.version),
        ),
        ("Platform's table", store),
        ("Tasks of the shards owned here", task_counts(&status)),
    ];
    let facts = facts
        .into_iter()
        .flat_map(|(term, text)| [el("dt").text(term), el("dd").text(text)]);
    let content = [
        el("dl").children(facts),
        el("h2").text("Handovers"),
        handovers(&status),
        el("h2").text("Daemons"),
        members(&status.members),
    ];
    Page::new(&ctx.session, "Overview", content)
}

/// Renders the state page with this name.
pub(super) async fn state_page(
    ctx: &SessionContext<'_>,
    what: &str,
    query: &Form,
) -> Result<Page, ConsoleError> {
    let (title, content) = match what {
        "members" => {
            let status = queries::status(ctx.cx).await;
            ("Members", vec![members(&status.members)])
        }
        "upstreams" => {
            let status = queries::status(ctx.cx).await;
            let content = vec![
                upstreams(&status.upstreams),
                el("h2").text("Handovers"),
                handovers(&status),
            ];
            ("Upstreams in service", content)
        }
        "shards" => {
            let status = queries::status(ctx.cx).await;
            let mut content = vec![shards(&status.shards), el("h2").text("Queues")];
            content.extend(queues(ctx.cx).await);
            ("Shards and queues", content)
        }
        "hosts" => ("Hosts", hosts(ctx.cx)),
        "tasks" => ("Tasks", tasks(ctx.cx, query).await?),
        "parts" => ("Parts", vec![parts(ctx.cx)]),
        "dump" => ("Dump of the state", dump(ctx.cx).await?),
        _ => {
            return Err(ConsoleError {
                status: StatusCode::NOT_FOUND,
                reason: "there is no such page".into(),
            });
        }
    };
    Ok(Page::new(&ctx.session, title, content))
}

fn task_counts(status: &StatusView) -> String {
    let counts = status.tasks.iter();
    let counts: Vec<String> = counts
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    match counts.is_empty() {
        true => "none".into(),
        false => counts.join(", "),
    }
}

/// Returns the region and the data centre as text.
pub(super) fn place(place: &Place) -> String {
    format!("{}, {}", place.region, place.data_centre)
}

/// Renders the queues of the scheduler from its JSON snapshot.
async fn queues(cx: &DaemonContext) -> Vec<Element> {
    let Some(snapshot) = cx.shards.snapshot().await else {
        return vec![el("p").text("The part that owns the shards does not answer.")];
    };
    let list = |name: &str| {
        let list = snapshot.sched.get(name).and_then(Value::as_array);
        list.cloned().unwrap_or_default()
    };
    let team = |team: Value| {
        let size = |name: &str| {
            let size = team.get(name).cloned().unwrap_or_default();
            serde_json::from_value(size).unwrap_or(Size::ZERO)
        };
        let used = size("used") + size("used_elsewhere");
        vec![
            json_text(&team, "id"),
            json_text(&team, "queued"),
            used.to_string(),
        ]
    };
    let refused = |refused: Value| {
        let task = refused.get(0).and_then(Value::as_str).unwrap_or_default();
        let reason = refused.get(1).unwrap_or(&Value::Null);
        vec![task.to_owned(), json_text(reason, "reason")]
    };
    vec![
        table(
            "Teams with tasks at this daemon; use is that of all daemons",
            &["Team", "Queued", "Use"],
            list("teams").into_iter().map(team).collect(),
        ),
        table(
            "Tasks that no worker could hold",
            &["Task", "Reason"],
            list("refused").into_iter().map(refused).collect(),
        ),
    ]
}

fn json_text(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn hosts(cx: &DaemonContext) -> Vec<Element> {
    let list = cx.hosts.borrow().clone();
    let state = |state: HostState| match state {
        HostState::Live => "live".to_owned(),
        HostState::Leaving => "leaving".to_owned(),
    };
    let total: Size = list.workers.iter().map(|worker| worker.capacity).sum();
    let workers = list.workers.iter().map(|worker| {
        vec![
            worker.id.to_string(),
            place(&worker.place),
            worker.rack.to_string(),
            worker.capacity.to_string(),
            state(worker.state),
        ]
    });
    let executors = list.executors.iter().map(|executor| {
        vec![
            executor.id.to_string(),
            executor.upstream.to_string(),
            place(&executor.place),
            state(executor.state),
        ]
    });
    let entries = list.daemons.iter();
    let entries = entries.map(|entry| vec![entry.id.to_string(), state(entry.state)]);
    vec![
        el("p").text(format!(
            "Revision {} of the platform's list, which lags. All workers together: {total}.",
            list.revision
        )),
        table(
            "Workers",
            &["Worker", "Place", "Rack", "Capacity", "State"],
            workers.collect(),
        ),
        table(
            "Executors",
            &["Executor", "Upstream", "Place", "State"],
            executors.collect(),
        ),
        table("Entry hosts", &["Daemon", "State"], entries.collect()),
    ]
}

/// Renders the dump of the API as formatted JSON.
async fn dump(cx: &Arc<DaemonContext>) -> Result<Vec<Element>, ConsoleError> {
    let dump = queries::dump(cx).await?;
    let text = serde_json::to_string_pretty(&dump).unwrap_or_default();
    Ok(vec![
        el("p").text("Times are milliseconds since this daemon was started."),
        el("pre").attr("tabindex", "0").text(text),
    ])
}

fn parts(cx: &DaemonContext) -> Element {
    let rows = cx.board.all().into_iter().map(|part| {
        vec![
            part.part,
            format!("{:?}", part.state).to_lowercase(),
            part.restarts.to_string(),
            part.last_error.unwrap_or_default(),
        ]
    });
    table(
        "Parts of this daemon",
        &["Part", "State", "Restarts", "Last error"],
        rows.collect(),
    )
}
