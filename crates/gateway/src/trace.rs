//! From a request's identity to what decided it, out of an instance's log.

use std::collections::HashSet;

use crate::log_fields::field;

/// Events that change what an instance believes of everything.
const BELIEFS: [&str; 9] = [
    "started",
    "stop-started",
    "stopped",
    "store-lost",
    "store-regained",
    "store-history-lost",
    "config-in-force",
    "log-lines-dropped",
    "process-late",
];

/// Beliefs of everything that are told of before the request's own lines: the latest ones.
const LATEST: usize = 4;

/// The lines of a log that explain a request, in the order of the log.
///
/// These are its own lines, the latest beliefs before the first of them, what changed from then on until
/// its end, what was last known of each server that it was sent to, and what was held against what it asks.
pub fn trace<'a>(lines: &[&'a str], id: &str) -> Vec<&'a str> {
    let own: Vec<usize> = places(lines, |line| field(line, "request") == Some(id));
    let (Some(&first), Some(&last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let servers = values(lines, &own, "server");
    let contents = values(lines, &own, "content");
    let mut chosen: HashSet<usize> = own.into_iter().collect();
    let beliefs = places(&lines[..last], |line| {
        field(line, "event").is_some_and(|event| BELIEFS.contains(&event))
    });
    let before = beliefs.iter().filter(|&&at| at < first);
    chosen.extend(before.rev().take(LATEST));
    chosen.extend(beliefs.iter().filter(|&&at| at >= first));
    for server in servers {
        let told = places(&lines[..last], |line| {
            let event = field(line, "event").unwrap_or_default();
            event.starts_with("server-") && field(line, "server") == Some(server)
        });
        chosen.extend(told.last());
    }
    chosen.extend(places(&lines[..last], |line| {
        let event = field(line, "event").unwrap_or_default();
        let content = field(line, "content").unwrap_or_default();
        event.starts_with("content-") && contents.contains(content)
    }));
    let mut chosen: Vec<usize> = chosen.into_iter().collect();
    chosen.sort_unstable();
    chosen.into_iter().map(|at| lines[at]).collect()
}

fn values<'a>(lines: &[&'a str], own: &[usize], name: &str) -> HashSet<&'a str> {
    let values = own.iter().filter_map(|&at| field(lines[at], name));
    values.collect()
}

fn places(lines: &[&str], wanted: impl Fn(&str) -> bool) -> Vec<usize> {
    let matching = lines.iter().enumerate().filter(|(_, line)| wanted(line));
    matching.map(|(at, _)| at).collect()
}
