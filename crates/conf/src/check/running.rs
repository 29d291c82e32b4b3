//! Running work: a change may not take away the ground it stands on.

use crate::check::Context;
use crate::check::Found;
use crate::check::RunningGroup;
use crate::check::allowed;
use crate::doc::Document;
use crate::finding::Code;
use crate::tree::escape;

pub(super) fn check(document: &Document, cx: &Context<'_>, found: &mut Found) {
    let Some(running) = cx.running else {
        return;
    };
    for group in &running.groups {
        // What is already out of place is not stranded by this change.
        let stood = cx.in_force.is_none_or(|before| stands(before, group));
        if stood && !stands(document, group) {
            report(document, group, found);
        }
    }
}

fn stands(document: &Document, group: &RunningGroup) -> bool {
    let class = document.classes.get(&group.class);
    document.teams.contains_key(&group.team)
        && class.is_some_and(|class| allowed(document, class).contains(&group.data_centre))
}

fn report(document: &Document, group: &RunningGroup, found: &mut Found) {
    let RunningGroup {
        class,
        team,
        data_centre,
        tasks,
    } = group;
    let (pointer, lost) = if !document.classes.contains_key(class) {
        ("/classes".to_owned(), format!("class `{class}` is gone"))
    } else if !document.teams.contains_key(team) {
        ("/teams".to_owned(), format!("team `{team}` is gone"))
    } else {
        let pointer = format!("/classes/{}", escape(class.as_str()));
        (
            pointer,
            format!("class `{class}` may no longer run in `{data_centre}`"),
        )
    };
    let message = format!("{lost}, where {tasks} tasks of class `{class}` and team `{team}` run");
    if found.places.has(&pointer) {
        found.error_at_key(Code::StrandsWork, &pointer, message)
    } else {
        found.error(Code::StrandsWork, "", message)
    }
    .help = Some("wait for the tasks to end, or cancel them first".to_owned());
}
