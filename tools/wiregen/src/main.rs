//! Generates `crates/wire/src/proto.rs` from `proto/tarragonhill.proto` without `protoc`.

use std::{error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let proto = root.join("proto");
    let files = protox::compile([proto.join("tarragonhill.proto")], [&proto])?;
    let out = root.join("target").join("wiregen");
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure().out_dir(&out).compile_fds(files)?;
    fs::copy(out.join("tarragonhill.v1.rs"), root.join("crates/wire/src/proto.rs"))?;
    Ok(())
}
