//! Measures parsing and applying a configuration of the target size: 3,700 accounts, 39 models and
//! 5,900 servers in 23 parts. Prints one figure per line.

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_config::Target;
use crocushold_config::resolve;

const TEAMS: usize = 23;
const ACCOUNTS: usize = 3_700;
const MODELS: usize = 39;
const SERVERS: usize = 5_900;
const ROUNDS: u32 = 20;
const LOOKUPS: usize = 200_000;

fn main() {
    let parts: Vec<(String, String)> = (0..TEAMS).map(part).collect();
    let bytes: usize = parts.iter().map(|(_, text)| text.len()).sum();
    println!("text: {} parts, {bytes} bytes", parts.len());

    let before = resident_kib();
    let text = parse_all(&parts);
    let parsed = resident_kib();
    let mut catalog = Catalog::new(&text);
    println!("findings: {}", text.findings().len());
    println!("memory of the parsed text: {} KiB", parsed - before);
    println!(
        "memory of the catalog: {} KiB",
        resident_kib().saturating_sub(parsed)
    );
    println!(
        "catalog: {} accounts, {} models, {} servers, {} classes",
        catalog.accounts.len(),
        catalog.models.len(),
        catalog.servers.len(),
        catalog.classes.len()
    );

    report_times("parse all parts", || drop(black_box(parse_all(&parts))));
    report_times("new catalog", || drop(black_box(Catalog::new(&text))));
    let mut text = text;
    let (team, first) = &parts[0];
    let second = first.replacen("priority = 1", "priority = 2", 1);
    let mut flip = false;
    let mut next = || {
        flip = !flip;
        if flip { &second } else { first }
    };
    report_times("parse one changed part", || {
        text.set_part(team, next());
    });
    report_times("parse one changed part and apply", || {
        text.set_part(team, next());
        black_box(catalog.apply(&text));
    });
    lookups(&catalog);
}

fn lookups(catalog: &Catalog) {
    let keys: Vec<String> = (0..ACCOUNTS).map(|i| key(i % TEAMS, i / TEAMS)).collect();
    let keys: Vec<Credential<'_>> = keys.iter().map(|key| Credential::of(key)).collect();
    let ids: Vec<String> = (0..TEAMS).map(|team| format!("model-{team}-0")).collect();
    let start = Instant::now();
    let mut found = 0;
    for i in 0..LOOKUPS {
        let target = Target::Model(&ids[i % ACCOUNTS % TEAMS]);
        let resolved = resolve(catalog, &keys[i % ACCOUNTS], target, Some("nightly"));
        found += usize::from(black_box(resolved).is_ok());
    }
    let each = start.elapsed().as_nanos() as usize / LOOKUPS;
    println!("resolve: {each} ns, {found} of {LOOKUPS} found");
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        black_box(Credential::of(black_box(
            "team-0.account-0-secret-of-usual-length",
        )));
    }
    let each = start.elapsed().as_nanos() as usize / LOOKUPS;
    println!("digest of a key: {each} ns");
}

fn report_times(name: &str, mut run: impl FnMut()) {
    let mut times: Vec<Duration> = Vec::new();
    for _ in 0..ROUNDS {
        let start = Instant::now();
        run();
        times.push(start.elapsed());
    }
    times.sort();
    let median = times[times.len() / 2].as_secs_f64() * 1000.0;
    let worst = times[times.len() - 1].as_secs_f64() * 1000.0;
    println!("{name}: median {median:.2} ms, worst {worst:.2} ms");
}

fn parse_all(parts: &[(String, String)]) -> ConfigText {
    let mut text = ConfigText::default();
    for (team, part) in parts {
        text.set_part(team, part);
    }
    text
}

/// Returns how many of `all` items team `index` gets.
fn items_of_team(all: usize, index: usize) -> usize {
    all / TEAMS + usize::from(index < all % TEAMS)
}

fn key(team: usize, account: usize) -> String {
    format!("team-{team}.account-{account}")
}

fn part(team: usize) -> (String, String) {
    let mut text = format!(
        "[team team-{team}]\nformat = 1\n\
         [service fleet]\nkind = model\nconcurrency = 16\nweight-loads = 6/min\n"
    );
    for i in 0..items_of_team(SERVERS, team) {
        let (high, low) = (i / 250, i % 250 + 1);
        writeln!(
            text,
            "[server fleet/runner-{i}]\naddress = 10.{team}.{high}.{low}:8000\nzone = zone-{}",
            i % 4
        )
        .expect("writing to a String can't fail");
    }
    for i in 0..items_of_team(MODELS, team) {
        writeln!(
            text,
            "[model fleet/model-{team}-{i}]\nweights = 16 GB\nservers = 12"
        )
        .expect("writing to a String can't fail");
    }
    for (name, priority) in [("chat", 1), ("drafts", 3), ("nightly", 5)] {
        writeln!(
            text,
            "[class {name}]\nservice = fleet\npriority = {priority}\nfirst-token = 350 ms\n\
             between-tokens = 80 ms\nfloor = 5 %\nidempotent = yes"
        )
        .expect("writing to a String can't fail");
    }
    for i in 0..items_of_team(ACCOUNTS, team) {
        let digest = Credential::of(&key(team, i)).digest;
        writeln!(
            text,
            "[account account-{i}]\nkey-sha256 = {digest}\nclasses = chat, drafts, nightly\n\
             requests = 50/s\ntokens = 20000/s\nconcurrency = 64"
        )
        .expect("writing to a String can't fail");
    }
    (format!("team-{team}"), text)
}

/// Returns the resident memory in KiB.
fn resident_kib() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
