//! Saturating arithmetic of `Millis`.

use yuccaseam_base::{
    Millis,
    cases, //
};

fn subtracts(a: u64, b: u64, left: u64) {
    assert_eq!(Millis(a) - Millis(b), Millis(left));
}

cases! { subtracts:
    later_from_earlier_is_zero(3, 5, 0);
    earlier_from_later(5, 3, 2);
}

#[test]
fn largest_deadline_does_not_overflow() {
    assert_eq!(Millis::MAX + Millis(1), Millis::MAX);
}
