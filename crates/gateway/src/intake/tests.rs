//! How long a request may wait at a server.

use crocushold_base::Millis;
use test_case::test_case;

use super::wait_limit;
use crate::routes::Repeat;
use crate::routes::Route;
use crate::routes::RouteTable;
use crate::routes::TableSpec;

fn batch() -> Route {
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

/// A request whose caller waits for a little less than the route's timeout is taken for one that was refused before, and may
/// wait for twice as long.
#[test_case(10_000, 1200; "the timeout")]
#[test_case(9600, 1200; "a little less")]
#[test_case(8600, 1200; "a seventh less")]
#[test_case(8000, 2000; "less by more than the target")]
fn only_requests_that_lost_time_may_wait_longer(patience: u64, limit: u64) {
    let route = batch();
    let table = RouteTable::new(TableSpec {
        routes: vec![route.clone()],
        ..TableSpec::default()
    });
    let found = wait_limit(&table, &route, Millis(patience));
    assert_eq!(found, Some(Millis(limit)));
}
