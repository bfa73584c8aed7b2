use std::collections::HashSet;

use super::{Fleet, Scope, Value, document::nearest};
use crate::error::Fault;

const SLOTS_MAX: u32 = 10_000;
const RETRY_PERCENT_MAX: u32 = 100;

/// Returns all faults in ranges and references.
pub(super) fn faults(fleet: &Fleet) -> Vec<Fault> {
    let mut check = Check::default();
    check.defaults(fleet);
    check.unique("/regions", fleet.regions.iter().map(|r| r.name.as_str()));
    let data_centres = || fleet.regions.iter().flat_map(|r| &r.data_centres).map(|d| d.as_str());
    check.unique("/regions/data_centres", data_centres());
    check.unique("/services", fleet.services.iter().map(|s| s.name.as_str()));
    check.unique("/targets", fleet.targets.iter().map(|t| t.name.as_str()));
    check.unique("/accounts", fleet.accounts.iter().map(|a| a.name.as_str()));

    let data_centres: HashSet<&str> = data_centres().collect();
    let regions: HashSet<&str> = fleet.regions.iter().map(|r| r.name.as_str()).collect();
    let services: HashSet<&str> = fleet.services.iter().map(|s| s.name.as_str()).collect();
    let targets: HashSet<&str> = fleet.targets.iter().map(|t| t.name.as_str()).collect();
    for (i, link) in fleet.links.iter().enumerate() {
        for (side, region) in link.between.iter().enumerate() {
            check.known(&format!("/links/{i}/between/{side}"), region.as_str(), &regions);
        }
    }
    for (i, block) in fleet.client_blocks.iter().enumerate() {
        check.known(&format!("/client_blocks/{i}/home"), block.home.as_str(), &data_centres);
    }
    for (i, target) in fleet.targets.iter().enumerate() {
        check.known(&format!("/targets/{i}/service"), target.service.as_str(), &services);
        check.known(
            &format!("/targets/{i}/data_centre"),
            target.data_centre.as_str(),
            &data_centres,
        );
    }
    for (i, route) in fleet.routes.iter().enumerate() {
        check.known(&format!("/routes/{i}/service"), route.service.as_str(), &services);
        if !route.path.starts_with('/') {
            let problem = format!("{:?} found, allowed: a path that starts with \"/\"", route.path);
            check.fault(&format!("/routes/{i}/path"), problem);
        }
        if route.methods.is_empty() {
            check.fault(&format!("/routes/{i}/methods"), "no method, allowed: one or more");
        }
    }
    for (i, account) in fleet.accounts.iter().enumerate() {
        if account.weight == 0 {
            check.fault(&format!("/accounts/{i}/weight"), "0 found, allowed: 1 or more");
        }
        if account.burst == 0 {
            check.fault(&format!("/accounts/{i}/burst"), "0 found, allowed: 1 or more");
        }
    }
    for (i, exception) in fleet.exceptions.iter().enumerate() {
        if exception.reason.trim().is_empty() {
            check.fault(&format!("/exceptions/{i}/reason"), "empty, allowed: a written reason");
        }
        if exception.author.trim().is_empty() {
            check.fault(&format!("/exceptions/{i}/author"), "empty, allowed: the author's name");
        }
        let pointer = format!("/exceptions/{i}/scope");
        match &exception.scope {
            Scope::DataCentre(name) => check.known(&pointer, name.as_str(), &data_centres),
            Scope::Service(name) => check.known(&pointer, name.as_str(), &services),
            Scope::Target(name) => check.known(&pointer, name.as_str(), &targets),
        }
        if let Value::Slots(slots) = exception.value {
            check.range(&format!("/exceptions/{i}/value/slots"), slots, 1, SLOTS_MAX);
        }
    }
    check.faults
}

#[derive(Default)]
struct Check {
    faults: Vec<Fault>,
}

impl Check {
    fn defaults(&mut self, fleet: &Fleet) {
        self.range("/defaults/slots", fleet.defaults.slots, 1, SLOTS_MAX);
        self.range("/defaults/retry_percent", fleet.defaults.retry_percent, 0, RETRY_PERCENT_MAX);
        if fleet.defaults.deadline.as_duration().is_zero() {
            self.fault("/defaults/deadline", "0s found, allowed: 1ms or more");
        }
    }

    fn fault(&mut self, pointer: &str, problem: impl Into<Box<str>>) {
        let problem = problem.into();
        self.faults.push(Fault { pointer: pointer.into(), problem, nearest: None });
    }

    fn range(&mut self, pointer: &str, found: u32, lowest: u32, highest: u32) {
        if !(lowest..=highest).contains(&found) {
            self.fault(pointer, format!("{found} found, allowed: {lowest} to {highest}"));
        }
    }

    fn unique<'a>(&mut self, pointer: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for (i, name) in names.enumerate() {
            if !seen.insert(name) {
                let pointer = format!("{pointer}/{i}");
                self.fault(&pointer, format!("{name:?} found twice, allowed: unique names"));
            }
        }
    }

    fn known(&mut self, pointer: &str, found: &str, known: &HashSet<&str>) {
        if known.contains(found) {
            return;
        }
        self.faults.push(Fault {
            pointer: pointer.into(),
            problem: format!("{found:?} found, allowed: a name that the document defines").into(),
            nearest: nearest(found, known.iter().copied()),
        });
    }
}
