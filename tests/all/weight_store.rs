//! Model loads from a rate-limited weight store, ordered by several instances.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crocushold_standins::EngineSettings;

use crate::support::Call;
use crate::support::Entry;
use crate::support::Fleet;
use crate::support::Site;
use crate::support::SiteSettings;
use crate::support::spawn_call;

/// Rate limit of the store in loads per minute.
const LOADS_PER_MINUTE: u64 = 20;

/// A minute in microseconds.
const MINUTE_US: u64 = 60_000_000;

/// How long a permit stays valid after it was granted (docs/design/weight-store.md). Loads may
/// therefore begin closer together than their permits were granted.
const PERMIT_VALIDITY_US: u64 = 5_000_000;

const ENGINES: usize = 4;

/// The model for which interactive chats wait. The configuration lists the batch model first.
const CHAT_MODEL: &str = "z-chat";
const BATCH_MODEL: &str = "a-batch";

/// Longer than the wait of two owners in succession plus all loads.
const TIMEOUT: Duration = Duration::from_secs(150);

/// Interval between two requests for the models.
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);

/// A load order received by an engine.
#[derive(Clone, Debug)]
struct Load {
    at_us: u64,
    model: String,
    began: bool,
}

/// Returns the loads of all engines in order of time.
///
/// Checks that the load orders so far keep the rate, including repeats: if several instances
/// ordered the same loads, an engine would only fetch the first one.
fn loads(site: &Site) -> Vec<Load> {
    let stats = site.engines.iter().map(|engine| engine.stats());
    let orders = stats.flat_map(|stats| stats.orders);
    let ordered = orders.filter(|order| order.kind == "load");
    let mut loads: Vec<Load> = ordered
        .map(|order| Load {
            at_us: order.at_us,
            model: order.subject,
            began: order.changed,
        })
        .collect();
    loads.sort_by_key(|load| load.at_us);
    assert_within_rate(&loads);
    loads.retain(|load| load.began);
    loads
}

/// Checks the rate over every window that begins and ends with a load; no other window can hold
/// more.
fn assert_within_rate(loads: &[Load]) {
    for (first, load) in loads.iter().enumerate() {
        for (last, other) in loads.iter().enumerate().skip(first) {
            let window = other.at_us - load.at_us;
            let most = 1 + (window + PERMIT_VALIDITY_US) * LOADS_PER_MINUTE / MINUTE_US;
            let count = (last - first + 1) as u64;
            assert!(count <= most, "{count} loads in {window} us: {loads:#?}");
        }
    }
}

/// Callers of both models at every running instance.
struct Callers {
    sent_at: Option<Instant>,
}

impl Callers {
    fn send(&mut self, addresses: &[SocketAddr]) {
        if self
            .sent_at
            .is_some_and(|at| at.elapsed() < REQUEST_INTERVAL)
        {
            return;
        }
        self.sent_at = Some(Instant::now());
        for &address in addresses {
            for (model, mut request) in [
                (BATCH_MODEL, Call::batch(1)),
                (CHAT_MODEL, Call::chat(false, 1)),
            ] {
                request.body = request.body.replace("\"m\"", &format!("\"{model}\""));
                // The answer arrives once the model is loaded; only the demand matters here.
                drop(spawn_call(address, &request));
            }
        }
    }

    /// Keeps sending requests until a condition holds.
    fn send_until(&mut self, what: &str, to: &[SocketAddr], mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {what}");
            self.send(to);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn publish(site: &Site) {
    site.publish(|text| {
        let service =
            format!("kind = model\nweight-loads = {LOADS_PER_MINUTE}/min\nchecks-orders = no");
        let text = text.replace("kind = model", &service);
        let model =
            |name| format!("[model fleet/{name}]\nweights = 16 GB\nservers = {ENGINES}\n\n");
        let at = text.find("[model fleet/m]").unwrap();
        let end = at + text[at..].find("[server").unwrap();
        let models = model(BATCH_MODEL) + &model(CHAT_MODEL);
        format!("{}{models}{}", &text[..at], &text[end..])
    });
}

fn owns(entry: &Entry) -> bool {
    let status = entry.status();
    let mut limits = status.limits.iter();
    limits.any(|limit| limit.limit == "orders/engines-owned" && limit.used > 0)
}

/// Two models are wanted on all of four engines that hold neither, and each of three instances
/// knows everything that is missing. The instance that orders the loads is frozen after the second
/// one, another takes over, and the first resumes in the middle of its loads, assuming that the
/// next one is due. The store would refuse loads above its rate, and the callers of the chat would
/// wait for the batch's model.
#[test]
fn loads_of_several_instances_keep_the_rate_and_the_order() {
    let site = Site::start(&SiteSettings {
        engines: ENGINES,
        engine: EngineSettings {
            models: Vec::new(),
            checks: false,
            ..EngineSettings::default()
        },
        ..SiteSettings::default()
    });
    let fleet = Fleet::start(&site, 3);
    publish(&site);
    fleet.wait_active(2);
    fleet.wait_converged();
    let addresses: Vec<SocketAddr> = fleet.running().map(|entry| entry.listen).collect();
    let mut callers = Callers { sent_at: None };
    callers.send_until("two loads", &addresses, || loads(&site).len() >= 2);

    let owner = (0..3).find(|&number| owns(fleet.entry(number))).unwrap();
    fleet.entry(owner).signal("STOP");
    let before = loads(&site).len();
    let others = (0..3).filter(|&number| number != owner);
    let others: Vec<SocketAddr> = others.map(|n| fleet.entry(n).listen).collect();
    callers.send_until("another instance loads", &others, || {
        loads(&site).len() > before
    });
    fleet.entry(owner).signal("CONT");
    callers.send_until("all loads", &addresses, || {
        loads(&site).len() == 2 * ENGINES
    });

    let loads = loads(&site);
    let models: Vec<&str> = loads.iter().map(|load| load.model.as_str()).collect();
    let (first, last) = models.split_at(ENGINES);
    assert!(first.iter().all(|model| *model == CHAT_MODEL), "{models:?}");
    assert!(last.iter().all(|model| *model == BATCH_MODEL), "{models:?}");
}
