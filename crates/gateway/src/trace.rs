//! Finds the log lines that explain the handling of a request.

use std::collections::HashSet;

use crate::log_fields::field;

/// Events that change an instance's view of the whole system.
const STATE_EVENTS: [&str; 9] = [
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

/// Maximum number of such events to include from before the request's own lines.
const MAX_PRIOR_EVENTS: usize = 4;

/// Returns the lines of a log that explain a request, in the order of the log.
///
/// These are the request's own lines, the latest state events before them, all state events until
/// its end, the last event of each server that it was sent to, and the quarantine events of its
/// content and of the parts of its prompt.
pub fn trace<'a>(lines: &[&'a str], id: &str) -> Vec<&'a str> {
    let own: Vec<usize> = indices(lines, |line| field(line, "request") == Some(id));
    let (Some(&first), Some(&last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let servers = values(lines, &own, "server");
    let contents = values(lines, &own, "content");
    let parts = values(lines, &own, "parts");
    let parts: HashSet<&str> = parts.into_iter().flat_map(|list| list.split(',')).collect();
    let mut chosen: HashSet<usize> = own.into_iter().collect();
    let state_events = indices(&lines[..last], |line| {
        field(line, "event").is_some_and(|event| STATE_EVENTS.contains(&event))
    });
    let before = state_events.iter().filter(|&&at| at < first);
    chosen.extend(before.rev().take(MAX_PRIOR_EVENTS));
    chosen.extend(state_events.iter().filter(|&&at| at >= first));
    for server in servers {
        let server_events = indices(&lines[..last], |line| {
            let event = field(line, "event").unwrap_or_default();
            event.starts_with("server-") && field(line, "server") == Some(server)
        });
        chosen.extend(server_events.last());
    }
    chosen.extend(indices(&lines[..last], |line| {
        let event = field(line, "event").unwrap_or_default();
        let content = field(line, "content").unwrap_or_default();
        event.starts_with("content-") && contents.contains(content)
    }));
    chosen.extend(indices(&lines[..last], |line| {
        let event = field(line, "event").unwrap_or_default();
        let part = field(line, "part").unwrap_or_default();
        event.starts_with("part-") && parts.contains(part)
    }));
    let mut chosen: Vec<usize> = chosen.into_iter().collect();
    chosen.sort_unstable();
    chosen.into_iter().map(|at| lines[at]).collect()
}

fn values<'a>(lines: &[&'a str], own: &[usize], name: &str) -> HashSet<&'a str> {
    let values = own.iter().filter_map(|&at| field(lines[at], name));
    values.collect()
}

fn indices(lines: &[&str], wanted: impl Fn(&str) -> bool) -> Vec<usize> {
    let matching = lines.iter().enumerate().filter(|(_, line)| wanted(line));
    matching.map(|(at, _)| at).collect()
}
