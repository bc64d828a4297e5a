//! Tests of the static checks of a configuration.

use crocushold_base::Millis;
use crocushold_gateway::Account;
use crocushold_gateway::Repeat;
use crocushold_gateway::Route;
use crocushold_gateway::Share;
use crocushold_gateway::TableSpec;
use crocushold_gateway::findings;
use test_case::test_case;

fn spec() -> TableSpec {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/a/".to_owned(),
        repeat: Repeat::Once,
        timeout: Millis(1000),
        target: Millis(100),
        gap: Millis(100),
        attempts: 1,
        priority: 0,
        public: false,
        regions: None,
        shares: vec![Share {
            service: "svc".to_owned(),
            weight: 1,
        }],
    };
    let account = Account {
        name: "acc".to_owned(),
        keys: vec!["key".to_owned()],
        priority: None,
        regions: None,
    };
    TableSpec {
        version: 1,
        routes: vec![route],
        accounts: vec![account],
        ..TableSpec::default()
    }
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert!(findings(&spec()).is_empty());
}

#[test_case(|spec| spec.routes[0].prefix = "/a".to_owned(), "slash"; "prefix")]
#[test_case(|spec| spec.routes[0].shares.clear(), "no service"; "no service")]
#[test_case(|spec| spec.routes[0].attempts = 0, "attempt"; "no attempts")]
#[test_case(|spec| spec.routes[0].timeout = Millis(0), "timeout is zero"; "no time")]
#[test_case(|spec| spec.routes[0].target = Millis(2000), "longer"; "target")]
#[test_case(|spec| spec.routes[0].priority = 12, "priority"; "priority")]
#[test_case(|spec| spec.routes.push(spec.routes[0].clone()), "host and prefix"; "twice")]
#[test_case(|spec| spec.accounts.push(Account { name: "b".into(), ..spec.accounts[0].clone() }), "keys"; "shared key")]
fn a_mistake_is_reported(change: fn(&mut TableSpec), expected: &str) {
    let mut spec = spec();
    change(&mut spec);
    let found = findings(&spec);
    assert!(
        found.iter().any(|finding| finding.contains(expected)),
        "{found:?}"
    );
}
