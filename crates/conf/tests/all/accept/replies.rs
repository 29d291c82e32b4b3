//! The replies to the author of a change, by its outcome.

use conf::accept::Timeouts;
use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::proposer::Proposer;
use conf::accept::reply::ThreeWay;
use conf::accept::reply::apply_reply;
use conf::accept::row::AcceptedDocument;
use conf::api::ApplyReply;
use conf::doc::Document;
use model::Mono;
use model::id::DocVersion;

use super::fixture::current;
use super::fixture::proposal;
use super::fixture::view;

#[test]
fn a_repeated_request_finds_its_change_accepted() {
    let proposal = proposal("op-1", Some(DocVersion(1)));
    let (mut proposer, actions) =
        Proposer::start("d1".into(), proposal, Timeouts::default(), Mono::ZERO);
    assert_eq!(actions, [Action::Read]);
    let read = Event::Read {
        sent: Mono::ZERO,
        view: Some(view(2, false)),
    };
    let ended = proposer.handle(read, Mono(1));
    assert!(
        matches!(&ended[..], [Action::End(Outcome::Accepted { version, .. })] if version.0 == 2),
        "{ended:?}"
    );
}

#[test]
fn each_outcome_gets_its_own_reply() {
    let document = |percent: u8, tail: u32| {
        let mut document = Document::default();
        document.sharing.batch_percent = percent;
        document.sharing.tail_weight = tail;
        document
    };
    let (base, ours, theirs) = (document(70, 1), document(60, 2), document(50, 1));
    let answer = |outcome: Outcome| {
        let versions = ThreeWay {
            base: &base,
            ours: &ours,
            theirs: &theirs,
        };
        apply_reply(outcome, versions).map_err(|problem| problem.outcome)
    };
    assert_eq!(
        answer(Outcome::NotRun("late")),
        Err(model::outcome::Outcome::NotRun)
    );
    assert_eq!(
        answer(Outcome::Unknown),
        Err(model::outcome::Outcome::Unknown)
    );
    let reply = answer(Outcome::Overtaken(Some(current(2))));
    let Ok(ApplyReply::Overtaken {
        version,
        by,
        theirs,
        conflicts,
    }) = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!((version, by.as_str()), (DocVersion(2), "an"));
    assert_eq!(theirs[0].summary, "sharing batch_percent: 70 becomes 50");
    let pointers: Vec<&str> = conflicts.iter().map(|c| c.pointer.as_str()).collect();
    assert_eq!(pointers, ["/sharing/batch_percent"]);
}

#[test]
fn an_overtaken_reply_describes_an_author_without_a_name() {
    let nameless = AcceptedDocument {
        by: " ".into(),
        ..current(2)
    };
    for current in [Some(nameless), None] {
        let document = Document::default();
        let versions = ThreeWay {
            base: &document,
            ours: &document,
            theirs: &document,
        };
        match apply_reply(Outcome::Overtaken(current), versions) {
            Ok(ApplyReply::Overtaken { by, .. }) => assert_eq!(by, "somebody who gave no name"),
            other => panic!("{other:?}"),
        }
    }
}
