//! The weight store: rate limit and priorities of loads.

use crocushold_base::Millis;
use crocushold_ownership::EngineId;
use crocushold_ownership::LoadPermit;
use crocushold_ownership::LoadPlanner;
use crocushold_ownership::LoadRequest;
use crocushold_ownership::Member;
use crocushold_ownership::ModelId;
use crocushold_ownership::View;
use crocushold_ownership::WeightSettings;

const STORE: u64 = 3;

fn members() -> Vec<Member> {
    (0..4).map(|n| Member::new(&format!("e{n}"), 1)).collect()
}

fn planner(live: &View, now: Millis) -> LoadPlanner {
    let owner = live.owner(STORE).expect("an owner");
    let mut planner = LoadPlanner::new(WeightSettings::default(), owner, STORE);
    planner.on_view(live, &View::new(members()), now);
    planner
}

/// Repeats the requests and ticks each second.
fn run(
    planner: &mut LoadPlanner,
    requests: &mut Vec<LoadRequest>,
    from: u64,
    to: u64,
) -> Vec<LoadPermit> {
    let mut permits = Vec::new();
    for second in from..to {
        let now = Millis::from_secs(second);
        for request in requests.iter() {
            planner.on_load_request(members()[0], *request, now);
        }
        let granted = planner.on_tick(now);
        for permit in &granted {
            requests.retain(|w| (w.engine, w.model) != (permit.engine, permit.model));
        }
        permits.extend(granted);
    }
    permits
}

fn requests(rank: u8, model: u32, engines: std::ops::Range<u64>) -> Vec<LoadRequest> {
    let request = |engine| LoadRequest {
        engine: EngineId(engine),
        model: ModelId(model),
        rank,
        replicas: 0,
    };
    engines.map(request).collect()
}

/// A batch model is requested on twenty engines, then two models of the chat class on a few. The
/// chat class must go first, its two models must take turns, and the rate limit must hold; every
/// eighth permit must go to the longest waiting request, otherwise the batch model would starve.
#[test]
fn the_highest_class_loads_first_within_the_rate() {
    let view = View::new(members());
    let mut planner = planner(&view, Millis::ZERO);
    let mut all = requests(4, 1, 0..20);
    all.extend(requests(0, 2, 20..24));
    all.extend(requests(0, 3, 24..28));
    let permits = run(&mut planner, &mut all, 1, 146);
    assert_eq!(permits.len(), 24, "12 a minute after 25 s");
    let models: Vec<u32> = permits.iter().map(|p| p.model.0).collect();
    assert_eq!(models[..9], [2, 3, 2, 3, 2, 3, 2, 1, 3]);
    assert!(models[9..].iter().all(|model| *model == 1));
}

/// The owner of the store is lost and another one takes over. The permits of the former owner may
/// still be in use; the new owner must grant none until they have expired.
#[test]
fn a_new_owner_of_the_store_waits() {
    let view = View::new(members());
    let mut planner = planner(&view, Millis::ZERO);
    let mut all = requests(0, 1, 0..20);
    assert_eq!(run(&mut planner, &mut all, 1, 25), []);
    assert!(!run(&mut planner, &mut all, 25, 35).is_empty());
}

/// The fleet is partitioned into halves, each with an owner of the store. Each side must grant half
/// of the rate.
#[test]
fn the_sides_of_a_partition_share_the_rate() {
    let all = members();
    let mut granted = 0;
    for side in [&all[..2], &all[2..]] {
        let mut planner = planner(&View::new(side.to_vec()), Millis::ZERO);
        granted += run(&mut planner, &mut requests(0, 1, 0..50), 1, 145).len();
    }
    assert!(granted <= 24, "{granted}");
    assert!(granted >= 22, "{granted}");
}

/// The planner was paused for a minute and resumes believing that it still owns the store. Another
/// instance has granted permits meanwhile; this one must not have accumulated credit and must wait
/// like a new owner.
#[test]
fn a_resumed_planner_waits() {
    let view = View::new(members());
    let mut planner = planner(&view, Millis::ZERO);
    let mut all = requests(0, 1, 0..20);
    assert!(!run(&mut planner, &mut all, 1, 35).is_empty());
    planner.on_pause(Millis::from_secs(95));
    assert_eq!(run(&mut planner, &mut all, 95, 120), []);
    assert!(!run(&mut planner, &mut all, 120, 130).is_empty());
}
