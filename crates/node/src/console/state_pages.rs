//! The read-only pages that show the state of the daemon, from the same data as the API.

use std::sync::Arc;

use conf::api::HandoverView;
use conf::api::MemberView;
use conf::api::ShardView;
use conf::api::StatusView;
use conf::api::TaskQuery;
use conf::api::TaskState;
use conf::api::TaskView;
use conf::api::UpstreamView;
use http::StatusCode;
use model::Size;
use model::place::Place;
use plat::hosts::HostState;
use serde_json::Value;

use crate::console::ConsoleError;
use crate::console::console_path;
use crate::console::form::Form;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::page::Page;
use crate::console::page::button;
use crate::console::page::table;
use crate::console::session_context::SessionContext;
use crate::context::DaemonContext;
use crate::operators::ApiError;
use crate::operators::queries;

/// The number of tasks on one page.
const TASKS_PER_PAGE: u32 = 100;
/// The task states that the list of tasks can be filtered by.
const STATES: [TaskState; 5] = [
    TaskState::Queued,
    TaskState::Assigned,
    TaskState::Succeeded,
    TaskState::Failed,
    TaskState::Cancelled,
];

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

fn place(place: &Place) -> String {
    format!("{}, {}", place.region, place.data_centre)
}

fn members(members: &[MemberView]) -> Element {
    let row = |member: &MemberView| {
        vec![
            member.daemon.to_string(),
            member.half.to_string(),
            place(&member.place),
            member.state.clone(),
            member.version.to_string(),
            member.silent_ms.to_string(),
        ]
    };
    table(
        "Daemons as this one sees them",
        &[
            "Daemon",
            "Half",
            "Place",
            "State",
            "Version",
            "Silent for ms",
        ],
        members.iter().map(row).collect(),
    )
}

fn upstreams(upstreams: &[UpstreamView]) -> Element {
    let row = |upstream: &UpstreamView| {
        vec![
            upstream.upstream.to_string(),
            upstream.half.to_string(),
            upstream.executors.to_string(),
            upstream.slots.to_string(),
            upstream.busy.to_string(),
            upstream
                .handover
                .as_ref()
                .map_or("none", |handover| &handover.step)
                .to_owned(),
        ]
    };
    table(
        "Upstreams; slots are those that this daemon may use",
        &["Upstream", "Half", "Executors", "Slots", "Busy", "Handover"],
        upstreams.iter().map(row).collect(),
    )
}

fn handovers(status: &StatusView) -> Element {
    let row = |(upstream, handover): (&UpstreamView, &HandoverView)| {
        let waiting: Vec<&str> = handover
            .waiting_for
            .iter()
            .map(|daemon| daemon.as_str())
            .collect();
        vec![
            upstream.upstream.to_string(),
            handover.from.to_string(),
            handover.to.to_string(),
            handover.step.clone(),
            waiting.join(", "),
        ]
    };
    let in_handover = |upstream: &'_ UpstreamView| upstream.handover.is_some();
    let rows = status
        .upstreams
        .iter()
        .filter(|upstream| in_handover(upstream));
    let rows = rows.filter_map(|upstream| Some(row((upstream, upstream.handover.as_ref()?))));
    table(
        "Handovers in progress",
        &["Upstream", "From", "To", "Step", "Waits for"],
        rows.collect(),
    )
}

fn shards(shards: &[ShardView]) -> Element {
    let row = |shard: &ShardView| {
        vec![
            shard.shard.to_string(),
            shard
                .owner
                .as_ref()
                .map_or_else(|| "nobody".into(), ToString::to_string),
            shard.epoch.to_string(),
            shard.workers.to_string(),
            shard.queued.to_string(),
            shard.assigned.to_string(),
        ]
    };
    table(
        "Shards; queues and tasks are counted at the owner",
        &["Shard", "Owner", "Epoch", "Workers", "Queued", "Assigned"],
        shards.iter().map(row).collect(),
    )
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

async fn tasks(cx: &DaemonContext, query: &Form) -> Result<Vec<Element>, ConsoleError> {
    let requested = query.get("state").unwrap_or_default();
    let state = STATES.into_iter().find(|state| state.as_str() == requested);
    let after = query.get("after").ok().filter(|after| !after.is_empty());
    let query = TaskQuery {
        state,
        after: after.map(str::to_owned),
        limit: Some(TASKS_PER_PAGE),
        ..TaskQuery::default()
    };
    let page = queries::tasks(cx, &query).await?;
    let more = page.next.as_ref().map(|next| {
        let next: String = form_urlencoded::byte_serialize(next.as_bytes()).collect();
        let state_name = state.map_or("", TaskState::as_str);
        let to = console_path(&format!("look/tasks?state={state_name}&after={next}"));
        el("p").child(link(to, "Further tasks"))
    });
    let list = table(
        "Tasks",
        &[
            "Task",
            "State",
            "Team",
            "Class",
            "Attempt",
            "Shard",
            "Worker",
            "Evictions",
            "Failures",
            "Reason",
        ],
        page.tasks.iter().map(task).collect(),
    );
    let content = [state_form(state), list];
    Ok(content.into_iter().chain(more).collect())
}

/// Returns the table row of a task. The attempt, evictions and failures of an ended task are not
/// stored, so their cells are empty.
fn task(task: &TaskView) -> Vec<String> {
    let is_live = matches!(task.state, TaskState::Queued | TaskState::Assigned);
    let count = |count: u32| match is_live {
        true => count.to_string(),
        false => String::new(),
    };
    let worker = task.worker.as_ref();
    vec![
        task.task.to_string(),
        task.state.as_str().to_owned(),
        task.team.to_string(),
        task.class.to_string(),
        count(task.attempt.0),
        task.shard.to_string(),
        worker.map(ToString::to_string).unwrap_or_default(),
        count(task.evictions),
        count(task.failures),
        task.reason.clone().unwrap_or_default(),
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

/// Renders the form that filters the list of tasks. It changes no state and therefore uses GET.
fn state_form(chosen: Option<TaskState>) -> Element {
    let option = |value: &str, text: &str, selected: bool| {
        el("option")
            .attr("value", value)
            .flag("selected", selected)
            .text(text)
    };
    let default = option("", "queued and assigned", chosen.is_none());
    let states = STATES.map(|state| option(state.as_str(), state.as_str(), chosen == Some(state)));
    el("form")
        .attr("method", "get")
        .attr("action", console_path("look/tasks"))
        .child(el("label").attr("for", "f-state").text("State"))
        .child(
            el("select")
                .attr("id", "f-state")
                .attr("name", "state")
                .child(default)
                .children(states),
        )
        .child(button("Show"))
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
