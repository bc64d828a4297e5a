//! Measures the body size and the parsing time of each document that instances read from the
//! platform and from backend servers, at several sizes.
//!
//! `cargo run --release -p crocushold-measure --example read_cost`
//!
//! Names and addresses have a typical length; sizes are those of the body without headers.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use crocushold_measure::MeasureResult;
use crocushold_platform::wire::CacheEvents;
use crocushold_platform::wire::ConfigIndex;
use crocushold_platform::wire::InstanceList;
use crocushold_platform::wire::LoadReport;

/// Entry instances and backend servers on the instance list.
const LIST_SIZES: [(usize, usize); 6] = [
    (8, 0),
    (100, 0),
    (400, 0),
    (400, 590),
    (400, 1770),
    (400, 5900),
];

/// Number of parts in the configuration index.
const PART_COUNTS: [usize; 3] = [23, 50, 500];

/// Number of cache events in a server's response.
const EVENT_COUNTS: [usize; 3] = [1, 64, 1024];

/// Number of times that each document is parsed.
const ROUNDS: usize = 15;

fn main() -> MeasureResult<()> {
    println!("| read | size | body, bytes | median time |");
    println!("|---|---|---|---|");
    for (entries, servers) in LIST_SIZES {
        let text = instance_list_json(entries, servers);
        InstanceList::parse(&text)?;
        let median = median_time(|| drop(black_box(InstanceList::parse(black_box(&text)))));
        print_row(
            "instance list",
            &format!("{entries} + {servers}"),
            &text,
            median,
        );
    }
    for parts in PART_COUNTS {
        let text = index_json(parts);
        ConfigIndex::parse(&text)?;
        let median = median_time(|| drop(black_box(ConfigIndex::parse(black_box(&text)))));
        print_row("index", &parts.to_string(), &text, median);
    }
    let text = r#"{"at-ms":1764697200123,"running":13,"waiting":2,"batch-limit":16,"tokens-per-second":812.5,"kv-free":0.41,"models":["clara-8b","clara-70b"],"role":"both","fence":22012}"#;
    LoadReport::parse(text)?;
    let median = median_time(|| drop(black_box(LoadReport::parse(black_box(text)))));
    print_row("load report", "1", text, median);
    for events in EVENT_COUNTS {
        let text = cache_events_json(events);
        CacheEvents::parse(&text)?;
        let median = median_time(|| drop(black_box(CacheEvents::parse(black_box(&text)))));
        print_row("cache events", &events.to_string(), &text, median);
    }
    Ok(())
}

fn print_row(read: &str, size: &str, text: &str, median: Duration) {
    println!("| {read} | {size} | {} | {median:.1?} |", text.len());
}

fn median_time(run: impl Fn()) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn instance_list_json(entries: usize, servers: usize) -> String {
    let entry = |n: usize| {
        let (zone, high, low) = (n % 23, n / 250, n % 250 + 1);
        format!(
            r#"{{"id":"entry-{n}","role":"entry","service":"","zone":"zone-{zone}","address":"10.1.{high}.{low}:7001","peer-address":"10.1.{high}.{low}:7101","state":"live"}}"#
        )
    };
    let server = |n: usize| {
        let (zone, high, low) = (n % 23, n / 250, n % 250 + 1);
        format!(
            r#"{{"id":"runner-{n}","role":"server","service":"model-fleet","zone":"zone-{zone}","address":"10.2.{high}.{low}:8000","peer-address":"","state":"live"}}"#
        )
    };
    let all = (0..entries).map(entry).chain((0..servers).map(server));
    let all: Vec<String> = all.collect();
    format!(r#"{{"revision":22012,"instances":[{}]}}"#, all.join(","))
}

fn index_json(parts: usize) -> String {
    let part = |n: usize| {
        format!(
            r#"{{"team":"team-{n}","revision":{},"bytes":46545}}"#,
            22_000 + n
        )
    };
    let all: Vec<String> = (0..parts).map(part).collect();
    format!(r#"{{"revision":22512,"parts":[{}]}}"#, all.join(","))
}

fn cache_events_json(count: usize) -> String {
    let event = |n: usize| {
        let prefix = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"seq":{},"kind":"stored","prefix":"{prefix:016x}"}}"#,
            100_000 + n
        )
    };
    let all: Vec<String> = (0..count).map(event).collect();
    format!(
        r#"{{"last":{},"events":[{}]}}"#,
        100_000 + count,
        all.join(",")
    )
}
