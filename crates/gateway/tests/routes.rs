//! Tests of lookups in a configuration.

use crocushold_base::Millis;
use crocushold_gateway::Account;
use crocushold_gateway::Repeat;
use crocushold_gateway::Route;
use crocushold_gateway::RouteTable;
use crocushold_gateway::Share;
use crocushold_gateway::TableSpec;
use test_case::test_case;

fn route(name: &str, prefix: &str, priority: u8) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Stream,
        timeout: Millis(1000),
        target: Millis(100),
        gap: Millis(100),
        attempts: 1,
        priority,
        public: false,
        regions: None,
        shares: vec![Share {
            service: "svc".to_owned(),
            weight: 1,
        }],
    }
}

fn account(name: &str, priority: Option<u8>) -> Account {
    Account {
        name: name.to_owned(),
        keys: vec![format!("key-{name}")],
        priority,
        regions: None,
    }
}

fn table() -> RouteTable {
    RouteTable::new(TableSpec {
        version: 1,
        routes: vec![route("live", "/a/", 0), route("batch", "/a/b/", 2)],
        accounts: vec![
            account("first", Some(0)),
            account("other", Some(1)),
            account("plain", None),
        ],
        ..TableSpec::default()
    })
}

#[test_case("a.example", "/a/x", Some("live"))]
#[test_case("A.Example:8080", "/a/x", Some("live"); "case and port don't count")]
#[test_case("a.example", "/a/b/x", Some("batch"); "the longest prefix")]
#[test_case("a.example", "/a/bx", Some("live"); "whole segments")]
#[test_case("a.example", "/", None)]
#[test_case("b.example", "/a/x", None)]
#[test_case("", "/a/x", None)]
fn route_lookup(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

/// Accounts of different priority share engines, which preempt the least urgent requests by rank
/// when their memory is full. A live stream must never be preempted for batch work of any account.
/// Among equal routes the account's priority decides.
#[test]
fn ranks_order_by_route_then_by_account() {
    let table = table();
    let route = |path: &str| table.route("a.example", path).unwrap();
    let rank = |path: &str, key: &str| table.rank(route(path), table.account(key));
    let order = [
        rank("/a/x", "key-first"),
        rank("/a/x", "key-other"),
        rank("/a/x", "key-plain"),
        rank("/a/b/x", "key-first"),
        rank("/a/b/x", "key-other"),
        rank("/a/b/x", "key-plain"),
    ];
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert!(order[5] <= 9, "engines know ten ranks: {order:?}");
    assert!(table.is_least_urgent(route("/a/b/x")));
    assert!(!table.is_least_urgent(route("/a/x")));
}

#[test]
fn a_route_without_weight_has_no_service() {
    let mut route = route("r", "/", 0);
    route.shares[0].weight = 0;
    assert_eq!(route.service(7), None);
}

/// Chats permit pauses of 120 ms between events, summaries 500 ms, so chats are the live route. If
/// all routes permit similar pauses, none is live.
#[test_case(&[120, 200, 500], &[true, false, false])]
#[test_case(&[120, 130, 500], &[true, true, false]; "nearly as short")]
#[test_case(&[300, 500], &[false, false]; "not far enough apart")]
#[test_case(&[0, 120, 500], &[false, true, false]; "one without a bound")]
#[test_case(&[120], &[false]; "a single one")]
fn live_routes_have_by_far_the_shortest_pauses(gaps: &[u64], expected: &[bool]) {
    let routes = gaps.iter().map(|&gap| Route {
        gap: Millis(gap),
        ..route("stream", "/a/", 0)
    });
    let table = RouteTable::new(TableSpec {
        routes: routes.clone().collect(),
        ..TableSpec::default()
    });
    let live: Vec<bool> = routes.map(|route| table.is_live(&route)).collect();
    assert_eq!(live, expected);
}

/// The strictest of a service's live routes counts, whatever its requests come first. A route that
/// sends nothing to a service says nothing about it.
#[test]
fn a_service_has_the_shortest_pause_of_its_live_routes() {
    let share = |service: &str, weight| Share {
        service: service.to_owned(),
        weight,
    };
    let stream = |gap, shares| Route {
        gap: Millis(gap),
        shares,
        ..route("stream", "/a/", 0)
    };
    let table = RouteTable::new(TableSpec {
        routes: vec![
            stream(130, vec![share("a", 1)]),
            stream(120, vec![share("a", 1), share("b", 0)]),
            stream(500, vec![share("a", 1), share("c", 1)]),
        ],
        ..TableSpec::default()
    });
    let pauses = table.live_pauses();
    let pauses: Vec<_> = pauses.iter().map(|(name, gap)| (&**name, *gap)).collect();
    assert_eq!(pauses, [("a", Millis(120))]);
}

/// Guards against a version that counts as the only one too early, as the streams of a route that was
/// resumable aren't any more, and against a wait for requests that aren't streams.
#[test]
fn the_longest_stream_is_of_any_route_with_streams() {
    let timed = |repeat, timeout| Route {
        repeat,
        timeout: Millis(timeout),
        ..route("a", "/a/", 0)
    };
    let table = RouteTable::new(TableSpec {
        routes: vec![
            timed(Repeat::Stream, 3000),
            timed(Repeat::ResumableStream, 2000),
            timed(Repeat::Once, 9000),
        ],
        ..TableSpec::default()
    });
    assert_eq!(table.longest_stream(), Millis(3000));
}
