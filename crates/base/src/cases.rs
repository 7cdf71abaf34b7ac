//! The macro that names test cases.

/// Makes one named test of each case: a check function is called with the case's arguments.
///
/// # Examples
///
/// ```
/// use yuccaseam_base::cases;
///
/// fn adds(a: u64, b: u64, sum: u64) {
///     assert_eq!(a + b, sum);
/// }
///
/// cases! { adds:
///     small(1, 2, 3);
///     zero(0, 0, 0);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}
