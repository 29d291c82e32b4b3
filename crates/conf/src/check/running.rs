//! Checks that a change does not remove the class, team or data centre of running tasks.

use crate::check::Collector;
use crate::check::Context;
use crate::check::RunningGroup;
use crate::check::allowed_data_centres;
use crate::doc::Document;
use crate::finding::Code;
use crate::tree::escape;

pub(super) fn check(document: &Document, cx: &Context<'_>, collector: &mut Collector) {
    let Some(running) = cx.running else {
        return;
    };
    for group in &running.groups {
        // A group that the document in force does not allow either is not stranded by this change.
        let could_run = cx.in_force.is_none_or(|before| may_run(before, group));
        if could_run && !may_run(document, group) {
            report(document, group, collector);
        }
    }
}

fn may_run(document: &Document, group: &RunningGroup) -> bool {
    let class = document.classes.get(&group.class);
    document.teams.contains_key(&group.team)
        && class
            .is_some_and(|class| allowed_data_centres(document, class).contains(&group.data_centre))
}

fn report(document: &Document, group: &RunningGroup, collector: &mut Collector) {
    let RunningGroup {
        class,
        team,
        data_centre,
        tasks,
    } = group;
    let (pointer, problem) = if !document.classes.contains_key(class) {
        ("/classes".to_owned(), format!("class `{class}` is removed"))
    } else if !document.teams.contains_key(team) {
        ("/teams".to_owned(), format!("team `{team}` is removed"))
    } else {
        let pointer = format!("/classes/{}", escape(class.as_str()));
        (
            pointer,
            format!("class `{class}` may no longer run in `{data_centre}`"),
        )
    };
    let message = format!("{problem}, but {tasks} tasks of class `{class}` and team `{team}` run");
    if collector.locations.contains(&pointer) {
        collector.error_at_key(Code::StrandsWork, &pointer, message)
    } else {
        collector.error(Code::StrandsWork, "", message)
    }
    .help = Some("wait for the tasks to end, or cancel them first".to_owned());
}
