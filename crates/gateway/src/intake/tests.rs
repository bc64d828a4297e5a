//! Tests of the limits on the wait at a server and in line.

use crocushold_base::Millis;
use test_case::test_case;

use super::line_limit;
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

/// All ranks of streams wait in line for what their callers bear. Live streams don't, nor do those
/// whose target leaves no time for it, nor plain requests.
#[test_case(Repeat::Stream, 1500, 1000, Some(1200); "a least urgent stream")]
#[test_case(Repeat::ResumableStream, 500, 1000, Some(400); "a more urgent stream")]
#[test_case(Repeat::Stream, 500, 100, None; "a live stream")]
#[test_case(Repeat::Stream, 300, 1000, None; "a stream that bears no wait")]
#[test_case(Repeat::Idempotent, 1500, 1000, None; "a plain request")]
fn streams_wait_in_line_for_what_callers_bear(
    repeat: Repeat,
    target: u64,
    gap: u64,
    limit: Option<u64>,
) {
    let route = Route {
        repeat,
        target: Millis(target),
        gap: Millis(gap),
        priority: 1,
        ..batch_route()
    };
    let live = Route {
        prefix: "/live/".to_owned(),
        gap: Millis(100),
        priority: 0,
        ..batch_route()
    };
    let table = RouteTable::new(TableSpec {
        routes: vec![batch_route(), route.clone(), live],
        ..TableSpec::default()
    });
    let found = line_limit(&table, &route, route.timeout);
    assert_eq!(found, limit.map(Millis));
}
