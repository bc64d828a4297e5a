//! Loads from a rate-limited weight store, ordered by several instances.

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

/// Loads a minute that the store gives.
const RATE: u64 = 20;

/// What the store gives in a minute of microseconds.
const MINUTE_US: u64 = 60_000_000;

/// A permit may be used for so long after it was given (docs/design/weight-store.md), so that loads
/// begin closer together than their permits were given.
const PERMIT_US: u64 = 5_000_000;

const ENGINES: usize = 4;

/// The model that the live chat waits for. The text names the other one first.
const CHAT: &str = "z-chat";
const BATCH: &str = "a-batch";

/// Longer than two owners wait one after the other, and all loads take.
const PATIENCE: Duration = Duration::from_secs(150);

/// Between two requests for the models.
const ASK: Duration = Duration::from_secs(5);

/// A load that was ordered.
#[derive(Clone, Debug)]
struct Load {
    at_us: u64,
    model: String,
    began: bool,
}

/// The loads of all engines, in order of time.
///
/// The orders to load keep the rate so far, repeats among them: instances that all order loads would
/// order the same ones, of which an engine fetches the first only.
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

/// The rate over every window that begins and ends with a load; no window can hold more.
fn assert_within_rate(loads: &[Load]) {
    for (first, load) in loads.iter().enumerate() {
        for (last, other) in loads.iter().enumerate().skip(first) {
            let window = other.at_us - load.at_us;
            let most = 1 + (window + PERMIT_US) * RATE / MINUTE_US;
            let count = (last - first + 1) as u64;
            assert!(count <= most, "{count} loads in {window} us: {loads:#?}");
        }
    }
}

/// Callers of both models at every instance that runs.
struct Callers {
    asked_at: Option<Instant>,
}

impl Callers {
    fn ask(&mut self, addresses: &[SocketAddr]) {
        if self.asked_at.is_some_and(|at| at.elapsed() < ASK) {
            return;
        }
        self.asked_at = Some(Instant::now());
        for &address in addresses {
            for (model, mut request) in [(BATCH, Call::batch(1)), (CHAT, Call::chat(false, 1))] {
                request.body = request.body.replace("\"m\"", &format!("\"{model}\""));
                // Its answer comes once the model is loaded; that somebody asks is what counts here.
                drop(spawn_call(address, &request));
            }
        }
    }

    /// Goes on asking until a condition holds.
    fn ask_until(&mut self, what: &str, to: &[SocketAddr], mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            assert!(start.elapsed() < PATIENCE, "never happened: {what}");
            self.ask(to);
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn publish(site: &Site) {
    site.publish(|text| {
        let service = format!("kind = model\nweight-loads = {RATE}/min\nchecks-orders = no");
        let text = text.replace("kind = model", &service);
        let model =
            |name| format!("[model fleet/{name}]\nweights = 16 GB\nservers = {ENGINES}\n\n");
        let at = text.find("[model fleet/m]").unwrap();
        let end = at + text[at..].find("[server").unwrap();
        let models = model(BATCH) + &model(CHAT);
        format!("{}{models}{}", &text[..at], &text[end..])
    });
}

fn owns(entry: &Entry) -> bool {
    let status = entry.status();
    let mut limits = status.limits.iter();
    limits.any(|limit| limit.limit == "orders/engines-owned" && limit.used > 0)
}

/// Two models are wanted on all of four engines that hold neither, and three instances run, each of
/// which knows all that is missing. The one that orders the loads is frozen after the second, another
/// takes over, and the first wakes in the middle of its loads, sure that the next is due. The store
/// would refuse what comes above its rate, and the chat's callers would wait for the batch's model.
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
    let mut callers = Callers { asked_at: None };
    callers.ask_until("two loads", &addresses, || loads(&site).len() >= 2);

    let owner = (0..3).find(|&number| owns(fleet.entry(number))).unwrap();
    fleet.entry(owner).signal("STOP");
    let before = loads(&site).len();
    let others = (0..3).filter(|&number| number != owner);
    let others: Vec<SocketAddr> = others.map(|n| fleet.entry(n).listen).collect();
    callers.ask_until("another instance loads", &others, || {
        loads(&site).len() > before
    });
    fleet.entry(owner).signal("CONT");
    callers.ask_until("all loads", &addresses, || {
        loads(&site).len() == 2 * ENGINES
    });

    let loads = loads(&site);
    let models: Vec<&str> = loads.iter().map(|load| load.model.as_str()).collect();
    let (first, last) = models.split_at(ENGINES);
    assert!(first.iter().all(|model| *model == CHAT), "{models:?}");
    assert!(last.iter().all(|model| *model == BATCH), "{models:?}");
}
