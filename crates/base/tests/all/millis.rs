//! Arithmetic of the clock type.

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
fn a_deadline_that_never_passes_stays_there() {
    assert_eq!(Millis::MAX + Millis(1), Millis::MAX);
}
