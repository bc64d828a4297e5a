//! Tests of the limit on the wait at a server.

use crocushold_base::Millis;
use test_case::test_case;

use super::wait_limit;
use crate::routes::Repeat;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::routes::TableSpec;

fn batch_route() -> Route {
    Route {
        name: "batch".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/batch/".to_owned(),
        repeat: Repeat::Stream,
        timeout: Millis(10_000),
        target: Millis(1500),
        gap: Millis(1000),
        attempts: 1,
        priority: 2,
        public: false,
        regions: None,
        shares: Vec::new(),
    }
}

/// Guards against taking a caller's slightly shorter timeout for a retry after a refusal, which
/// doubles the limit.
#[test_case(10_000, 1200; "the full timeout")]
#[test_case(9600, 1200; "a little less")]
#[test_case(8600, 1200; "a seventh less")]
#[test_case(8000, 2000; "less by more than the target")]
fn only_requests_refused_before_get_the_longer_wait_limit(timeout: u64, limit: u64) {
    let route = batch_route();
    let table = RouteTable::new(TableSpec {
        routes: vec![route.clone()],
        ..TableSpec::default()
    });
    let found = wait_limit(&table, &route, Millis(timeout));
    assert_eq!(found, Some(Millis(limit)));
}
