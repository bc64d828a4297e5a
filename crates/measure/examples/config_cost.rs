//! Measures what a configuration change costs an instance, and the memory that the configuration
//! takes, with the numbers of accounts and servers varied independently.
//!
//! `cargo run --release -p crocushold-measure --example config_cost`
//!
//! Each size runs in its own process, so that memory of an earlier size doesn't count. The daemon
//! clones the catalog before it applies a change, which is measured, and configures routers and
//! schedulers afterwards, which isn't.

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_config::Credential;
use crocushold_measure::MeasureResult;

/// Numbers of teams, accounts and servers.
const SIZES: [(usize, usize, usize); 8] = [
    (23, 3_700, 5_900),
    (23, 1_850, 5_900),
    (23, 370, 5_900),
    (23, 3_700, 2_950),
    (23, 3_700, 590),
    (23, 370, 590),
    (46, 3_700, 5_900),
    (230, 3_700, 5_900),
];

/// Number of changes that are timed at each size.
const ROUNDS: usize = 15;

fn main() -> MeasureResult<()> {
    let args: Vec<usize> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    if let [teams, accounts, servers] = args[..] {
        measure(teams, accounts, servers);
        return Ok(());
    }
    println!(
        "| teams | accounts | servers | text, bytes | a part, bytes | parse a part | clone and apply | memory of text and catalog |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (teams, accounts, servers) in SIZES {
        let args = [teams, accounts, servers].map(|size| size.to_string());
        Command::new(std::env::current_exe()?).args(args).status()?;
    }
    Ok(())
}

fn measure(teams: usize, accounts: usize, servers: usize) {
    let parts: Vec<String> = (0..teams)
        .map(|team| {
            part_text(
                team,
                share_of_team(accounts, teams, team),
                share_of_team(servers, teams, team),
            )
        })
        .collect();
    let bytes: usize = parts.iter().map(String::len).sum();
    let before = resident_mib();
    let mut text = ConfigText::default();
    for (team, part_text) in parts.iter().enumerate() {
        text.set_part(&team_name(team), part_text);
    }
    let catalog = Catalog::new(&text);
    let memory = resident_mib() - before;
    let changed_part = parts[0].replacen("priority = 1", "priority = 2", 1);
    let mut parse = Vec::new();
    let mut apply = Vec::new();
    for round in 0..ROUNDS {
        let next = if round % 2 == 0 {
            &changed_part
        } else {
            &parts[0]
        };
        let start = Instant::now();
        text.set_part(&team_name(0), next);
        parse.push(start.elapsed());
        let start = Instant::now();
        let mut changed_catalog = catalog.clone();
        changed_catalog.apply(&text);
        black_box(&changed_catalog);
        apply.push(start.elapsed());
    }
    println!(
        "| {teams} | {accounts} | {servers} | {bytes} | {} | {:.1?} | {:.1?} | {memory:.1} MiB |",
        parts[0].len(),
        median(parse),
        median(apply),
    );
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn share_of_team(all: usize, teams: usize, team: usize) -> usize {
    all / teams + usize::from(team < all % teams)
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn part_text(team: usize, accounts: usize, servers: usize) -> String {
    let mut text = format!(
        "[team team-{team}]\nformat = 1\n[service fleet]\nkind = model\nconcurrency = 16\n\
         [model fleet/model-{team}]\nweights = 16 GB\nservers = 12\n"
    );
    let mut line = |args: std::fmt::Arguments<'_>| {
        text.write_fmt(args)
            .expect("writing to a String can't fail");
    };
    for (class, priority) in [("chat", 1), ("drafts", 3), ("nightly", 5)] {
        line(format_args!(
            "[class {class}]\nservice = fleet\npriority = {priority}\nfirst-token = 350 ms\n\
             between-tokens = 80 ms\nfloor = 5 %\nidempotent = yes\n"
        ));
    }
    for n in 0..servers {
        line(format_args!(
            "[server fleet/runner-{n}]\naddress = 10.{team}.{}.{}:8000\nzone = zone-{}\n",
            n / 250,
            n % 250 + 1,
            n % 4
        ));
    }
    for n in 0..accounts {
        let digest = Credential::of(&format!("team-{team}.account-{n}")).digest;
        line(format_args!(
            "[account account-{n}]\nkey-sha256 = {digest}\nclasses = chat, drafts, nightly\n\
             requests = 50/s\ntokens = 20000/s\nconcurrency = 64\n"
        ));
    }
    text
}

/// Resident memory of this process in MiB.
fn resident_mib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
