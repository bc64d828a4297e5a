//! The client accounts that use the most tokens, in bounded memory.

use std::collections::HashMap;

/// The estimated tokens of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountTokens {
    /// Name of the account.
    pub account: String,
    /// Estimated tokens, never less than the true number.
    pub tokens: u64,
    /// The most by which `tokens` may exceed the true number.
    pub error: u64,
}

/// A space-saving sketch (Metwally et al.) of the heaviest accounts with a fixed number of
/// counters.
///
/// With `k` counters the estimate of an account exceeds its true number by at most the sum of all
/// tokens divided by `k`, and an account above that share is never missing. Any number of accounts,
/// such as 3,700, therefore needs no more than `k` entries.
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
    /// Creates a sketch with `limit` counters, at least one.
    pub fn new(limit: usize) -> AccountSketch {
        AccountSketch {
            limit: limit.max(1),
            entries: HashMap::new(),
        }
    }

    /// Adds `tokens` to `account`.
    pub fn add(&mut self, account: &str, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(account) {
            entry.tokens = entry.tokens.saturating_add(tokens);
            return;
        }
        let error = self.evict_lightest();
        let entry = Entry {
            tokens: error.saturating_add(tokens),
            error,
        };
        self.entries.insert(account.to_owned(), entry);
    }

    /// The heaviest `count` accounts, heaviest first; accounts with equal tokens are ordered by
    /// name.
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

    /// Evicts the lightest account if the sketch is full and returns its tokens, which become the
    /// error of the new account; 0 if there is a free counter.
    fn evict_lightest(&mut self) -> u64 {
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
