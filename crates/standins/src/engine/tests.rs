//! Unit tests of the engine's parts, without sockets or a clock.

use crocushold_base::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;
use test_case::test_case;

use super::cache::PrefixCache;
use super::cache::prefix_hash;
use super::events::CacheChange;
use super::events::EventLog;
use super::output::LengthDistribution;
use super::reports::LoadHistory;
use super::reports::LoadSample;

#[test]
fn prefix_covers_the_first_256_bytes_only() {
    let shared = "p".repeat(256);
    let one = prefix_hash(&format!("{shared}one"));
    let two = prefix_hash(&format!("{shared}two"));
    assert_eq!(one, two);
    assert_ne!(one, prefix_hash(&"p".repeat(255)));
    // The published check value of XXH3-64 for empty input.
    assert_eq!(prefix_hash(""), "2d06800538d394c2");
}

#[test]
fn cache_evicts_the_least_recently_used_prefix() {
    let mut cache = PrefixCache::new(2);
    cache.touch("a");
    cache.touch("b");
    assert!(cache.touch("a").hit);
    let used = cache.touch("c");
    assert_eq!(used.evicted.as_deref(), Some("b"));
    assert!(cache.touch("a").hit);
    assert!(!cache.touch("b").hit);
}

#[test_case(199, 0; "before the delay")]
#[test_case(200, 3; "after the delay")]
fn cache_events_show_late(now: u64, shown: usize) {
    let log = event_log(0.0, 3);
    let page = serde_json::to_value(log.page(0, Millis(now))).unwrap();
    assert_eq!(page["events"].as_array().unwrap().len(), shown);
}

#[test]
fn lost_cache_events_leave_gaps_in_the_numbers() {
    let log = event_log(0.5, 100);
    let page = serde_json::to_value(log.page(0, Millis(1000))).unwrap();
    let events = page["events"].as_array().unwrap();
    assert!((20..80).contains(&events.len()), "{} of 100", events.len());
    assert_eq!(page["last"], events.last().unwrap()["seq"]);
    let after = page["last"].as_u64().unwrap();
    let rest = serde_json::to_value(log.page(after, Millis(1000))).unwrap();
    assert!(rest["events"].as_array().unwrap().is_empty());
}

#[test]
fn load_report_is_as_old_as_its_lag() {
    let mut reports = LoadHistory::new(Millis(200));
    for (at, running) in [(100, 1), (200, 2), (300, 3)] {
        reports.record(LoadSample {
            at: Millis(at),
            running,
            ..LoadSample::default()
        });
    }
    let running = |now| reports.view(Millis(now)).running;
    assert_eq!([300, 399, 400, 500].map(running), [1, 1, 2, 3]);
}

/// The last change of an engine that has been idle for a minute is a minute old. A report with the
/// time of this change would be discarded as expired.
#[test]
fn idle_engine_reports_a_fresh_time() {
    let mut reports = LoadHistory::new(Millis(200));
    reports.record(LoadSample {
        at: Millis(100),
        ..LoadSample::default()
    });
    assert_eq!(reports.view(Millis(60_000)).at, Millis(59_800));
}

#[test]
fn lengths_stay_inside_their_bounds_and_average_to_their_mean() {
    let lengths = LengthDistribution { low: 10, high: 400 };
    let mut rng = StdRng::seed_from_u64(7);
    let sampled: Vec<u32> = (0..20_000).map(|_| lengths.sample(&mut rng)).collect();
    assert!(sampled.iter().all(|length| (10..=400).contains(length)));
    let mean = sampled.iter().map(|&l| f64::from(l)).sum::<f64>() / 20_000.0;
    assert!((mean / lengths.mean() - 1.0).abs() < 0.03, "mean {mean}");
}

fn event_log(loss_rate: f64, events: u32) -> EventLog {
    let mut log = EventLog::new(Millis(200), loss_rate);
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..events {
        log.push(CacheChange::Stored, "9f3a", Millis(0), &mut rng);
    }
    log
}
