//! Look-ups, which tell a caller which entry hosts to use.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use {
    salvo::Request,
    serde::Serialize,
    tokio::{sync::watch, time},
    toucanhoist_core::{
        catalog::Catalog,
        event::Event,
        id,
        lookup::{self, Table},
        planner::{Plan, Planner},
        refusal::{Code, Refusal},
        unit::Share,
    },
};

use super::{answer, bad_request};
use crate::host::{Context, Tasks, exchange::Answer};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Answer to a look-up.
#[derive(Debug, Serialize)]
struct LookUp<'a> {
    service: &'a id::Service,
    client: IpAddr,
    home: Option<&'a id::DataCentre>,
    revision: id::Revision,
    reason: &'static str,
    entry_hosts: Vec<Choice<'a>>,
}

/// An entry host that a caller may use.
#[derive(Debug, Serialize)]
struct Choice<'a> {
    name: &'a id::EntryHost,
    url: &'a str,
    data_centre: &'a id::DataCentre,
    weight: u32,
}

impl Choice<'_> {
    fn new<'a>(choice: &lookup::Choice<'a>) -> Choice<'a> {
        Choice {
            name: &choice.member.name,
            url: &choice.member.callers,
            data_centre: &choice.member.data_centre,
            weight: choice.weight,
        }
    }
}

/// Returns the answer to a look-up.
pub(super) fn answer(
    context: &Context,
    tasks: &Tasks,
    table: Arc<Table>,
    id: id::Request,
    request: &Request,
) -> Result<Answer, Refusal> {
    let service = parameter(request, "service")?
        .parse()
        .map_err(|error: toucanhoist_core::Error| bad_request(error.to_string()))?;
    let client = match parameter(request, "client") {
        Ok(text) => text.parse().map_err(|_| bad_request("client is not an IP address"))?,
        Err(_) => client_address(request)
            .map(|address| address.ip())
            .ok_or_else(|| bad_request("client is missing"))?,
    };
    let (catalog, view) = (tasks.fleet.catalog(), tasks.fleet.view());
    if catalog.service(&service).is_none() {
        return Err(Refusal::not_run(Code::UnknownService, service.as_str()));
    }
    let table = if table.is_built_from(&catalog, &view) {
        table
    } else {
        Arc::new(Table::new(&catalog, &view, table.plan()))
    };
    let found = table.answer(&service, client);
    let reason = match (found.diverted_to, found.home) {
        (Some(_), _) => "the region of the client's home has lost room",
        (None, Some(_)) => "nearest to the client's home",
        (None, None) => "no known home",
    };
    let look_up = LookUp {
        service: &service,
        client,
        home: found.home,
        revision: catalog.revision(),
        reason,
        entry_hosts: found.choices.iter().map(Choice::new).collect(),
    };
    let first = look_up.entry_hosts.first().map_or("none", |choice| choice.name.as_str());
    context.journal.record(
        Event::LookedUp,
        id,
        &[("service", &service), ("client", &client), ("first", &first)],
    );
    let max_age = catalog.fleet().defaults.lookup_max_age.as_duration().as_secs();
    answer::json(&look_up, &format!("max-age={max_age}"))
}

fn client_address(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().clone().into_std()
}

fn parameter(request: &Request, name: &str) -> Result<Box<str>, Refusal> {
    request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%3A", ":").replace("%3a", ":").into())
        .ok_or_else(|| bad_request(format!("the query parameter {name} is missing")))
}

/// Spawns the task that keeps the table of look-ups up to date.
pub(super) fn spawn(context: &Context, tasks: &Tasks) -> watch::Receiver<Arc<Table>> {
    let mut planner = Planner::default();
    let fleet = tasks.fleet.clone();
    let initial = Table::new(&fleet.catalog(), &fleet.view(), &Plan::default());
    let (sender, table) = watch::channel(Arc::new(initial));
    let context = context.clone();
    tokio::spawn(async move {
        let mut poll = time::interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !sender.is_closed() {
            poll.tick().await;
            let (catalog, view) = (fleet.catalog(), fleet.view());
            let (plan, changed) = planner.update(context.clock.now(), &catalog);
            if changed {
                log_plan(&context, &catalog, plan);
            }
            if changed || !sender.borrow().is_built_from(&catalog, &view) {
                sender.send_replace(Arc::new(Table::new(&catalog, &view, plan)));
            }
        }
    });
    table
}

fn log_plan(context: &Context, catalog: &Catalog, plan: &Plan) {
    for service in catalog.services() {
        for region in &catalog.fleet().regions {
            let local_share = plan.share(&service.name, &region.name, &region.name);
            let diverted_share = Share::new(1.0 - local_share);
            if diverted_share.as_f64() > 0.0 {
                context.journal.note(
                    Event::Planned,
                    &[
                        ("service", &service.name),
                        ("region", &region.name),
                        ("away", &diverted_share),
                    ],
                );
            }
        }
    }
}
