//! Servers whose machines are shared with others for parts of a second.

use crocushold_base::Millis;
use crocushold_base::ModelKey;
use crocushold_base::ServerKey;
use crocushold_routing::Router;
use crocushold_routing::ServerSpec;
use crocushold_routing::Settings;
use slotmap::SlotMap;

/// When the traffic begins, in milliseconds.
pub(crate) const START: u64 = 10_000;

/// Length of a span in which a machine is shared or not, in milliseconds.
const NOISE_SPAN: u64 = 600;

/// Whether the machine of a server is shared: in one of eight spans, each by itself.
pub(crate) fn is_shared(server: usize, now: u64) -> bool {
    let draw = now / NOISE_SPAN + server as u64 * 7919;
    (draw.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40).is_multiple_of(8)
}

/// Returns a router with `count` servers of `slots` slots, and their keys.
pub(crate) fn router(
    settings: Settings,
    count: usize,
    slots: u32,
    models: &[ModelKey],
) -> (Router, Vec<ServerKey>) {
    let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let specs = (0..count).map(|number| ServerSpec {
        key: servers.insert(()),
        id: 1000 + number as u64,
        zone: "a".to_owned(),
        region: None,
        software: None,
        concurrency: slots,
        models: models.to_vec(),
    });
    let specs: Vec<ServerSpec> = specs.collect();
    let mut router = Router::new(settings, "a", 5);
    router.configure(&specs, Millis(1000));
    (router, specs.iter().map(|spec| spec.key).collect())
}
