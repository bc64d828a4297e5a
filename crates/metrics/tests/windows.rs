//! Sliding windows, compared with sums over a list of all events.

use crocushold_base::Millis;
use crocushold_metrics::Counts;
use crocushold_metrics::Window;
use crocushold_metrics::Windows;
use proptest::collection;
use proptest::prelude::any;
use proptest::proptest;
use proptest::strategy::Strategy;
use test_case::test_case;

/// A recorded verdict, and the time since the previous one in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Event {
    interval: u64,
    attained: bool,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    // Mostly short intervals, with occasional pauses of up to ten hours.
    let busy = (0u64..20_000, any::<bool>());
    let suspended = (0u64..36_000_000, any::<bool>());
    let step = proptest::prop_oneof![20 => busy, 1 => suspended];
    let step = step.prop_map(|(interval, attained)| Event { interval, attained });
    collection::vec(step, 1..300)
}

fn slot_millis(window: Window) -> u64 {
    if window == Window::SixHours {
        300_000
    } else {
        10_000
    }
}

proptest! {
    /// The sum over a window must contain exactly the events of its slots, also after the process
    /// was suspended for longer than the ring covers.
    #[test]
    fn a_window_counts_exactly_its_slots(events in events()) {
        let mut windows = Windows::new();
        let mut seen = Vec::new();
        let mut now = Millis::ZERO;
        for event in events {
            now += Millis(event.interval);
            let counts = if event.attained { Counts::ATTAINED } else { Counts::MISSED };
            windows.add(now, counts);
            seen.push((now, counts));
            for window in Window::ALL {
                assert_eq!(windows.sum(now, window), exact_sum(&seen, now, window), "{window}");
            }
        }
    }
}

fn exact_sum(seen: &[(Millis, Counts)], now: Millis, window: Window) -> Counts {
    let width = slot_millis(window);
    let slots = window.span().0 / width;
    let first = (now.0 / width + 1).saturating_sub(slots);
    let mut sum = Counts::default();
    for (at, counts) in seen {
        if at.0 / width >= first {
            sum.add(*counts);
        }
    }
    sum
}

#[test]
fn counts_expire_without_further_events() {
    let mut windows = Windows::new();
    windows.add(Millis::ZERO, Counts::MISSED);
    let later = Millis::from_secs(300);
    assert_eq!(windows.sum(later, Window::FiveMinutes), Counts::default());
    assert_eq!(windows.sum(later, Window::Hour), Counts::MISSED);
    let later = Millis::from_secs(6 * 3600);
    assert_eq!(windows.sum(later, Window::SixHours), Counts::default());
}

#[test]
fn an_event_before_the_newest_slot_is_counted_in_it() {
    let mut windows = Windows::new();
    windows.add(Millis::from_secs(7200), Counts::ATTAINED);
    windows.add(Millis::from_secs(7000), Counts::MISSED);
    let sum = windows.sum(Millis::from_secs(7200), Window::FiveMinutes);
    assert_eq!(sum.total(), 2);
}

#[test_case("5m", Some(Window::FiveMinutes))]
#[test_case("6h", Some(Window::SixHours))]
#[test_case("10m", None)]
fn a_window_is_parsed_from_text(text: &str, window: Option<Window>) {
    assert_eq!(text.parse().ok(), window);
}

#[test]
fn the_error_of_an_unknown_window_lists_the_known_ones() {
    let error = "10m".parse::<Window>().unwrap_err();
    let known = "no window `10m`: instances expose 5m, 30m, 1h and 6h";
    assert_eq!(error.to_string(), known);
}
