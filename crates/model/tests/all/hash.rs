use model::hash::combine_hashes;
use model::hash::stable_hash;

#[test]
fn stable_hash_never_changes_between_releases() {
    assert_eq!(stable_hash(b""), 0xefd0_1f60_ba99_2926);
    assert_ne!(stable_hash(b"daemon-1"), stable_hash(b"daemon-2"));
}

#[test]
fn combine_depends_on_the_order() {
    assert_ne!(combine_hashes(1, 2), combine_hashes(2, 1));
}
