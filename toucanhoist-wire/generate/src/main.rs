//! Regenerates the committed code of toucanhoist-wire.
//!
//! `cargo run -p generate` writes it; `cargo run -p generate -- --check` only compares, and exits 1
//! when the committed code differs.

use std::{
    error::Error,
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

const PROTOCOLS: [&str; 6] =
    ["configuration", "forward", "membership", "quota", "room", "steering"];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = std::env::args().any(|arg| arg == "--check");
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let committed = wire.join("src/generated");
    let fresh = fresh_dir()?;
    let sources: Vec<PathBuf> =
        PROTOCOLS.iter().map(|p| wire.join("proto").join(format!("{p}.proto"))).collect();
    let descriptors = protox::compile(&sources, [wire.join("proto")])?;
    tonic_prost_build::configure().bytes(".").out_dir(&fresh).compile_fds(descriptors)?;

    let mut drifted = false;
    for protocol in PROTOCOLS {
        let name = format!("toucanhoist.{protocol}.rs");
        let generated = fs::read_to_string(fresh.join(&name))?;
        let target = committed.join(&name);
        if fs::read_to_string(&target).is_ok_and(|present| present == generated) {
            continue;
        }
        drifted = true;
        if check {
            eprintln!("{name} differs from its protocol");
        } else {
            fs::write(&target, generated)?;
            println!("{name} written");
        }
    }
    fs::remove_dir_all(&fresh)?;
    Ok(if check && drifted { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn fresh_dir() -> Result<PathBuf, std::io::Error> {
    let dir = std::env::temp_dir().join(format!("toucanhoist-generate-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
