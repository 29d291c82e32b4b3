use model::hash::combine;
use model::hash::stable;

#[test]
fn stable_hash_never_changes_between_releases() {
    assert_eq!(stable(b""), 0xefd0_1f60_ba99_2926);
    assert_ne!(stable(b"daemon-1"), stable(b"daemon-2"));
}

#[test]
fn combine_depends_on_the_order() {
    assert_ne!(combine(1, 2), combine(2, 1));
}
