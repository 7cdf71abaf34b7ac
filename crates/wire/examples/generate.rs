//! Generates the committed code of the wire crate from its proto files.
//!
//! Run it as `cargo run -p yuccaseam-wire --example generate [FOLDER]`.

use std::{
    error::Error,
    path::{
        Path,
        PathBuf, //
    },
};

const FILES: [&str; 5] = [
    "admission.proto",
    "consensus.proto",
    "fleet.proto",
    "hub.proto",
    "store.proto",
];

fn main() -> Result<(), Box<dyn Error>> {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| crate_dir.join("src/generated"), PathBuf::from);
    let files = protox::compile(FILES, [crate_dir.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
