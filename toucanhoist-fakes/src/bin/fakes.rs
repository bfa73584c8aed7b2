//! Fakes as processes, for running `serve` without a platform or targets.
//!
//! `fakes platform ADDRESS` and `fakes target ADDRESS NAME DATA-CENTRE` run until they are killed.

use std::{env, io, net::SocketAddr, process::ExitCode, sync::Arc};

use {
    tokio::runtime,
    toucanhoist_fakes::{platform, target},
};

const USAGE: &str = "usage: fakes platform ADDRESS | fakes target ADDRESS NAME DATA-CENTRE";

fn main() -> ExitCode {
    let owned: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = owned.iter().map(String::as_str).collect();
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(run(&arguments))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &[&str]) -> io::Result<()> {
    match *arguments {
        ["platform", address] => {
            let faulty = Arc::new(platform::Faulty::new());
            let server = platform::Server::bind(parse(address)?, faulty).await?;
            println!("platform at {}", server.address());
            std::future::pending().await
        }
        ["target", address, name, data_centre] => {
            let config = target::Config { name: name.into(), data_centre: data_centre.into() };
            let server = target::Server::bind(parse(address)?, config).await?;
            println!("target {name} at {}", server.address());
            std::future::pending().await
        }
        _ => Err(io::Error::new(io::ErrorKind::InvalidInput, USAGE)),
    }
}

fn parse(address: &str) -> io::Result<SocketAddr> {
    let with_address =
        |error| io::Error::new(io::ErrorKind::InvalidInput, format!("{address}: {error}"));
    address.parse().map_err(with_address)
}
