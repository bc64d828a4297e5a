//! A router with a number of like engines in its own zone.

#![allow(dead_code, reason = "each test file uses a part")]

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_routing::Demand;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;

/// When the engines are configured.
pub(crate) const START: Millis = Millis(10_000);

/// Returns a router with `count` engines that run `slots` requests each, and their keys.
pub(crate) fn router(count: usize, slots: u32) -> (Router, Vec<ServerKey>) {
    let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|number| ServerSpec {
        key: keys.insert(()),
        id: number as u64,
        zone: "here".to_owned(),
        region: None,
        software: None,
        concurrency: slots,
        models: Vec::new(),
    });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(Settings::default(), "here", 7);
    router.configure(&specs, START);
    (router, specs.iter().map(|spec| spec.key).collect())
}

/// Returns a prompt of `tokens` tokens that a placer places.
pub(crate) fn prompt(tokens: u32) -> Demand<'static> {
    Demand {
        unique_tokens: tokens,
        tokens,
        priority: 2,
        central: true,
        ..Demand::default()
    }
}
