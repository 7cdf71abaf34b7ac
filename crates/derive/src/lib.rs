//! Attribute macros for common sets of derives.
//!
//! Each attribute prepends one `#[derive(..)]` line, so that a type states its kind (`#[value]`,
//! `#[key]`, `#[record]`) in place of the traits that the kind always has.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug`, `PartialEq` and `Eq`, for plain data.
#[proc_macro_attribute]
pub fn value(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Clone, Debug, PartialEq, Eq", item)
}

/// Derives the traits of [`macro@value`] and `Copy`, `Hash`, `PartialOrd` and `Ord`, for small
/// keys.
#[proc_macro_attribute]
pub fn key(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord",
        item,
    )
}

/// Derives the traits of [`macro@value`] and `serde::Serialize` and `serde::Deserialize`, for data
/// that is written to a file or sent to a caller. The using crate has to depend on `serde`.
#[proc_macro_attribute]
pub fn record(_attr: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("a derive line is valid Rust");
    out.extend(item);
    out
}
