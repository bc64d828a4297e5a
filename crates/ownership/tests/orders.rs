//! Orders to engines: two owners, a resumed owner, flapping targets, rate limits.

use crocushold_base::Millis;
use crocushold_ownership::EngineId;
use crocushold_ownership::EngineReport;
use crocushold_ownership::Fencing;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::Order;
use crocushold_ownership::OrderAction;
use crocushold_ownership::OrderAnswer;
use crocushold_ownership::OrderKind;
use crocushold_ownership::OrderSettings;
use crocushold_ownership::Orders;
use crocushold_ownership::RoleId;
use crocushold_ownership::Target;
use crocushold_ownership::View;
use test_case::test_case;

const ENGINE: EngineId = EngineId(5);

const BOTH: RoleId = RoleId(0);
const PREFILL: RoleId = RoleId(1);

/// An engine that executes and records orders.
struct Engine {
    fencing: Fencing,
    models: Vec<ModelId>,
    role: RoleId,
    fence: u64,
    executed: Vec<Order>,
}

impl Engine {
    fn new(fencing: Fencing, models: &[u32]) -> Engine {
        Engine {
            fencing,
            models: models.iter().copied().map(ModelId).collect(),
            role: BOTH,
            fence: 0,
            executed: Vec::new(),
        }
    }

    fn execute(&mut self, order: &Order) -> OrderAnswer {
        if self.fencing == Fencing::Checked && order.fence < self.fence {
            return OrderAnswer::Fenced { fence: self.fence };
        }
        self.fence = order.fence;
        self.executed.push(*order);
        match order.kind {
            OrderKind::Load(model) if !self.models.contains(&model) => self.models.push(model),
            OrderKind::Unload(model) => self.models.retain(|other| *other != model),
            OrderKind::Load(_) => {}
            OrderKind::Role(role) => self.role = role,
        }
        OrderAnswer::Obeyed
    }

    fn report(&self, now: Millis) -> EngineReport {
        let checks_fencing = self.fencing == Fencing::Checked;
        EngineReport {
            engine: ENGINE,
            models: self.models.clone(),
            role: self.role,
            fence: if checks_fencing { self.fence } else { 0 },
            asked_at: now,
        }
    }
}

fn target(revision: u64, fencing: Fencing, models: &[u32]) -> Target {
    Target {
        engine: ENGINE,
        revision,
        fencing,
        models: models.iter().copied().map(ModelId).collect(),
        role: Some(BOTH),
    }
}

/// A target with the first model and a role.
fn role_target(revision: u64, fencing: Fencing, role: Option<RoleId>) -> Target {
    Target {
        role,
        ..target(revision, fencing, &[1])
    }
}

fn instance(name: &str, target: Target, view: &View) -> Orders {
    let now = Millis::ZERO;
    let mut orders = Orders::new(OrderSettings::default(), Member::new(name, 1), now);
    orders.on_target(target, now);
    orders.on_view(view.clone(), view, now);
    orders
}

fn view(name: &str) -> View {
    View::new([Member::new(name, 1)])
}

/// One second of an instance whose calls all succeed.
fn step(orders: &mut Orders, engine: &mut Engine, now: Millis) -> Vec<OrderAction> {
    let actions = orders.on_tick(now);
    for action in &actions {
        match action {
            OrderAction::ReadBack(_) => orders.on_report(engine.report(now + Millis(1)), now),
            OrderAction::Send(order) if orders.may_send(order, now) => {
                let answer = engine.execute(order);
                orders.on_answer(order, answer, now);
            }
            _ => {}
        }
    }
    actions
}

fn run(orders: &mut Orders, engine: &mut Engine, view: &View, from: u64, to: u64) {
    for second in from..to {
        let now = Millis::from_secs(second);
        orders.on_view(view.clone(), view, now);
        step(orders, engine, now);
    }
}

/// An owner was stopped by a signal while revision 4 was current; another instance has applied
/// revision 5. The first one resumes with revision 4 and still believes that it owns the engine. On
/// an engine that checks fencing tokens, its first order must be refused or not sent, and then it
/// must stop.
#[test]
fn a_resumed_owner_is_fenced_off() {
    let mut engine = Engine::new(Fencing::Checked, &[1]);
    let old_view = view("a");
    let mut old = instance("a", target(4, Fencing::Checked, &[1, 2]), &old_view);
    let new_view = view("b");
    let mut new = instance("b", target(5, Fencing::Checked, &[1, 3]), &new_view);
    run(&mut new, &mut engine, &new_view, 1, 60);
    assert_eq!(engine.models, [ModelId(1), ModelId(3)]);
    let before = engine.executed.len();
    run(&mut old, &mut engine, &old_view, 61, 180);
    assert_eq!(engine.executed.len(), before);
    let actions = old.on_tick(Millis::from_secs(180));
    let outdated = OrderAction::Outdated {
        engine: ENGINE,
        fence: 5,
    };
    assert_eq!(actions, [outdated]);
}

/// For minutes, two instances both believe that they own an engine, with the same configuration.
/// Both send orders; since they apply the same configuration and read the engine first, the engine
/// must end as configured, and nothing may be unloaded in between.
#[test_case(Fencing::Checked)]
#[test_case(Fencing::Ignored)]
fn two_owners_with_the_same_configuration_converge(fencing: Fencing) {
    let mut engine = Engine::new(fencing, &[1, 9]);
    let views = [view("a"), view("b")];
    let wanted = target(5, fencing, &[1, 2, 3]);
    let mut a = instance("a", wanted.clone(), &views[0]);
    let mut b = instance("b", wanted, &views[1]);
    for second in 1..120 {
        run(&mut a, &mut engine, &views[0], second, second + 1);
        run(&mut b, &mut engine, &views[1], second, second + 1);
        assert!(engine.models.contains(&ModelId(1)));
    }
    assert_eq!(engine.models, [ModelId(1), ModelId(2), ModelId(3)]);
    let unloads: Vec<OrderKind> = engine.executed.iter().map(|o| o.kind).collect();
    let unloads: Vec<&OrderKind> = unloads.iter().filter(|k| k.is_destructive()).collect();
    // Both may have read the engine before either unloaded; the second unload changes nothing.
    assert!(unloads.len() <= 2, "{unloads:?}");
    assert!(unloads.iter().all(|k| **k == OrderKind::Unload(ModelId(9))));
}

/// The engine has no fencing. Its owner is paused between the decision to unload and the sending,
/// and resumes a minute later, when another instance owns the engine. The pending order is based on
/// an outdated state: it must not be sent, and neither may others before the view is confirmed
/// again.
#[test]
fn a_resumed_owner_sends_nothing_to_an_engine_without_fencing() {
    let mut engine = Engine::new(Fencing::Ignored, &[1, 2]);
    let view = &view("a");
    let mut old = instance("a", target(4, Fencing::Ignored, &[1]), view);
    let mut second = 1;
    let order = loop {
        let now = Millis::from_secs(second);
        old.on_view(view.clone(), view, now);
        let actions = old.on_tick(now);
        if let Some(OrderAction::Send(order)) = actions.first() {
            break *order;
        }
        old.on_report(engine.report(now + Millis(1)), now);
        second += 1;
        assert!(second < 120, "no order was sent");
    };
    assert_eq!(order.kind, OrderKind::Unload(ModelId(2)));
    let resumed = Millis::from_secs(second + 60);
    assert!(!old.may_send(&order, resumed));
    assert_eq!(step(&mut old, &mut engine, resumed), []);
    assert!(engine.executed.is_empty());
}

/// The ownership of an engine without fencing moves. The former owner may not know yet; it acts for
/// up to a lease, and its last order is in flight for up to the call timeout. Until both have
/// passed, the new owner must not send anything.
#[test]
fn a_new_owner_waits_for_the_takeover_delay() {
    let settings = OrderSettings::default();
    assert!(settings.takeover_delay > settings.lease + settings.call_timeout);
    let mut engine = Engine::new(Fencing::Ignored, &[]);
    let view = view("b");
    let mut new = instance("b", target(4, Fencing::Ignored, &[1]), &view);
    let wait = settings.takeover_delay.as_secs_ceil();
    run(&mut new, &mut engine, &view, 1, wait);
    assert!(engine.executed.is_empty());
    run(&mut new, &mut engine, &view, wait, wait + 5);
    assert_eq!(engine.models, [ModelId(1)]);
}

/// An order to unload is sent late, and the call is slow. Meanwhile the configuration changes, and
/// no answer arrives. The engine has no fencing: if the next order, of the newer configuration,
/// overtook the one in flight, the unload of the older configuration would be executed last.
/// Nothing may be done until the call is over.
#[test]
fn an_order_in_flight_is_never_overtaken() {
    let settings = OrderSettings::default();
    let engine = Engine::new(Fencing::Ignored, &[1, 2]);
    let view = &view("a");
    let mut owner = instance("a", target(4, Fencing::Ignored, &[1]), view);
    let mut second = 0;
    let order = loop {
        second += 1;
        assert!(second < 120, "no order was sent");
        let now = Millis::from_secs(second);
        owner.on_view(view.clone(), view, now);
        match owner.on_tick(now).first() {
            Some(OrderAction::Send(order)) => break *order,
            Some(OrderAction::ReadBack(_)) => owner.on_report(engine.report(now + Millis(1)), now),
            _ => {}
        }
    };
    let sent_at = Millis(second * 1_000 + 1_900);
    assert!(owner.may_send(&order, sent_at));
    owner.on_target(target(5, Fencing::Ignored, &[1, 2, 3]), sent_at);
    for at in second + 2..second + 60 {
        let now = Millis::from_secs(at);
        owner.on_view(view.clone(), view, now);
        for action in owner.on_tick(now) {
            assert!(
                now >= sent_at + settings.call_timeout,
                "{action:?} at {now}"
            );
            if matches!(action, OrderAction::Send(_)) {
                return;
            }
            owner.on_report(engine.report(now + Millis(1)), now);
        }
    }
    panic!("the newer configuration is never applied");
}

/// A team publishes a change and reverts it every few seconds. Loads are cheap to repeat; an unload
/// each time would keep the weight store busy forever, so none may be sent.
#[test]
fn a_flapping_target_unloads_nothing() {
    let mut engine = Engine::new(Fencing::Checked, &[1, 2]);
    let view = &view("a");
    let mut orders = instance("a", target(1, Fencing::Checked, &[1, 2]), view);
    for round in 0..30 {
        let models: &[u32] = if round % 2 == 0 { &[1] } else { &[1, 2] };
        let now = Millis::from_secs(round * 10);
        orders.on_target(target(round + 2, Fencing::Checked, models), now);
        run(&mut orders, &mut engine, view, round * 10, round * 10 + 10);
    }
    assert!(
        engine
            .executed
            .iter()
            .all(|order| !order.kind.is_destructive())
    );
    assert_eq!(engine.models, [ModelId(1), ModelId(2)]);
}

/// An instance owns 500 engines that all need a load. The rate limit must hold in every second, and
/// the engines at the end of the list must get their turn.
#[test]
fn the_rate_of_orders_is_limited_and_starves_no_engine() {
    let view = &view("a");
    let mut orders = instance("a", target(1, Fencing::Checked, &[1]), view);
    for id in 100..600 {
        let mut wanted = target(1, Fencing::Checked, &[1]);
        wanted.engine = EngineId(id);
        orders.on_target(wanted, Millis::ZERO);
    }
    let mut read = std::collections::BTreeSet::new();
    for second in 1..60 {
        let now = Millis::from_secs(second);
        orders.on_view(view.clone(), view, now);
        let actions = orders.on_tick(now);
        assert!(actions.len() <= 20);
        for action in actions {
            if let OrderAction::ReadBack(id) = action {
                read.insert(id);
            }
        }
    }
    assert!(read.len() == 501, "{} of 501 engines", read.len());
}

/// The fleet is partitioned for an hour; both sides can reach an engine without fencing, and one
/// has an older configuration. If both owners acted, each would undo the other's loads and unloads
/// the whole time. Only the side with the majority may act, and with equal halves neither.
#[test_case(5, 3, &[1, 3]; "five and three")]
#[test_case(4, 4, &[1]; "halves")]
fn sides_of_a_partition_never_undo_each_others_orders(here: usize, there: usize, loaded: &[u32]) {
    let all: Vec<Member> = (0..8).map(|n| Member::new(&format!("e{n}"), 1)).collect();
    let reference = View::new(all.clone());
    let sides = [&all[..here], &all[8 - there..]].map(|side| View::new(side.to_vec()));
    let mut engine = Engine::new(Fencing::Ignored, &[1]);
    let mut owners = Vec::new();
    for (at, side) in sides.iter().enumerate() {
        let owner = side.owner(ENGINE.0).expect("an owner");
        let mut orders = Orders::new(OrderSettings::default(), owner, Millis::ZERO);
        let wanted = [[1, 3], [1, 2]][at];
        orders.on_target(
            target(5 - at as u64, Fencing::Ignored, &wanted),
            Millis::ZERO,
        );
        owners.push(orders);
    }
    for second in 1..3_600 {
        let now = Millis::from_secs(second);
        for (orders, side) in owners.iter_mut().zip(&sides) {
            orders.on_view(side.clone(), &reference, now);
            step(orders, &mut engine, now);
        }
    }
    let loaded: Vec<ModelId> = loaded.iter().copied().map(ModelId).collect();
    assert_eq!(engine.models, loaded);
    assert!(engine.executed.len() <= 1, "{:?}", engine.executed);
}

/// Revision 5 requires a second model, which the engine already has. An instance that resumes with
/// revision 4 would unload it. The owner must raise the engine's fencing token although nothing
/// else needs to be done.
#[test]
fn an_engine_that_already_matches_is_still_fenced() {
    let mut engine = Engine::new(Fencing::Checked, &[1, 2]);
    let views = [view("a"), view("b")];
    let mut new = instance("b", target(5, Fencing::Checked, &[1, 2]), &views[1]);
    run(&mut new, &mut engine, &views[1], 1, 60);
    assert_eq!(engine.executed.len(), 1, "{:?}", engine.executed);
    let mut old = instance("a", target(4, Fencing::Checked, &[1]), &views[0]);
    run(&mut old, &mut engine, &views[0], 1, 120);
    assert_eq!(engine.models, [ModelId(1), ModelId(2)]);
}

/// A configuration gives an engine another role. The role must be ordered once, after the
/// configuration has been stable for some time; an engine whose role isn't configured must not be
/// given one, whatever its current role is.
#[test_case(Fencing::Checked, Some(PREFILL), &[OrderKind::Role(PREFILL)])]
#[test_case(Fencing::Ignored, Some(PREFILL), &[OrderKind::Role(PREFILL)])]
#[test_case(Fencing::Ignored, None, &[])]
#[test_case(Fencing::Checked, None, &[OrderKind::Load(ModelId(1))]; "fencing token raised")]
fn a_role_is_ordered_once(fencing: Fencing, role: Option<RoleId>, orders: &[OrderKind]) {
    let mut engine = Engine::new(fencing, &[1]);
    let view = view("a");
    let mut owner = instance("a", role_target(4, fencing, role), &view);
    run(&mut owner, &mut engine, &view, 1, 30);
    assert_eq!(engine.role, BOTH);
    run(&mut owner, &mut engine, &view, 30, 90);
    let executed: Vec<OrderKind> = engine.executed.iter().map(|order| order.kind).collect();
    assert_eq!(executed, orders);
}

/// A configuration gives an engine without models the role that it already has. The engine would
/// still accept orders from an instance that resumes with an older configuration, so the owner must
/// raise the fencing token by ordering the role itself.
#[test]
fn a_role_alone_raises_the_fencing_token() {
    let mut engine = Engine::new(Fencing::Checked, &[]);
    let views = [view("a"), view("b")];
    let wanted = target(5, Fencing::Checked, &[]);
    let mut new = instance("b", wanted, &views[1]);
    run(&mut new, &mut engine, &views[1], 1, 60);
    assert_eq!(engine.fence, 5);
    let stale = Target {
        role: Some(PREFILL),
        ..target(4, Fencing::Checked, &[])
    };
    let mut old = instance("a", stale, &views[0]);
    run(&mut old, &mut engine, &views[0], 1, 120);
    assert_eq!(engine.role, BOTH);
}

/// Revision 4 gives the engine another role, and its owner is paused with that order pending.
/// Revision 5 reverts the role, and another instance owns the engine. The first one resumes, still
/// believes that it is the owner, and continues for minutes with its old configuration. An engine
/// with fencing refuses its orders. To one without, it must send nothing until its view is
/// confirmed, which shows it that another instance is the owner.
#[test_case(Fencing::Checked)]
#[test_case(Fencing::Ignored)]
fn a_resumed_owner_changes_no_role(fencing: Fencing) {
    let mut engine = Engine::new(fencing, &[1]);
    let all = View::new(["a", "b"].map(|name| Member::new(name, 1)));
    let alone = [view("a"), view("b")];
    let mut old = instance("a", role_target(4, fencing, Some(PREFILL)), &alone[0]);
    let mut second = 1;
    let order = loop {
        let now = Millis::from_secs(second);
        old.on_view(alone[0].clone(), &alone[0], now);
        if let Some(OrderAction::Send(order)) = old.on_tick(now).first() {
            break *order;
        }
        old.on_report(engine.report(now + Millis(1)), now);
        second += 1;
        assert!(second < 120, "no order was sent");
    };
    assert_eq!(order.kind, OrderKind::Role(PREFILL));

    let mut new = instance("b", role_target(5, fencing, Some(BOTH)), &alone[1]);
    run(&mut new, &mut engine, &alone[1], second, second + 60);
    let resumed = second + 60;
    assert!(!old.may_send(&order, Millis::from_secs(resumed)));
    assert_eq!(step(&mut old, &mut engine, Millis::from_secs(resumed)), []);
    let takeover = OrderSettings::default().takeover_delay.as_secs_ceil();
    for at in resumed + 1..resumed + 180 {
        let now = Millis::from_secs(at);
        // With fencing, it believes in its ownership to the end; without, until it learns that it
        // is alone in a fleet of two, which is long before the end of the takeover delay.
        let believes_ownership = fencing == Fencing::Checked || at < resumed + takeover;
        let reference = if believes_ownership { &alone[0] } else { &all };
        old.on_view(alone[0].clone(), reference, now);
        step(&mut old, &mut engine, now);
        new.on_view(alone[1].clone(), &alone[1], now);
        step(&mut new, &mut engine, now);
        assert_eq!(engine.role, BOTH);
    }
    let roles = engine.executed.iter().filter(|o| o.kind.is_destructive());
    assert_eq!(roles.count(), 0);
}

/// A team gives an engine another role and reverts it every few seconds. Each change would end the
/// engine's current work, so none may be ordered.
#[test]
fn a_flapping_role_is_not_ordered() {
    let mut engine = Engine::new(Fencing::Checked, &[1]);
    let view = &view("a");
    let mut orders = instance("a", role_target(1, Fencing::Checked, None), view);
    for round in 0..30 {
        let role = [PREFILL, BOTH][round as usize % 2];
        let now = Millis::from_secs(round * 10);
        orders.on_target(role_target(round + 2, Fencing::Checked, Some(role)), now);
        run(&mut orders, &mut engine, view, round * 10, round * 10 + 10);
    }
    let destructive = engine.executed.iter().filter(|o| o.kind.is_destructive());
    assert_eq!(destructive.count(), 0);
}
