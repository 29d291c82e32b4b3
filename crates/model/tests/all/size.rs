use model::Size;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 20_261_203;
const GEN_SIZE: usize = 100;

#[test]
fn checked_sub_undoes_add() {
    fn property(left: (u32, u32, u32), right: (u32, u32, u32)) -> bool {
        let left = Size::new(left.0.into(), left.1.into(), left.2.into());
        let right = Size::new(right.0.into(), right.1.into(), right.2.into());
        (left + right).checked_sub(&right) == Some(left)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(property as fn((u32, u32, u32), (u32, u32, u32)) -> bool);
}

#[test]
fn one_dimension_too_large_does_not_fit() {
    let available = Size::new(1000, 1024, 0);
    assert!(Size::new(1000, 1024, 0).fits(&available));
    assert!(!Size::new(1, 1, 1).fits(&available));
    assert_eq!(available.checked_sub(&Size::new(1001, 0, 0)), None);
}

#[test]
fn dominant_share_is_the_largest_dimension() {
    let total = Size::new(4000, 1000, 2);
    let share = Size::new(1000, 500, 0).dominant_share(&total);
    assert!((share - 0.5).abs() < f64::EPSILON);
}
