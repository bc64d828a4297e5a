//! Open-loop arrivals: seeded Poisson processes, the same for every system under test.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::scenario::ClassSpec;
use crate::scenario::RequestKind;
use crate::scenario::Scenario;

#[cfg(test)]
mod tests;

/// Number of distinct prompt prefixes in a class.
const PREFIXES_PER_CLASS: u32 = 24;

/// Offered load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Requested tokens as a multiple of the engines' capacity.
    pub(crate) level: f64,
    /// Whether only the lowest class exceeds [`FLOOD_BASE_LEVEL`].
    pub(crate) flood: bool,
    /// A burst of the first class.
    pub(crate) burst: Option<Burst>,
}

/// A period of additional load of the first class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Burst {
    /// Start in seconds.
    pub(crate) start: f64,
    /// End in seconds.
    pub(crate) end: f64,
    /// Additional load as a share of the engines' capacity.
    pub(crate) token_share: f64,
}

/// Level of all but the lowest class during a flood.
pub(crate) const FLOOD_BASE_LEVEL: f64 = 0.7;

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// Due time in seconds from the start.
    pub(crate) due: f64,
    /// Index of its class.
    pub(crate) class: usize,
    /// Length of its response in tokens.
    pub(crate) tokens: u32,
    /// Number of its prompt prefix.
    pub(crate) prefix: u32,
}

/// Arrivals of all classes over `seconds`, for engines with a capacity of `capacity` tokens per
/// second.
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
            // With a rate of zero the first arrival time is infinite.
            if due >= seconds {
                break;
            }
            let active = burst.is_some_and(|b| b.start <= due && due < b.end);
            // Thinning: a Poisson process with a varying rate is one at the peak rate from which
            // arrivals are dropped at random.
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

/// Poisson arrivals of the first class at a constant rate per second, with responses of equal
/// length.
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
        RequestKind::Model { output, .. } => output.sample(rng),
        RequestKind::Plain { .. } => 0,
    };
    Arrival {
        due,
        class: index,
        tokens,
        prefix: rng.random_range(0..PREFIXES_PER_CLASS),
    }
}

/// Requests per second of a class, without a burst.
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
