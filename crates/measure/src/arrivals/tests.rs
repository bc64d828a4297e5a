//! Arrivals depend on the seed alone, and their load matches the demand.

use super::Burst;
use super::Demand;
use super::poisson_arrivals;
use crate::scenario;

const CAPACITY: f64 = 8_000.0;
const SECONDS: f64 = 400.0;

fn tokens(demand: &Demand, from: f64, until: f64) -> f64 {
    let scenario = scenario::evening_rush();
    let arrivals = poisson_arrivals(&scenario, demand, CAPACITY, SECONDS, 3);
    let inside = arrivals.iter().filter(|a| from <= a.due && a.due < until);
    inside.map(|a| f64::from(a.tokens)).sum::<f64>() / (until - from)
}

fn scaled(level: f64) -> Demand {
    Demand {
        level,
        flood: false,
        burst: None,
    }
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    let scenario = scenario::subsidy_deadline();
    let schedules = [(); 2].map(|()| poisson_arrivals(&scenario, &scaled(1.5), CAPACITY, 20.0, 9));
    assert_eq!(schedules[0], schedules[1]);
    assert_ne!(
        schedules[0],
        poisson_arrivals(&scenario, &scaled(1.5), CAPACITY, 20.0, 10)
    );
}

#[test]
fn demand_is_a_multiple_of_the_capacity() {
    let asked = tokens(&scaled(2.5), 0.0, SECONDS) / CAPACITY;
    assert!((asked - 2.5).abs() < 0.08, "{asked}");
    let flood = Demand {
        flood: true,
        ..scaled(2.5)
    };
    let asked = tokens(&flood, 0.0, SECONDS) / CAPACITY;
    assert!((asked - 2.5).abs() < 0.08, "{asked}");
}

#[test]
fn a_burst_adds_its_token_share_while_it_lasts() {
    let burst = Burst {
        start: 100.0,
        end: 300.0,
        token_share: 0.4,
    };
    let demand = Demand {
        burst: Some(burst),
        ..scaled(0.7)
    };
    let during = tokens(&demand, 100.0, 300.0) / CAPACITY;
    let after = tokens(&demand, 300.0, SECONDS) / CAPACITY;
    assert!((during - 1.1).abs() < 0.05, "{during}");
    assert!((after - 0.7).abs() < 0.06, "{after}");
}
