//! Which requests come when: one seeded plan that every system under test gets.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::shape::ClassShape;
use crate::shape::Shape;
use crate::shape::Work;

#[cfg(test)]
mod tests;

/// Different prompt prefixes of a class.
const PREFIXES: u32 = 24;

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
    pub(crate) from: f64,
    /// End in seconds.
    pub(crate) until: f64,
    /// The part of the fleet's tokens that is asked for in addition.
    pub(crate) part: f64,
}

/// The level from which a flood starts.
pub(crate) const BASE_LEVEL: f64 = 0.7;

/// One request to come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// When it is due, in seconds.
    pub(crate) at: f64,
    /// Its class, as an index.
    pub(crate) class: usize,
    /// Tokens of its answer.
    pub(crate) tokens: u32,
    /// Its prompt's prefix.
    pub(crate) prefix: u32,
}

/// The requests of `seconds` seconds against engines that do `capacity` tokens a second.
pub(crate) fn plan(
    shape: &Shape,
    demand: &Demand,
    capacity: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (index, class) in shape.classes.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1000) + index as u64);
        let steady = rate(shape, index, demand, capacity);
        let burst = demand.burst.filter(|_| index == 0);
        let more = burst.map_or(0.0, |burst| burst.part * capacity / mean_tokens(class));
        let peak = steady + more;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / peak;
            // With a rate of zero the first arrival is infinitely late.
            if at >= seconds {
                break;
            }
            let active = burst.is_some_and(|b| b.from <= at && at < b.until);
            // A Poisson process whose rate changes is one at the highest rate, thinned.
            let now = if active { peak } else { steady };
            let arrival = arrival(class, index, at, &mut rng);
            if rng.random::<f64>() * peak < now {
                all.push(arrival);
            }
        }
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Requests of the first class at a steady rate, with answers of the same length.
pub(crate) fn steady(rate: f64, tokens: u32, seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= seconds {
            return all;
        }
        all.push(Arrival {
            at,
            class: 0,
            tokens,
            prefix: rng.random_range(0..PREFIXES),
        });
    }
}

fn arrival(class: &ClassShape, index: usize, at: f64, rng: &mut StdRng) -> Arrival {
    let tokens = match class.work {
        Work::Model { output, .. } => output.sample(rng),
        Work::Plain { .. } => 0,
    };
    Arrival {
        at,
        class: index,
        tokens,
        prefix: rng.random_range(0..PREFIXES),
    }
}

/// Requests of a class in a second.
fn rate(shape: &Shape, index: usize, demand: &Demand, capacity: f64) -> f64 {
    let lowest = shape.lowest();
    let level = if demand.flood {
        BASE_LEVEL
    } else {
        demand.level
    };
    let class = &shape.classes[index];
    let part = match class.work {
        Work::Plain { rate, .. } => return rate * level,
        Work::Model { part, .. } if demand.flood && index == lowest => {
            demand.level - BASE_LEVEL * (1.0 - part)
        }
        Work::Model { part, .. } => part * level,
    };
    part * capacity / mean_tokens(class)
}

fn mean_tokens(class: &ClassShape) -> f64 {
    match class.work {
        Work::Model { output, .. } => output.mean(),
        Work::Plain { .. } => 1.0,
    }
}
