//! Commands that run until a signal stops them.

use std::{
    future::Future,
    path::{Path, PathBuf},
    sync::Arc,
};

use {
    clap::ArgMatches,
    tokio::{
        runtime,
        signal::unix::{SignalKind, signal},
    },
    toucanhoist_core::event::Event,
    toucanhoist_edge::{self as edge, host::Edge},
    toucanhoist_store::Http,
};

use super::{
    documents::{argument, located},
    output::Failure,
};
use crate::{
    dev::{Config, Dev, Ready},
    host::Host,
    journal,
    settings::{Level, Log, Settings},
};

const FORCED_EXIT_CODE: i32 = 1;

pub(super) fn serve(matches: &ArgMatches) -> Result<(), Failure> {
    let file = argument(matches, "settings");
    let settings =
        Settings::read(Path::new(file)).map_err(|error| Failure::Faults(located(file, &error)))?;
    journal::init(settings.log);
    block_on(async move {
        let platform = &settings.platform;
        let platform = Arc::new(Http::new(platform.address, platform.timeout.as_duration()));
        let host = Host::spawn(settings, platform).await.map_err(Failure::failed)?;
        stop_signal().await?;
        let work = host.work();
        spawn_forced_exit(move || work.submissions());
        host.shutdown().await;
        Ok(())
    })
}

/// Runs an entry host on the users' platform.
pub(super) fn edge(matches: &ArgMatches) -> Result<(), Failure> {
    let given = matches.get_one::<String>("settings").map(PathBuf::from);
    let file = given.or_else(toucanhoist_platform::settings_file).ok_or_else(|| {
        Failure::failed("no settings: neither --settings nor the platform's variable names a file")
    })?;
    let settings = edge::settings::Settings::read(&file).map_err(Failure::failed)?;
    // One thread, because the platform gives a process only a part of one core.
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::failed)?;
    runtime.block_on(async move {
        let mut stop = signal(SignalKind::terminate()).map_err(Failure::failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::failed)?;
        let mut reload = signal(SignalKind::hangup()).map_err(Failure::failed)?;
        let store = Arc::new(toucanhoist_platform::Client::new(settings.store));
        let dialect = toucanhoist_platform::dialect();
        let mut host = Edge::spawn(settings, dialect, store).await.map_err(Failure::failed)?;
        host.set_settings_file(file);
        loop {
            tokio::select! {
                _ = stop.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => host.reload(),
            }
        }
        host.shutdown().await;
        Ok(())
    })
}

pub(super) fn dev(matches: &ArgMatches) -> Result<(), Failure> {
    let config = Config {
        hosts: matches.get_one("hosts").copied().unwrap_or(3),
        port: matches.get_one("port").copied().unwrap_or(8080),
        log: Log { level: Level::Info, ..Log::default() },
    };
    journal::init(config.log);
    block_on(async move {
        let dev = Dev::spawn(config).await.map_err(Failure::failed)?;
        if matches.get_flag("json") {
            println!("{}", serde_json::to_string(dev.ready()).map_err(Failure::failed)?);
        } else {
            print_ready(dev.ready());
        }
        stop_signal().await?;
        spawn_forced_exit(|| 0);
        dev.shutdown().await;
        Ok(())
    })
}

fn print_ready(ready: &Ready) {
    let hosts = ready.entry_hosts.iter().zip(&ready.operators);
    for (callers, operators) in hosts {
        println!("entry host {callers}  operators {operators}");
    }
    println!("operator token {}", ready.operator_token);
    for account in &ready.accounts {
        println!("client account {}  key {}", account.name, account.key);
    }
    if let (Some(host), Some(account)) = (ready.entry_hosts.first(), ready.accounts.first()) {
        println!("curl '{host}/lookup?service=curves&client=10.1.2.3'");
        println!("curl '{host}/curves/open/today'");
        println!("curl -H 'Authorization: Bearer {}' '{host}/curves/plot-7'", account.key);
    }
    println!("ready");
}

fn block_on<F>(future: F) -> Result<(), Failure>
where
    F: Future<Output = Result<(), Failure>>,
{
    let runtime =
        runtime::Builder::new_multi_thread().enable_all().build().map_err(Failure::failed)?;
    runtime.block_on(future)
}

async fn stop_signal() -> Result<(), Failure> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Failure::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Failure::failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Ends the process at a second signal and logs the number of unfinished submissions.
fn spawn_forced_exit(unfinished: impl Fn() -> usize + Send + 'static) {
    tokio::spawn(async move {
        if stop_signal().await.is_ok() {
            let (event, left) = (Event::ShutdownForced, unfinished());
            log::warn!(
                target: "toucanhoist",
                "event={} name={event} submissions_left={left}",
                event.number()
            );
            log::logger().flush();
            std::process::exit(FORCED_EXIT_CODE);
        }
    });
}
