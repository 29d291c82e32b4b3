//! The list of tasks, one page at a time, with its filter.

use conf::api::TaskQuery;
use conf::api::TaskState;
use conf::api::TaskView;

use crate::console::ConsoleError;
use crate::console::console_path;
use crate::console::form::Form;
use crate::console::html::Element;
use crate::console::html::el;
use crate::console::html::link;
use crate::console::page::button;
use crate::console::page::table;
use crate::context::DaemonContext;
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

/// Renders one page of the list of tasks, filtered by the query.
///
/// # Errors
///
/// Returns an error if the tasks cannot be read.
pub(super) async fn tasks(cx: &DaemonContext, query: &Form) -> Result<Vec<Element>, ConsoleError> {
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
