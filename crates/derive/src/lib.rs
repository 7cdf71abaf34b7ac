//! Attribute macros for the common sets of derives.
//!
//! Each attribute prepends one `#[derive(..)]` line, so that a type states what kind of thing it
//! is (`#[value]`, `#[key]`, `#[record]`) in place of the traits that such a thing always has.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug`, `PartialEq` and `Eq`: plain data that is compared as a whole.
#[proc_macro_attribute]
pub fn value(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, Eq", item)
}

/// Derives what [`macro@value`] does and `Copy`, `Hash`, `PartialOrd` and `Ord`: small keys.
#[proc_macro_attribute]
pub fn key(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Derives what [`macro@value`] does and the traits of `serde`: data that is written to a file or
/// to a caller. The crate that uses it depends on `serde` itself.
#[proc_macro_attribute]
pub fn record(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn with_derives(names: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = format!("#[derive({names})]")
        .parse()
        .expect("a derive line is valid Rust");
    out.extend(item);
    out
}
