//! Unit tests of the platform's parts, without sockets or a clock.

use crocushold_base::Millis;
use test_case::test_case;

use super::budget::ReadBudget;
use super::config::ConfigHistory;
use super::instances::DelayedInstanceList;
use super::instances::Instance;
use super::instances::InstanceState;
use super::instances::Role;

#[test]
fn budget_refuses_beyond_its_limit_until_the_next_second() {
    let mut budget = ReadBudget::new(2);
    let granted: Vec<bool> = (0..3).map(|_| budget.try_acquire(Millis(10))).collect();
    assert_eq!(granted, [true, true, false]);
    assert!(!budget.try_acquire(Millis(999)), "still the same second");
    assert!(budget.try_acquire(Millis(1000)));
    assert_eq!((budget.peak(), budget.refused()), (2, 2));
}

#[test_case(1000, 1999, "live"; "before the lag has passed")]
#[test_case(1000, 2000, "leaving"; "after the lag has passed")]
#[test_case(0, 1000, "leaving"; "without a lag")]
fn instance_list_shows_changes_after_its_lag(lag: u64, now: u64, state: &str) {
    let mut instances = DelayedInstanceList::new(vec![server("runner-1")]);
    instances.set_lag(Millis(lag));
    instances.set_state("runner-1", InstanceState::Leaving, Millis(1000));
    let seen = serde_json::to_value(instances.view(Millis(now))).unwrap();
    assert_eq!(seen["instances"][0]["state"], state);
}

#[test]
fn stale_view_hides_later_changes_until_it_ends() {
    let mut config = published(&["one", "two"]);
    config.pin(Some(1));
    config.publish("clara", Some("three".to_owned()));
    assert_eq!(text(&config), "one");
    config.pin(None);
    assert_eq!((text(&config), config.view().number), ("three", 3));
}

#[test_case(false, 3; "numbers go on from the newest ever")]
#[test_case(true, 2; "numbers of the lost changes come again")]
fn going_back_loses_the_later_changes(reuse: bool, next: u64) {
    let mut config = published(&["one", "two"]);
    config.roll_back(1, reuse);
    assert_eq!((text(&config), config.view().number), ("one", 1));
    config.publish("clara", Some("other".to_owned()));
    assert_eq!((text(&config), config.view().number), ("other", next));
}

fn published(texts: &[&str]) -> ConfigHistory {
    let mut config = ConfigHistory::new();
    for &text in texts {
        config.publish("clara", Some(text.to_owned()));
    }
    config
}

fn text(config: &ConfigHistory) -> &str {
    &config.view().parts["clara"].text
}

fn server(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        role: Role::Server,
        service: "model-fleet".to_owned(),
        zone: "stgo-a".to_owned(),
        address: "127.0.0.1:7001".to_owned(),
        peer_address: String::new(),
        state: InstanceState::Live,
    }
}
