//! Macro for table-driven tests.

/// Declares one named test per case, which calls a check function with the case's arguments.
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
