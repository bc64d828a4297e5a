//! The desk alone: placement, what is never unloaded, and what waits for the weight store.

use crocushold_base::Millis;
use crocushold_base::ServerKey;
use crocushold_config::Catalog;
use crocushold_config::ConfigText;
use crocushold_ownership::EngineId;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::View;
use crocushold_platform::wire::EngineRole;
use crocushold_platform::wire::LoadReport;
use crocushold_platform::wire::OrderKind;
use test_case::test_case;

use super::desk::Desk;
use super::engine::model_id;
use super::message::Errand;
use super::message::Ranked;
use super::placement::Candidate;
use super::placement::Wanted;
use super::placement::place;

const MODEL: ModelId = ModelId(7);

/// Loads a minute.
const LOADS: u32 = 6;

fn candidate(number: u64, up: bool, held: &[ModelId]) -> Candidate {
    Candidate {
        engine: EngineId(number),
        up,
        whole: true,
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
    reference: View,
    now: u64,
}

impl Lone {
    fn new(servers: u32, reports: Vec<LoadReport>) -> Lone {
        Lone::with_loads(servers, reports, LOADS)
    }

    fn with_loads(servers: u32, reports: Vec<LoadReport>, loads: u32) -> Lone {
        let catalog = catalog(servers, reports.len(), true);
        let me = Member::new("entry-0", 1);
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        let mut desk = Desk::new(&service.name, loads, me, Millis::ZERO);
        desk.configure(&catalog, service, 4, Millis::ZERO);
        Lone {
            desk,
            keys: service.servers.clone(),
            reports,
            silent: None,
            view: View::new([me]),
            reference: View::new([me]),
            now: 0,
        }
    }

    /// Starts anew with engines that check fencing numbers or ignore them.
    fn checks(&mut self, checks: bool) {
        let catalog = catalog(1, self.keys.len(), checks);
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        self.desk.configure(&catalog, service, 5, Millis::ZERO);
        self.keys = service.servers.clone();
    }

    /// Publishes a text that gives the first engine a role.
    fn publish_role(&mut self, servers: u32, role: &str) {
        let text = text(servers, self.keys.len(), true);
        let first = "[server fleet/runner-0]\n";
        let catalog = parse(&text.replace(first, &format!("{first}role = {role}\n")));
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        self.desk.configure(&catalog, service, 5, Millis(self.now));
        self.keys = service.servers.clone();
    }

    /// Runs some seconds, answering each order; returns the orders.
    fn run(&mut self, seconds: u64, answer: OrderAnswer) -> Vec<Errand> {
        let mut sent = Vec::new();
        for _ in 0..seconds {
            self.now += 1_000;
            let now = Millis(self.now);
            self.desk.on_view(&self.view, &self.reference, now);
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

fn catalog(servers: u32, engines: usize, checks: bool) -> Catalog {
    parse(&text(servers, engines, checks))
}

fn parse(text: &str) -> Catalog {
    let mut parts = ConfigText::default();
    parts.set_part("team", text);
    let mut catalog = Catalog::default();
    catalog.apply(&parts);
    catalog
}

fn text(servers: u32, engines: usize, checks: bool) -> String {
    let checks = if checks { "yes" } else { "no" };
    let mut text = format!(
        "[team team]\nformat = 1\n\n[service fleet]\nkind = model\nconcurrency = 8\n\
         weight-loads = {LOADS}/min\nchecks-orders = {checks}\n\n\
         [model fleet/m]\nweights = 16 GB\nservers = {servers}\n\n"
    );
    if servers == 2 && engines == 2 {
        text.push_str("[model fleet/n]\nweights = 16 GB\nservers = 2\n\n");
    }
    for number in 0..engines {
        text.push_str(&format!(
            "[server fleet/runner-{number}]\naddress = 127.0.0.1:{}\nzone = zone-a\n\n",
            9_000 + number
        ));
    }
    text
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
/// other is to give it up. Unloaded now, perhaps nobody could serve the model's callers.
#[test]
fn a_replica_stays_while_the_other_is_silent() {
    let mut lone = Lone::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    lone.run(20, OrderAnswer::Obeyed);
    lone.silent = Some(1 - spare());
    let sent = lone.run(35, OrderAnswer::Obeyed);
    assert!(!sent.iter().any(is_unload), "{sent:?}");
}

/// A spare replica is about to be unloaded. Were requests still sent there, those of the last moment
/// would be answered that the model is unknown.
#[test]
fn requests_keep_away_from_a_spare_replica() {
    let mut lone = Lone::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    lone.run(3, OrderAnswer::Obeyed);
    let spares = lone.keys.iter().map(|key| {
        let now = Millis(lone.now);
        lone.desk.is_spare(*key, model_id("m"), now)
    });
    let mut expected = [false, false];
    expected[spare()] = true;
    assert_eq!(spares.collect::<Vec<_>>(), expected);
}

/// The loads among the orders.
fn loads(sent: &[Errand]) -> Vec<&str> {
    let loads = sent.iter().filter_map(|errand| match &errand.body.kind {
        OrderKind::Load { model } => Some(model.as_str()),
        _ => None,
    });
    loads.collect()
}

/// Ten engines lack a model. Did each load when its order was decided, the weight store would refuse
/// most of them; a new owner also waits until the former one's loads count no more.
#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let mut lone = Lone::new(10, vec![report(&[], 0); 10]);
    assert_eq!(lone.run(24, OrderAnswer::Failed), []);
    let sent = lone.run(120, OrderAnswer::Failed);
    let count = loads(&sent).len();
    assert!(
        (10..=12).contains(&count),
        "{count} loads in two minutes at 6 a minute"
    );
}

/// Eight engines lack a model, and the store gives a load every three seconds. An engine uses its permit
/// only when its next order is due, some seconds later. Were it given another one meanwhile, half of
/// the rate would be lost, and the callers of the last engines would wait for twice as long.
#[test]
fn the_rate_of_the_weight_store_is_used() {
    let mut lone = Lone::with_loads(8, vec![report(&[], 0); 8], 20);
    let mut count = 0;
    // The owner's wait, a load every three seconds, and what the last order waits for.
    while lone.now < 25_000 + 8 * 3_000 + 3_000 {
        for errand in lone.run(1, OrderAnswer::Obeyed) {
            let engine: usize = errand.server.rsplit('-').next().unwrap().parse().unwrap();
            lone.reports[engine] = report(&["m"], 0);
            count += 1;
        }
    }
    assert_eq!(count, 8);
}

/// The nightly sheets' model comes first in the text, and the chat's is missing too. The chat's
/// callers are waiting, so its model is loaded first.
#[test]
fn the_model_of_the_highest_tier_is_loaded_first() {
    for (first, second) in [("m", "n"), ("n", "m")] {
        let mut lone = Lone::new(2, vec![report(&[], 0); 2]);
        let ranks = [(first, 0), (second, 4)];
        let ranks = ranks.map(|(model, rank)| Ranked {
            model: model_id(model),
            rank,
        });
        lone.desk.on_ranks(&ranks);
        let sent = lone.run(60, OrderAnswer::Failed);
        assert_eq!(loads(&sent)[..2], [first, first], "{sent:?}");
    }
}

/// The engines take minutes to load. The chat's model is begun on both, and the sheets' model waits for
/// its turn. Were the loads that are in progress ordered again and again, they would take the store's
/// permits, and the sheets' model would be begun only once the chat's is there.
#[test]
fn loads_in_progress_take_no_permits() {
    let mut lone = Lone::new(2, vec![report(&[], 0); 2]);
    let ranks = [("m", 0), ("n", 4)];
    let ranks = ranks.map(|(model, rank)| Ranked {
        model: model_id(model),
        rank,
    });
    lone.desk.on_ranks(&ranks);
    let sent = lone.run(120, OrderAnswer::Obeyed);
    assert_eq!(loads(&sent), ["m", "m", "n", "n"]);
}

/// An engine crashes while it loads: no report comes for some seconds, and it has forgotten the load.
#[test]
fn a_load_is_ordered_again_after_a_crash() {
    let mut lone = Lone::new(1, vec![report(&[], 0)]);
    let first = lone.run(60, OrderAnswer::Obeyed);
    assert_eq!(loads(&first), ["m"]);
    lone.silent = Some(0);
    lone.run(8, OrderAnswer::Obeyed);
    lone.silent = None;
    assert_eq!(loads(&lone.run(30, OrderAnswer::Obeyed)), ["m"]);
}

/// Without a majority of the fleet, or while another instance owns the service, nothing is ordered.
#[test_case(&["entry-0"], &["entry-0", "b", "c"]; "in a minority")]
#[test_case(&[], &["entry-0"]; "with no view")]
fn nothing_is_ordered_by_one_that_may_not(live: &[&str], reference: &[&str]) {
    let mut lone = Lone::new(1, vec![report(&["m"], 0), report(&["m"], 0)]);
    let view = |names: &[&str]| View::new(names.iter().map(|name| Member::new(name, 1)));
    lone.view = view(live);
    lone.reference = view(reference);
    lone.checks(false);
    assert_eq!(lone.run(90, OrderAnswer::Obeyed), []);
}

#[test]
fn models_that_the_text_never_named_are_left_alone() {
    let held = || report(&["m", "n", "x"], 0);
    let mut lone = Lone::new(2, vec![held(), held()]);
    assert_eq!(lone.run(60, OrderAnswer::Obeyed), []);
}

/// A load is decided, and before it leaves a text without its model is in force. The targets follow a
/// text at the next tick; until then an engine that ignores fencing numbers would load for nobody.
#[test]
fn an_order_of_a_replaced_text_may_not_be_sent() {
    let mut lone = Lone::new(2, vec![report(&[], 0); 2]);
    let mut sent = Vec::new();
    while sent.is_empty() {
        sent = lone.run(1, OrderAnswer::Failed);
    }
    let (order, now) = (&sent[0].order, Millis(lone.now));
    assert!(lone.desk.may_send(order, now));
    lone.checks(true);
    assert!(!lone.desk.may_send(order, now));
}

/// The roles among the orders, with their engines.
fn roles(sent: &[Errand]) -> Vec<(&str, EngineRole)> {
    let roles = sent.iter().filter_map(|errand| match errand.body.kind {
        OrderKind::Role { role } => Some((errand.server.as_str(), role)),
        _ => None,
    });
    roles.collect()
}

/// Both engines serve a model, and a text gives the first one another role. Requests keep away from it
/// at once, and the role is ordered once the text has stood.
#[test]
fn a_role_is_ordered_after_requests_keep_away() {
    let mut lone = Lone::new(2, vec![report(&["m", "n"], 3); 2]);
    lone.run(3, OrderAnswer::Obeyed);
    lone.publish_role(2, "prefill");
    assert_eq!(roles(&lone.run(29, OrderAnswer::Obeyed)), []);
    let spares: Vec<bool> = lone
        .keys
        .iter()
        .map(|key| {
            let now = Millis(lone.now);
            lone.desk.is_spare(*key, model_id("m"), now)
        })
        .collect();
    assert_eq!(spares, [true, false]);
    let sent = lone.run(6, OrderAnswer::Obeyed);
    assert_eq!(
        roles(&sent)[0],
        ("team/fleet/runner-0", EngineRole::Prefill)
    );
}

/// The engine that is to stop running whole requests is the only one that serves a model for now: the
/// other one lacks it, is silent, or still has a role without whole requests. Its callers would be
/// left without a server, so the role waits.
#[test_case(report(&["n"], 0), None; "lacks the model")]
#[test_case(report(&["m", "n"], 0), Some(1); "is silent")]
#[test_case(LoadReport { role: EngineRole::Decode, ..report(&["m", "n"], 0) }, None; "only decodes")]
fn a_role_waits_until_another_engine_serves(other: LoadReport, silent: Option<usize>) {
    let mut lone = Lone::new(2, vec![report(&["m", "n"], 3), other]);
    lone.publish_role(2, "prefill");
    lone.silent = silent;
    let sent = lone.run(55, OrderAnswer::Failed);
    let first = ("team/fleet/runner-0", EngineRole::Prefill);
    assert!(!roles(&sent).contains(&first), "{sent:?}");
}

/// One of two engines is to hold a model, and the text gives the one that does another role. The model
/// is loaded on the other one first, which then serves its callers; the first gives it up last.
#[test]
fn a_model_moves_before_its_engine_changes_role() {
    let mut lone = Lone::new(1, vec![report(&["m"], 3), report(&[], 0)]);
    lone.publish_role(1, "decode");
    let sent = lone.run(60, OrderAnswer::Obeyed);
    assert_eq!(loads(&sent)[..1], ["m"]);
    assert_eq!(roles(&sent), []);
    lone.reports[1] = report(&["m"], 0);
    let sent = lone.run(10, OrderAnswer::Obeyed);
    assert_eq!(roles(&sent)[0], ("team/fleet/runner-0", EngineRole::Decode));
    assert!(!sent.iter().any(is_unload), "{sent:?}");
    lone.reports[0].role = EngineRole::Decode;
    assert!(lone.run(10, OrderAnswer::Obeyed).iter().any(is_unload));
}

/// Engines play other roles than usual, and the text names none.
#[test]
fn a_role_that_the_text_does_not_name_is_left_alone() {
    let decodes = LoadReport {
        role: EngineRole::Decode,
        ..report(&["m", "n"], 0)
    };
    let mut lone = Lone::new(2, vec![decodes.clone(), decodes]);
    assert_eq!(roles(&lone.run(60, OrderAnswer::Obeyed)), []);
}
