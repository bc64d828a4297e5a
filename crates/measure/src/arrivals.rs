//! Which requests come when: one seeded plan that every system under test gets.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::scenario::ClassSpec;
use crate::scenario::RequestKind;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// Different prompt prefixes of a class.
const PREFIXES_PER_CLASS: u32 = 24;

/// How much is asked of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Tokens asked for, as a multiple of what the engines can do.
    pub(crate) level: f64,
    /// Whether all that exceeds the base level is of the lowest class.
    pub(crate) flood: bool,
    /// A burst of the live class.
    pub(crate) burst: Option<Burst>,
}

/// A time in which more of the live class is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Burst {
    /// Start in seconds.
    pub(crate) start: f64,
    /// End in seconds.
    pub(crate) end: f64,
    /// The part of the fleet's tokens that is asked for in addition.
    pub(crate) token_share: f64,
}

/// The level from which a flood starts.
pub(crate) const FLOOD_BASE_LEVEL: f64 = 0.7;

/// One request to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// When it is due, in seconds.
    pub(crate) due: f64,
    /// Its class, as an index.
    pub(crate) class: usize,
    /// Tokens of its answer.
    pub(crate) tokens: u32,
    /// Its prompt's prefix.
    pub(crate) prefix: u32,
}

/// The requests of `seconds` seconds against engines that do `capacity` tokens a second.
pub(crate) fn poisson_arrivals(
    scenario: &Scenario,
    demand: &Demand,
    capacity: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, class) in scenario.classes.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1000) + index as u64);
        let steady_rate = arrival_rate(scenario, index, demand, capacity);
        let burst = demand.burst.filter(|_| index == 0);
        let burst_rate = burst.map_or(0.0, |burst| {
            burst.token_share * capacity / mean_tokens(class)
        });
        let peak = steady_rate + burst_rate;
        let mut due = 0.0;
        loop {
            due += -(1.0 - rng.random::<f64>()).ln() / peak;
            // With a rate of zero the first arrival is infinitely late.
            if due >= seconds {
                break;
            }
            let active = burst.is_some_and(|b| b.start <= due && due < b.end);
            // A Poisson process whose rate changes is one at the highest rate, thinned.
            let current_rate = if active { peak } else { steady_rate };
            let arrival = arrival(class, index, due, &mut rng);
            if rng.random::<f64>() * peak < current_rate {
                all.push(arrival);
            }
        }
    }
    all.sort_by(|a, b| a.due.total_cmp(&b.due));
    all
}

/// Requests of the first class at a steady rate, with answers of the same length.
pub(crate) fn constant_rate_arrivals(
    rate: f64,
    tokens: u32,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut due = 0.0;
    loop {
        due += -(1.0 - rng.random::<f64>()).ln() / rate;
        if due >= seconds {
            return all;
        }
        all.push(Arrival {
            due,
            class: 0,
            tokens,
            prefix: rng.random_range(0..PREFIXES_PER_CLASS),
        });
    }
}

fn arrival(class: &ClassSpec, index: usize, due: f64, rng: &mut StdRng) -> Arrival {
    let tokens = match class.request_kind {
        RequestKind::Model { output, .. } => output.draw(rng),
        RequestKind::Plain { .. } => 0,
    };
    Arrival {
        due,
        class: index,
        tokens,
        prefix: rng.random_range(0..PREFIXES_PER_CLASS),
    }
}

/// Requests of a class in a second.
fn arrival_rate(scenario: &Scenario, index: usize, demand: &Demand, capacity: f64) -> f64 {
    let lowest_model_class = scenario.lowest_model_class();
    let level = if demand.flood {
        FLOOD_BASE_LEVEL
    } else {
        demand.level
    };
    let class = &scenario.classes[index];
    let token_share = match class.request_kind {
        RequestKind::Plain { rate, .. } => return rate * level,
        RequestKind::Model { token_share, .. } if demand.flood && index == lowest_model_class => {
            demand.level - FLOOD_BASE_LEVEL * (1.0 - token_share)
        }
        RequestKind::Model { token_share, .. } => token_share * level,
    };
    token_share * capacity / mean_tokens(class)
}

fn mean_tokens(class: &ClassSpec) -> f64 {
    match class.request_kind {
        RequestKind::Model { output, .. } => output.mean(),
        RequestKind::Plain { .. } => 1.0,
    }
}
