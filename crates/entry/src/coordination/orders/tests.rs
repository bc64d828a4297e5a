//! The desk alone: placement, what is never unloaded, and what waits for the weight store.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::Catalog;
use crocushold_config::Text;
use crocushold_ownership::EngineId;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::View;
use crocushold_platform::wire::LoadReport;
use crocushold_platform::wire::OrderKind;
use test_case::test_case;

use super::desk::Desk;
use super::desk::Errand;
use super::placement::Candidate;
use super::placement::Wanted;
use super::placement::place;

const MODEL: ModelId = ModelId(7);

fn candidate(number: u64, up: bool, held: &[ModelId]) -> Candidate {
    Candidate {
        engine: EngineId(number),
        up,
        held: held.to_vec(),
    }
}

fn holders(replicas: usize, candidates: &[Candidate]) -> Vec<u64> {
    let wanted = [Wanted {
        model: MODEL,
        replicas,
    }];
    let placements = place(&wanted, candidates);
    let holders = placements.iter().filter(|p| p.models.contains(&MODEL));
    holders.map(|p| p.engine.0).collect()
}

fn fleet(held: &[u64]) -> Vec<Candidate> {
    let models = |n| {
        if held.contains(&n) {
            vec![MODEL]
        } else {
            Vec::new()
        }
    };
    (0..10).map(|n| candidate(n, true, &models(n))).collect()
}

#[test]
fn a_model_is_placed_on_as_many_engines_as_the_text_says() {
    for replicas in [0, 1, 4, 10, 12] {
        assert_eq!(holders(replicas, &fleet(&[])).len(), replicas.min(10));
    }
}

#[test]
fn engines_that_hold_the_model_keep_it() {
    assert_eq!(holders(3, &fleet(&[1, 5, 8])), [1, 5, 8]);
    let two = holders(2, &fleet(&[1, 5, 8]));
    assert!(two.iter().all(|n| [1, 5, 8].contains(n)), "{two:?}");
}

/// One engine more joins the service. Were the models dealt out anew, half the fleet would load.
#[test]
fn a_joining_engine_moves_no_model_that_is_held() {
    let before = holders(4, &fleet(&[]));
    let mut more = fleet(&before);
    more.push(candidate(10, true, &[]));
    assert_eq!(holders(4, &more), before);
}

#[test]
fn a_silent_engine_is_replaced() {
    let before = holders(2, &fleet(&[]));
    let mut fleet = fleet(&before);
    fleet[before[0] as usize].up = false;
    let after = holders(2, &fleet);
    assert!(!after.contains(&before[0]) && after.contains(&before[1]));
}

/// A lone instance, the text of one service with two engines, and what those say of themselves.
struct Lone {
    desk: Desk,
    keys: Vec<ServerKey>,
    reports: Vec<LoadReport>,
    /// The engine whose reports don't come.
    silent: Option<usize>,
    view: View,
    now: u64,
}

impl Lone {
    fn new(servers: u32, reports: Vec<LoadReport>) -> Lone {
        let catalog = catalog(servers);
        let me = Member::new("entry-0", 1);
        let mut desk = Desk::new(OrderSettings::default(), me, Millis::ZERO);
        desk.configure(&catalog, 4, Millis::ZERO);
        let names = ["team/fleet/runner-0", "team/fleet/runner-1"];
        Lone {
            desk,
            keys: names.map(|name| catalog.server(name).unwrap()).to_vec(),
            reports,
            silent: None,
            view: View::new([me]),
            now: 0,
        }
    }

    /// Runs some seconds, answering each order; returns the orders.
    fn run(&mut self, seconds: u64, answer: OrderAnswer) -> Vec<Errand> {
        let mut sent = Vec::new();
        for _ in 0..seconds {
            self.now += 1_000;
            let now = Millis(self.now);
            self.desk.on_view(self.view.clone(), &self.view, now);
            for (at, report) in self.reports.iter().enumerate() {
                if self.silent != Some(at) {
                    self.desk.on_report(self.keys[at], report, now, now);
                }
            }
            for errand in self.desk.on_tick(now).errands {
                assert!(self.desk.may_send(&errand.order, now));
                self.desk.on_answer(&errand.order, answer, now);
                sent.push(errand);
            }
        }
        sent
    }
}

fn catalog(servers: u32) -> Catalog {
    let text = format!(
        "[team team]\nformat = 1\n\n[service fleet]\nkind = model\nconcurrency = 8\n\
         weight-loads = 6/min\nchecks-orders = yes\n\n\
         [model fleet/m]\nweights = 16 GB\nservers = {servers}\n\n\
         [server fleet/runner-0]\naddress = 127.0.0.1:9001\nzone = zone-a\n\n\
         [server fleet/runner-1]\naddress = 127.0.0.1:9002\nzone = zone-a\n"
    );
    let mut parts = Text::default();
    parts.set_part("team", &text);
    let mut catalog = Catalog::default();
    catalog.apply(&parts);
    catalog
}

fn report(models: &[&str], running: u32) -> LoadReport {
    LoadReport {
        models: models.iter().map(ToString::to_string).collect(),
        running,
        fence: 4,
        ..LoadReport::default()
    }
}

fn is_unload(errand: &Errand) -> bool {
    matches!(errand.body.kind, OrderKind::Unload { .. })
}

/// Both engines hold the model and the text wants it on one. Both are busy; the one that gives it
/// up may, since the other serves its callers.
#[test]
fn a_spare_replica_is_unloaded_once_the_target_has_stood() {
    let mut lone = Lone::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    assert_eq!(lone.run(29, OrderAnswer::Obeyed), []);
    let sent = lone.run(4, OrderAnswer::Obeyed);
    assert!(sent.iter().any(is_unload), "{sent:?}");
    assert!(sent.iter().all(|errand| errand.order.fence == 4));
}

/// Which engine gives the model up when both hold it and one is to.
fn spare() -> usize {
    let mut lone = Lone::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    let sent = lone.run(34, OrderAnswer::Obeyed);
    let unload = sent.iter().find(|errand| is_unload(errand)).unwrap();
    usize::from(unload.server.ends_with('1'))
}

/// Of two engines that hold a model the one that is to keep it falls silent, a moment before the
/// other is to give it up. Unloaded now, requests that run there would be cut, and perhaps nobody
/// could serve their callers.
#[test_case(3, false; "busy")]
#[test_case(0, true; "idle")]
fn a_replica_in_use_stays_while_the_other_is_silent(running: u32, goes: bool) {
    let held = || report(&["m"], running);
    let mut lone = Lone::new(1, vec![held(), held()]);
    lone.run(20, OrderAnswer::Obeyed);
    lone.silent = Some(1 - spare());
    let sent = lone.run(35, OrderAnswer::Obeyed);
    assert_eq!(sent.iter().any(is_unload), goes, "{sent:?}");
}

#[test]
fn a_load_waits_for_a_permit() {
    let mut lone = Lone::new(2, vec![report(&["m"], 0), report(&[], 0)]);
    assert_eq!(lone.run(10, OrderAnswer::Obeyed), []);
}

#[test]
fn models_that_the_text_never_named_are_left_alone() {
    let mut lone = Lone::new(2, vec![report(&["m", "x"], 0), report(&["m"], 0)]);
    assert_eq!(lone.run(60, OrderAnswer::Obeyed), []);
}
