//! What operators see of the line at this instance.

use crocushold_base::Event;
use crocushold_base::Millis;
use log::info;

use crate::placing::LineReport;
use crate::shared::Shared;

/// Reports the line at this instance, and whom it refused and served since the last call.
pub(crate) fn report_line(shared: &Shared, now: Millis) {
    let LineReport {
        ranks,
        refusals,
        shares,
        returns,
    } = shared.placer.take_line_report(now);
    shared.metrics.set_line(&ranks);
    shared.metrics.count_line_returns(&returns);
    let waiting: u32 = ranks.values().map(|status| status.waiting).sum();
    if waiting == 0 && refusals.total == 0 && returns.in_time == 0 {
        return;
    }
    let oldest = ranks.values().map(|status| status.oldest).max();
    let table = shared.table();
    let name = |account| {
        let name = table.as_ref().and_then(|table| table.account_name(account));
        name.unwrap_or("none")
    };
    let largest = refusals.largest.iter();
    let largest = largest.map(|&(account, count)| format!("{}:{count}", name(account)));
    let largest: Vec<String> = largest.collect();
    let shares = shares.into_iter();
    let shares = shares.map(|(account, share)| format!("{}:{share}%", name(account)));
    let shares: Vec<String> = shares.collect();
    let event = Event::new("line-state")
        .with("waiting", waiting)
        .with("oldest", oldest.unwrap_or_default())
        .with("refused", refusals.total)
        .with("accounts", largest.join(","))
        .with("shares", shares.join(","))
        .with("returns", returns.kept)
        .with("returned", returns.in_time)
        .with("early", returns.early);
    info!("{event}");
}
