//! Regenerates the committed code of toucanhoist-wire.
//!
//! `cargo run -p generate` writes it; `cargo run -p generate -- --check` only compares, and exits
//! with 1 if the committed code is out of date.

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
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let committed = crate_dir.join("src/generated");
    let output = output_dir()?;
    let sources: Vec<PathBuf> =
        PROTOCOLS.iter().map(|p| crate_dir.join("proto").join(format!("{p}.proto"))).collect();
    let descriptors = protox::compile(&sources, [crate_dir.join("proto")])?;
    tonic_prost_build::configure().bytes(".").out_dir(&output).compile_fds(descriptors)?;

    let mut outdated = false;
    for protocol in PROTOCOLS {
        let name = format!("toucanhoist.{protocol}.rs");
        let generated = fs::read_to_string(output.join(&name))?;
        let target = committed.join(&name);
        if fs::read_to_string(&target).is_ok_and(|current| current == generated) {
            continue;
        }
        outdated = true;
        if check {
            eprintln!("{name} is out of date: run `cargo run -p generate`");
        } else {
            fs::write(&target, generated)?;
            println!("{name} written");
        }
    }
    fs::remove_dir_all(&output)?;
    Ok(if check && outdated { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn output_dir() -> Result<PathBuf, std::io::Error> {
    let dir = std::env::temp_dir().join(format!("toucanhoist-generate-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
