//! What the accounts of a rank were served of late.

use std::collections::HashMap;

use crocushold_base::Millis;

use super::SERVED_SPAN;
use crate::decay::DecayingSum;

/// Number of accounts from which on those with a negligible share are forgotten. With that share as the
/// least, a thousand remain.
const MAX_ACCOUNTS: usize = 4096;
const MIN_SHARE: f64 = 0.001;

/// Tokens that began of late, by account.
#[derive(Debug)]
pub(super) struct Shares {
    total: DecayingSum,
    accounts: HashMap<u32, DecayingSum>,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            total: DecayingSum::new(SERVED_SPAN),
            accounts: HashMap::new(),
        }
    }
}

impl Shares {
    /// Records a request that began.
    pub(super) fn record(&mut self, account: u32, tokens: f64, now: Millis) {
        self.total.add(tokens, now);
        if self.accounts.len() >= MAX_ACCOUNTS {
            let least = self.total.rate(now) * MIN_SHARE;
            self.accounts.retain(|_, tokens| tokens.rate(now) >= least);
        }
        let own = self.accounts.entry(account);
        let own = own.or_insert_with(|| DecayingSum::new(SERVED_SPAN));
        own.add(tokens, now);
    }

    /// The rate at which the tokens of each account began.
    pub(super) fn rates(&self, now: Millis) -> impl Iterator<Item = (u32, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(move |(&account, tokens)| (account, tokens.rate(now)))
    }

    /// The share of an account, in percent.
    pub(super) fn percent(&self, account: u32, now: Millis) -> u8 {
        let total = self.total.rate(now);
        match self.accounts.get(&account) {
            Some(own) if total > 0.0 => (100.0 * own.rate(now) / total).min(100.0) as u8,
            _ => 0,
        }
    }
}
