//! Steering of requests straight to targets: registry, routes, placement, budgets.

#[path = "steering/advertised.rs"]
mod advertised;
#[path = "steering/announced.rs"]
mod announced;
#[path = "steering/balancer.rs"]
mod balancer;
#[path = "steering/budget.rs"]
mod budget;
#[path = "steering/builds.rs"]
mod builds;
#[path = "steering/catch_up.rs"]
mod catch_up;
#[path = "steering/changes.rs"]
mod changes;
#[path = "steering/connectivity.rs"]
mod connectivity;
#[path = "steering/deferral.rs"]
mod deferral;
#[path = "steering/leaving.rs"]
mod leaving;
#[path = "steering/limit_statements.rs"]
mod limit_statements;
#[path = "steering/load.rs"]
mod load;
#[path = "steering/lost_paths.rs"]
mod lost_paths;
#[path = "steering/observations.rs"]
mod observations;
#[path = "steering/paths.rs"]
mod paths;
#[path = "steering/propagation.rs"]
mod propagation;
#[path = "steering/registry.rs"]
mod registry;
#[path = "steering/relay.rs"]
mod relay;
#[path = "steering/restore.rs"]
mod restore;
#[path = "steering/restore_random.rs"]
mod restore_random;
#[path = "steering/routes.rs"]
mod routes;
#[path = "steering/split.rs"]
mod split;
#[path = "steering/support.rs"]
mod support;
#[path = "steering/target_limit.rs"]
mod target_limit;
#[path = "steering/turns.rs"]
mod turns;
#[path = "steering/typical_load.rs"]
mod typical_load;
