//! Static checks of a configuration, for an operator to run before it is published.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::routes::Account;
use crate::routes::Route;
use crate::routes::TableSpec;

/// Highest rank that model engines distinguish. Ranks above it are treated as equal.
const MAX_ROUTE_PRIORITY: u8 = 9;

/// Returns all findings of a configuration that could be parsed. No finding stops an instance,
/// which serves as much of the configuration as it can.
///
/// Each finding names the route or the account that it concerns.
pub fn findings(spec: &TableSpec) -> Vec<String> {
    let mut findings: Vec<String> = spec.routes.iter().flat_map(route_findings).collect();
    findings.extend(duplicate_routes(&spec.routes));
    findings.extend(shared_keys(&spec.accounts));
    findings
}

fn route_findings(route: &Route) -> Vec<String> {
    let weight: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let checks = [
        (
            !route.prefix.starts_with('/') || !route.prefix.ends_with('/'),
            "the prefix must begin and end with a slash",
        ),
        (
            weight == 0,
            "no service has a weight, so that every request is refused",
        ),
        (
            route.attempts == 0,
            "without an attempt every request is refused",
        ),
        (
            route.timeout.0 == 0,
            "the timeout is zero, so that every request is refused",
        ),
        (
            route.target > route.timeout,
            "the target is longer than the timeout",
        ),
        (
            route.priority > MAX_ROUTE_PRIORITY,
            "the priority is beyond those that engines know",
        ),
    ];
    let failed = checks.into_iter().filter(|(failed, _)| *failed);
    failed
        .map(|(_, finding)| format!("route {}: {finding}", route.name))
        .collect()
}

/// Reports routes that share their host and prefix with an earlier route, so that one hides the
/// other.
fn duplicate_routes(routes: &[Route]) -> Vec<String> {
    let mut seen = HashSet::new();
    let hidden = routes
        .iter()
        .filter(|route| !seen.insert((route.host.as_str(), route.prefix.as_str())));
    hidden
        .map(|route| {
            format!(
                "route {}: another route has its host and prefix",
                route.name
            )
        })
        .collect()
}

/// Reports keys that are assigned to two accounts. Requests with such a key are attributed to the
/// last of the two.
fn shared_keys(accounts: &[Account]) -> Vec<String> {
    let mut holders: HashMap<&str, &str> = HashMap::new();
    let mut findings = Vec::new();
    for account in accounts {
        for key in &account.keys {
            let before = holders.insert(key, &account.name);
            if let Some(before) = before.filter(|before| *before != account.name) {
                findings.push(format!(
                    "account {}: account {before} holds one of its keys",
                    account.name
                ));
            }
        }
    }
    findings
}
