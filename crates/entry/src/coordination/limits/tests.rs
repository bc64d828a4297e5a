//! The limiter by itself: how a request is mapped to its account's three limits, and how tokens are
//! settled.

use crocushold_base::AccountKey;
use crocushold_base::Millis;
use crocushold_config as config;
use crocushold_config::Catalog;
use crocushold_ownership::LimitSettings;
use crocushold_ownership::Member;
use test_case::test_case;

use super::account::Charge;
use super::account::LimitExceeded;
use super::account::LimitKind;
use super::account::TokenEstimate;
use super::limiter::Limiter;

const SHORT: TokenEstimate = TokenEstimate {
    prompt: 10,
    output: 0,
};

struct Fixture {
    limiter: Limiter,
    key: AccountKey,
    now: Millis,
}

impl Fixture {
    /// Creates a limiter of a single instance, with one account that has these limits.
    fn new(limits: config::Limits) -> Fixture {
        let mut catalog = Catalog::default();
        let account = config::Account {
            name: "team/chat".to_owned(),
            digests: Vec::new(),
            classes: Vec::new(),
            limits,
        };
        let key = catalog.accounts.insert(account);
        let me = Member::new("entry-0", 1);
        let mut limiter = Limiter::new(LimitSettings::default(), me, Millis::ZERO);
        limiter.configure(&catalog, Millis::ZERO);
        Fixture {
            limiter,
            key,
            now: Millis::ZERO,
        }
    }

    /// Advances the time; the limiter borrows from itself.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / 50 {
            self.now += Millis(50);
            for borrow in self.limiter.on_tick(self.now) {
                let id = borrow.request.account;
                let reply = self.limiter.on_borrow(borrow.to, &borrow.request, self.now);
                self.limiter.on_lent(id, borrow.to, reply, self.now);
            }
        }
    }

    fn admit(&mut self, estimate: &TokenEstimate) -> Result<Charge, LimitExceeded> {
        self.limiter.admit(self.key, estimate, self.now)
    }

    fn settle(&mut self, charge: &Charge, output: u32) {
        self.limiter
            .settle(self.key, charge, output, true, self.now);
    }
}

fn limits(requests: u32, tokens: u32, concurrency: u32) -> config::Limits {
    config::Limits {
        requests,
        tokens,
        concurrency,
    }
}

#[test]
fn each_limit_has_an_id_of_its_own() {
    let ids = LimitKind::ALL.map(|kind| kind.id("team/chat"));
    assert!(ids[0] != ids[1] && ids[1] != ids[2] && ids[0] != ids[2]);
    let limits = limits(5, 700, 3);
    assert_eq!(LimitKind::Requests.limit(&limits).rate, 5.0);
    assert_eq!(LimitKind::Tokens.limit(&limits).rate, 700.0);
    assert_eq!(LimitKind::Concurrency.limit(&limits).slots, 3);
}

#[test]
fn a_refusal_names_the_exceeded_limit() {
    let cases = [
        (limits(2, 10_000, 100), LimitKind::Requests),
        (limits(1_000, 4, 100), LimitKind::Tokens),
        (limits(1_000, 10_000, 2), LimitKind::Concurrency),
    ];
    for (limits, kind) in cases {
        let mut fixture = Fixture::new(limits);
        fixture.pass(2_000);
        let exceeded: Vec<_> = (0..8).filter_map(|_| fixture.admit(&SHORT).err()).collect();
        assert!(exceeded.len() >= 6, "{kind:?}: {exceeded:?}");
        assert!(
            exceeded.iter().all(|exceeded| exceeded.kind == kind),
            "{kind:?}: {exceeded:?}"
        );
        assert!(
            exceeded
                .iter()
                .all(|exceeded| exceeded.retry_after > Millis::ZERO)
        );
    }
}

/// A caller over one limit repeats its request in a loop. If each refusal kept a slot or a unit of
/// the other rate, the account would be locked out by its own refusals, and their reason would
/// change.
#[test_case(limits(4, 20, 4), LimitKind::Tokens; "over the token rate")]
#[test_case(limits(2, 10_000, 4), LimitKind::Requests; "over the request rate")]
fn a_refusal_uses_up_no_other_limit(limits: config::Limits, kind: LimitKind) {
    let mut fixture = Fixture::new(limits);
    fixture.pass(2_000);
    fixture.admit(&SHORT).unwrap();
    for _ in 0..50 {
        assert_eq!(fixture.admit(&SHORT).unwrap_err().kind, kind);
    }
    assert_eq!(fixture.limiter.account_statuses()[0].running, 1);
}

/// Responses are far longer than any before. Tokens used beyond the charge become a debt, and the
/// account is refused until it is paid: over a minute it uses its rate and no more.
#[test]
fn tokens_are_settled_by_the_actual_count() {
    let mut fixture = Fixture::new(limits(1_000, 1_000, 100));
    let mut used = 0;
    for _ in 0..1_200 {
        fixture.pass(50);
        if let Ok(charge) = fixture.admit(&SHORT) {
            fixture.settle(&charge, 1_990);
            used += 2_000;
        }
    }
    let share = f64::from(used) / 60_000.0;
    assert!((0.9..=1.08).contains(&share), "{share}");
}

/// A request is admitted and then refused in the queue. It did not run, so its account must not be
/// charged.
#[test]
fn a_request_that_did_not_run_costs_nothing() {
    let mut fixture = Fixture::new(limits(2, 20, 2));
    fixture.pass(2_000);
    for _ in 0..50 {
        let charge = fixture.admit(&SHORT).unwrap();
        fixture.limiter.refund(fixture.key, &charge, fixture.now);
    }
}

/// With fewer than two slots per instance the even share rounds to zero. The first request must not
/// be refused for that reason, wherever it arrives; a second one needs a loan.
#[test]
fn a_small_account_runs_one_request_without_a_slot() {
    let mut fixture = Fixture::new(limits(1_000, 10_000, 1));
    fixture.pass(2_000);
    let first = fixture.admit(&SHORT).unwrap();
    assert!(!first.slot);
    assert_eq!(
        fixture.admit(&SHORT).unwrap_err().kind,
        LimitKind::Concurrency
    );
    fixture.settle(&first, 0);
    assert!(fixture.admit(&SHORT).is_ok());
}

#[test]
fn a_removed_account_is_refused_and_leaves_no_state() {
    let mut fixture = Fixture::new(limits(1_000, 10_000, 10));
    fixture.pass(1_000);
    let charge = fixture.admit(&SHORT).unwrap();
    fixture.limiter.configure(&Catalog::default(), fixture.now);
    assert!(fixture.admit(&SHORT).is_err());
    fixture.settle(&charge, 0);
    assert!(fixture.limiter.account_statuses().is_empty());
}
