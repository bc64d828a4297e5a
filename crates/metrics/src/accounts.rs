//! The accounts that use most tokens, in bounded memory.

use std::collections::HashMap;

/// One account of the sketch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountTokens {
    /// Name of the account.
    pub account: String,
    /// Tokens, at least the true number.
    pub tokens: u64,
    /// By how much `tokens` may exceed the true number.
    pub error: u64,
}

/// Space-saving sketch (Metwally et al.): the heaviest accounts in a fixed number of counters.
///
/// With `k` counters an account's estimate exceeds its true number by at most the sum of all tokens
/// divided by `k`, and an account above that share is never missing. 3,700 accounts thus cost no
/// more than `k` entries.
#[derive(Clone, Debug)]
pub struct AccountSketch {
    limit: usize,
    entries: HashMap<String, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u64,
    error: u64,
}

impl AccountSketch {
    /// A sketch of `limit` counters, at least one.
    pub fn new(limit: usize) -> AccountSketch {
        AccountSketch {
            limit: limit.max(1),
            entries: HashMap::new(),
        }
    }

    /// Adds `tokens` of `account`.
    pub fn add(&mut self, account: &str, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.tokens = entry.tokens.saturating_add(tokens);
            return;
        }
        let error = self.make_room();
        let entry = Entry {
            tokens: error.saturating_add(tokens),
            error,
        };
        self.entries.insert(account.to_owned(), entry);
    }

    /// The heaviest `count` accounts, heaviest first; equal ones by name.
    pub fn top(&self, count: usize) -> Vec<AccountTokens> {
        let mut all: Vec<AccountTokens> = self.entries.iter().map(account_tokens).collect();
        all.sort_by(|a, b| {
            b.tokens
                .cmp(&a.tokens)
                .then_with(|| a.account.cmp(&b.account))
        });
        all.truncate(count);
        all
    }

    /// Evicts the lightest account of a full sketch and returns its tokens, which the newcomer
    /// inherits as its possible error.
    fn make_room(&mut self) -> u64 {
        if self.entries.len() < self.limit {
            return 0;
        }
        let lightest = self
            .entries
            .iter()
            .min_by(|a, b| a.1.tokens.cmp(&b.1.tokens).then_with(|| a.0.cmp(b.0)))
            .map(|(account, _)| account.clone());
        lightest
            .and_then(|account| self.entries.remove(&account))
            .map_or(0, |entry| entry.tokens)
    }
}

fn account_tokens((account, entry): (&String, &Entry)) -> AccountTokens {
    AccountTokens {
        account: account.clone(),
        tokens: entry.tokens,
        error: entry.error,
    }
}
