//! Processes of the measurement and their resource usage.

use std::{
    env, fs,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use super::Role;

const TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) cpu_s: f64,
    pub(super) memory_mb: f64,
}

impl Usage {
    /// Reads the resource usage of a process.
    pub(super) fn of(pid: u32) -> io::Result<Usage> {
        let unreadable = || io::Error::other("the resource usage of the process cannot be parsed");
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit(") ").next().ok_or_else(unreadable)?;
        let ticks = after_name.split(' ').skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
        Ok(Usage { cpu_s: ticks / TICKS_PER_S, memory_mb: kb.ok_or_else(unreadable)? / 1_024.0 })
    }

    pub(super) fn since(self, earlier: &Usage) -> Usage {
        Usage { cpu_s: self.cpu_s - earlier.cpu_s, memory_mb: self.memory_mb }
    }
}

/// Returns the path of the binary `toucanhoist`, which is built first if `cargo` runs this process.
pub(super) fn binary() -> io::Result<PathBuf> {
    let own = env::current_exe()?;
    let binary = own.with_file_name("toucanhoist");
    if let Some(cargo) = env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "toucanhoist", "--bin", "toucanhoist"]);
        // Build scripts would see a change in the variables of this package, and run again.
        let is_of_package =
            |name: &str| name.starts_with("CARGO_PKG_") || name.starts_with("CARGO_MANIFEST_");
        for (name, _) in env::vars().filter(|(name, _)| is_of_package(name)) {
            build.env_remove(name);
        }
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err(io::Error::other("the binary cannot be built"));
        }
    }
    if binary.exists() {
        Ok(binary)
    } else {
        Err(io::Error::other("build the binary first: cargo build --release --bin toucanhoist"))
    }
}

/// A child process, which ends when this value is dropped or this process ends.
pub(super) struct ChildProcess {
    child: Child,
    pub(super) addresses: Vec<SocketAddr>,
}

impl ChildProcess {
    pub(super) fn spawn(
        role: Role,
        arguments: &[String],
        threads: usize,
    ) -> io::Result<ChildProcess> {
        let mut child = Command::new(env::current_exe()?)
            .arg(role.name())
            .args(arguments)
            .env("TOKIO_WORKER_THREADS", threads.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let addresses =
            line.split_whitespace().filter_map(|address| address.parse().ok()).collect();
        Ok(ChildProcess { child, addresses })
    }

    pub(super) fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.child.id())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the addresses that this process serves, and waits until its standard input ends.
pub(super) async fn serve(addresses: &[SocketAddr]) -> io::Result<()> {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    println!("{}", addresses.join(" "));
    tokio::task::spawn_blocking(|| io::copy(&mut io::stdin(), &mut io::sink())).await??;
    Ok(())
}
