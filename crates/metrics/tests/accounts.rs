//! The sketch of the heaviest accounts, compared with exact sums.

use std::collections::BTreeMap;

use crocushold_metrics::AccountSketch;
use proptest::collection;
use proptest::proptest;

const LIMIT: usize = 8;

proptest! {
    /// No account with more than the total divided by the number of counters may be missing, and no
    /// estimate may be off by more than its stated error.
    #[test]
    fn estimates_hold_their_bounds(adds in collection::vec((0u8..40, 1u64..1000), 1..400)) {
        let mut sketch = AccountSketch::new(LIMIT);
        let mut exact: BTreeMap<String, u64> = BTreeMap::new();
        for (account, tokens) in adds {
            let name = format!("account-{account}");
            sketch.add(&name, tokens);
            *exact.entry(name).or_default() += tokens;
        }
        let share = exact.values().sum::<u64>() / LIMIT as u64;
        let top = sketch.top(LIMIT);
        assert!(top.len() <= LIMIT);
        for entry in &top {
            let true_tokens = exact[&entry.account];
            assert!(entry.tokens >= true_tokens);
            assert!(entry.tokens - entry.error <= true_tokens);
            assert!(entry.error <= share);
        }
        for (name, _) in exact.iter().filter(|(_, tokens)| **tokens > share) {
            assert!(top.iter().any(|e| e.account == *name), "{name} is missing");
        }
    }
}
