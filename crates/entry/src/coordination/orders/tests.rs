//! The order planner by itself: placement, what is never unloaded, and what waits for the weight
//! store.

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

use super::engine::model_id;
use super::message::ModelRank;
use super::message::OutboundOrder;
use super::placement::Candidate;
use super::placement::DesiredModel;
use super::placement::place;
use super::planner::OrderPlanner;

const MODEL: ModelId = ModelId(7);

/// Loads per minute.
const LOADS: u32 = 6;

fn candidate(number: u64, responsive: bool, held: &[ModelId]) -> Candidate {
    Candidate {
        engine: EngineId(number),
        responsive,
        whole_requests: true,
        held: held.to_vec(),
    }
}

fn holders(replicas: usize, candidates: &[Candidate]) -> Vec<u64> {
    let desired = [DesiredModel {
        model: MODEL,
        replicas,
    }];
    let placements = place(&desired, candidates);
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
fn a_model_is_placed_on_as_many_engines_as_configured() {
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

/// An engine joins the service. If the models were distributed from scratch, half the fleet would
/// load.
#[test]
fn a_joining_engine_moves_no_model_that_is_held() {
    let before = holders(4, &fleet(&[]));
    let mut more = fleet(&before);
    more.push(candidate(10, true, &[]));
    assert_eq!(holders(4, &more), before);
}

#[test]
fn an_engine_without_reports_is_replaced() {
    let before = holders(2, &fleet(&[]));
    let mut fleet = fleet(&before);
    fleet[before[0] as usize].responsive = false;
    let after = holders(2, &fleet);
    assert!(!after.contains(&before[0]) && after.contains(&before[1]));
}

/// A single instance, the configuration of one service with its engines, and the engines' reports.
struct Fixture {
    planner: OrderPlanner,
    keys: Vec<ServerKey>,
    reports: Vec<LoadReport>,
    /// The engine whose reports are missing.
    not_reporting: Option<usize>,
    view: View,
    reference: View,
    now: u64,
}

impl Fixture {
    fn new(servers: u32, reports: Vec<LoadReport>) -> Fixture {
        Fixture::with_loads(servers, reports, LOADS)
    }

    fn with_loads(servers: u32, reports: Vec<LoadReport>, loads: u32) -> Fixture {
        let catalog = catalog(servers, reports.len(), true);
        let me = Member::new("entry-0", 1);
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        let mut planner = OrderPlanner::new(&service.name, loads, me, Millis::ZERO);
        planner.configure(&catalog, service, 4, Millis::ZERO);
        Fixture {
            planner,
            keys: service.servers.clone(),
            reports,
            not_reporting: None,
            view: View::new([me]),
            reference: View::new([me]),
            now: 0,
        }
    }

    /// Restarts with engines that check fencing tokens or ignore them.
    fn checks(&mut self, checks: bool) {
        let catalog = catalog(1, self.keys.len(), checks);
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        self.planner.configure(&catalog, service, 5, Millis::ZERO);
        self.keys = service.servers.clone();
    }

    /// Publishes a configuration that gives the first engine a role.
    fn publish_role(&mut self, servers: u32, role: &str) {
        let text = text(servers, self.keys.len(), true);
        let first = "[server fleet/runner-0]\n";
        let catalog = parse(&text.replace(first, &format!("{first}role = {role}\n")));
        let service = &catalog.services[catalog.service("team/fleet").unwrap()];
        self.planner
            .configure(&catalog, service, 5, Millis(self.now));
        self.keys = service.servers.clone();
    }

    /// Runs for some seconds and answers each order. Returns the orders.
    fn run(&mut self, seconds: u64, answer: OrderAnswer) -> Vec<OutboundOrder> {
        let mut sent = Vec::new();
        for _ in 0..seconds {
            self.now += 1_000;
            let now = Millis(self.now);
            self.planner.on_view(&self.view, &self.reference, now);
            for (at, report) in self.reports.iter().enumerate() {
                if self.not_reporting != Some(at) {
                    self.planner.on_report(self.keys[at], report, now, now);
                }
            }
            for outbound in self.planner.on_tick(now).orders {
                assert!(self.planner.may_send(&outbound.order, now));
                self.planner.on_answer(&outbound.order, answer, now);
                sent.push(outbound);
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

fn is_unload(outbound: &OutboundOrder) -> bool {
    matches!(outbound.body.kind, OrderKind::Unload { .. })
}

/// Both engines hold a model that is configured for one. Both are busy; the surplus one may unload
/// it, since the other serves its callers.
#[test]
fn a_surplus_replica_is_unloaded_once_the_target_is_stable() {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    assert_eq!(fixture.run(29, OrderAnswer::Obeyed), []);
    let sent = fixture.run(4, OrderAnswer::Obeyed);
    assert!(sent.iter().any(is_unload), "{sent:?}");
    assert!(sent.iter().all(|outbound| outbound.order.fence == 4));
}

/// The engine that unloads the model if both hold it and one is to.
fn surplus() -> usize {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    let sent = fixture.run(34, OrderAnswer::Obeyed);
    let unload = sent.iter().find(|outbound| is_unload(outbound)).unwrap();
    usize::from(unload.server.ends_with('1'))
}

/// Of two engines that hold a model, the one that is to keep it stops reporting right before the
/// other is to unload it. If it were unloaded now, there might be no server for the model's
/// callers.
#[test]
fn a_replica_stays_while_the_other_does_not_report() {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    fixture.run(20, OrderAnswer::Obeyed);
    fixture.not_reporting = Some(1 - surplus());
    let sent = fixture.run(35, OrderAnswer::Obeyed);
    assert!(!sent.iter().any(is_unload), "{sent:?}");
}

/// A surplus replica is about to be unloaded. If requests were still sent there, the last ones
/// would be answered that the model is unknown.
#[test]
fn requests_avoid_a_surplus_replica() {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 3), report(&["m"], 3)]);
    fixture.run(3, OrderAnswer::Obeyed);
    let surplus_flags = fixture.keys.iter().map(|key| {
        let now = Millis(fixture.now);
        fixture.planner.is_surplus(*key, model_id("m"), now)
    });
    let mut expected = [false, false];
    expected[surplus()] = true;
    assert_eq!(surplus_flags.collect::<Vec<_>>(), expected);
}

/// The loads among the orders.
fn loads(sent: &[OutboundOrder]) -> Vec<&str> {
    let loads = sent
        .iter()
        .filter_map(|outbound| match &outbound.body.kind {
            OrderKind::Load { model } => Some(model.as_str()),
            _ => None,
        });
    loads.collect()
}

/// Ten engines lack a model. If each load were ordered as soon as it is decided, the weight store
/// would refuse most of them. A new owner also waits until the loads of the previous one no longer
/// count.
#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let mut fixture = Fixture::new(10, vec![report(&[], 0); 10]);
    assert_eq!(fixture.run(24, OrderAnswer::Failed), []);
    let sent = fixture.run(120, OrderAnswer::Failed);
    let count = loads(&sent).len();
    assert!(
        (10..=12).contains(&count),
        "{count} loads in two minutes at 6 a minute"
    );
}

/// Eight engines lack a model, and the weight store allows a load every three seconds. An engine
/// uses its permit only when its next order is due, some seconds later. If it were given another
/// permit in the meantime, half of the rate would be lost, and the callers of the last engines
/// would wait twice as long.
#[test]
fn the_rate_of_the_weight_store_is_used() {
    let mut fixture = Fixture::with_loads(8, vec![report(&[], 0); 8], 20);
    let mut count = 0;
    // The wait of a new owner, a load every three seconds, and the wait of the last order.
    while fixture.now < 25_000 + 8 * 3_000 + 3_000 {
        for outbound in fixture.run(1, OrderAnswer::Obeyed) {
            let engine: usize = outbound.server.rsplit('-').next().unwrap().parse().unwrap();
            fixture.reports[engine] = report(&["m"], 0);
            count += 1;
        }
    }
    assert_eq!(count, 8);
}

/// The model of the nightly batch comes first in the configuration, and the model of the chat
/// service is missing too. The chat callers are waiting, so their model is loaded first.
#[test]
fn the_model_of_the_highest_tier_is_loaded_first() {
    for (first, second) in [("m", "n"), ("n", "m")] {
        let mut fixture = Fixture::new(2, vec![report(&[], 0); 2]);
        let ranks = [(first, 0), (second, 4)];
        let ranks = ranks.map(|(model, rank)| ModelRank {
            model: model_id(model),
            rank,
        });
        fixture.planner.on_ranks(&ranks);
        let sent = fixture.run(60, OrderAnswer::Failed);
        assert_eq!(loads(&sent)[..2], [first, first], "{sent:?}");
    }
}

/// The engines take minutes to load. The chat model is loading on both, and the batch model is
/// next. If the loads in progress were ordered again and again, they would use up the permits, and
/// the batch model would be loaded only after the chat model is there.
#[test]
fn loads_in_progress_take_no_permits() {
    let mut fixture = Fixture::new(2, vec![report(&[], 0); 2]);
    let ranks = [("m", 0), ("n", 4)];
    let ranks = ranks.map(|(model, rank)| ModelRank {
        model: model_id(model),
        rank,
    });
    fixture.planner.on_ranks(&ranks);
    let sent = fixture.run(120, OrderAnswer::Obeyed);
    assert_eq!(loads(&sent), ["m", "m", "n", "n"]);
}

/// An engine crashes while it loads a model: its reports are missing for some seconds, and the load
/// is lost.
#[test]
fn a_load_is_ordered_again_after_a_crash() {
    let mut fixture = Fixture::new(1, vec![report(&[], 0)]);
    let first = fixture.run(60, OrderAnswer::Obeyed);
    assert_eq!(loads(&first), ["m"]);
    fixture.not_reporting = Some(0);
    fixture.run(8, OrderAnswer::Obeyed);
    fixture.not_reporting = None;
    assert_eq!(loads(&fixture.run(30, OrderAnswer::Obeyed)), ["m"]);
}

/// Nothing is ordered without a majority of the fleet, or while another instance owns the service.
#[test_case(&["entry-0"], &["entry-0", "b", "c"]; "in a minority")]
#[test_case(&[], &["entry-0"]; "with no view")]
fn nothing_is_ordered_without_ownership(live: &[&str], reference: &[&str]) {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 0), report(&["m"], 0)]);
    let view = |names: &[&str]| View::new(names.iter().map(|name| Member::new(name, 1)));
    fixture.view = view(live);
    fixture.reference = view(reference);
    fixture.checks(false);
    assert_eq!(fixture.run(90, OrderAnswer::Obeyed), []);
}

#[test]
fn unconfigured_models_are_left_alone() {
    let held = || report(&["m", "n", "x"], 0);
    let mut fixture = Fixture::new(2, vec![held(), held()]);
    assert_eq!(fixture.run(60, OrderAnswer::Obeyed), []);
}

/// A load is decided, and before it is sent a configuration without its model becomes active. The
/// targets follow the configuration at the next tick; until then an engine that ignores fencing
/// tokens would load a model that nobody uses.
#[test]
fn an_order_of_a_replaced_configuration_may_not_be_sent() {
    let mut fixture = Fixture::new(2, vec![report(&[], 0); 2]);
    let mut sent = Vec::new();
    while sent.is_empty() {
        sent = fixture.run(1, OrderAnswer::Failed);
    }
    let (order, now) = (&sent[0].order, Millis(fixture.now));
    assert!(fixture.planner.may_send(order, now));
    fixture.checks(true);
    assert!(!fixture.planner.may_send(order, now));
}

/// The role changes among the orders, with their engines.
fn roles(sent: &[OutboundOrder]) -> Vec<(&str, EngineRole)> {
    let roles = sent.iter().filter_map(|outbound| match outbound.body.kind {
        OrderKind::Role { role } => Some((outbound.server.as_str(), role)),
        _ => None,
    });
    roles.collect()
}

/// Both engines serve a model, and a configuration gives the first one another role. Requests avoid
/// it immediately, and the role is ordered once the configuration has been stable for a while.
#[test]
fn a_role_is_ordered_after_requests_avoid_the_engine() {
    let mut fixture = Fixture::new(2, vec![report(&["m", "n"], 3); 2]);
    fixture.run(3, OrderAnswer::Obeyed);
    fixture.publish_role(2, "prefill");
    assert_eq!(roles(&fixture.run(29, OrderAnswer::Obeyed)), []);
    let surplus_flags: Vec<bool> = fixture
        .keys
        .iter()
        .map(|key| {
            let now = Millis(fixture.now);
            fixture.planner.is_surplus(*key, model_id("m"), now)
        })
        .collect();
    assert_eq!(surplus_flags, [true, false]);
    let sent = fixture.run(6, OrderAnswer::Obeyed);
    assert_eq!(
        roles(&sent)[0],
        ("team/fleet/runner-0", EngineRole::Prefill)
    );
}

/// The engine that is to stop running whole requests is the only one that currently serves a model:
/// the other one lacks it, doesn't report, or still has a role without whole requests. The callers
/// would have no server, so the role change waits.
#[test_case(report(&["n"], 0), None; "lacks the model")]
#[test_case(report(&["m", "n"], 0), Some(1); "does not report")]
#[test_case(LoadReport { role: EngineRole::Decode, ..report(&["m", "n"], 0) }, None; "only decodes")]
fn a_role_waits_until_another_engine_serves(other: LoadReport, not_reporting: Option<usize>) {
    let mut fixture = Fixture::new(2, vec![report(&["m", "n"], 3), other]);
    fixture.publish_role(2, "prefill");
    fixture.not_reporting = not_reporting;
    let sent = fixture.run(55, OrderAnswer::Failed);
    let first = ("team/fleet/runner-0", EngineRole::Prefill);
    assert!(!roles(&sent).contains(&first), "{sent:?}");
}

/// A model is configured for one of two engines, and the configuration gives the engine that holds
/// it another role. The model is loaded on the other engine first, which then serves its callers;
/// the first engine unloads it last.
#[test]
fn a_model_moves_before_its_engine_changes_role() {
    let mut fixture = Fixture::new(1, vec![report(&["m"], 3), report(&[], 0)]);
    fixture.publish_role(1, "decode");
    let sent = fixture.run(60, OrderAnswer::Obeyed);
    assert_eq!(loads(&sent)[..1], ["m"]);
    assert_eq!(roles(&sent), []);
    fixture.reports[1] = report(&["m"], 0);
    let sent = fixture.run(10, OrderAnswer::Obeyed);
    assert_eq!(roles(&sent)[0], ("team/fleet/runner-0", EngineRole::Decode));
    assert!(!sent.iter().any(is_unload), "{sent:?}");
    fixture.reports[0].role = EngineRole::Decode;
    assert!(fixture.run(10, OrderAnswer::Obeyed).iter().any(is_unload));
}

/// Engines run in other roles than usual, and the configuration names none.
#[test]
fn an_unconfigured_role_is_left_alone() {
    let decodes = LoadReport {
        role: EngineRole::Decode,
        ..report(&["m", "n"], 0)
    };
    let mut fixture = Fixture::new(2, vec![decodes.clone(), decodes]);
    assert_eq!(roles(&fixture.run(60, OrderAnswer::Obeyed)), []);
}
