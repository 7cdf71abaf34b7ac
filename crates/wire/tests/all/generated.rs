//! The committed code is what the generator writes.

use std::{
    fs,
    path::Path, //
};

#[test]
fn committed_code_matches_the_proto_files() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let dir = tempfile::tempdir().expect("a temporary folder");
    let names = ["admission", "consensus", "fleet", "store"];
    let files = protox::compile(
        names.map(|name| format!("{name}.proto")),
        [crate_dir.join("proto")],
    )
    .expect("the proto files compile");
    tonic_prost_build::configure()
        .out_dir(dir.path())
        .compile_fds(files)
        .expect("code is generated");
    for name in names {
        let file = format!("yuccaseam.{name}.v1.rs");
        let fresh = fs::read_to_string(dir.path().join(&file)).expect("a generated file");
        let committed = fs::read_to_string(crate_dir.join("src/generated").join(&file))
            .expect("a committed file");
        assert!(
            fresh == committed,
            "{file} is stale: run the example `generate`"
        );
    }
}
