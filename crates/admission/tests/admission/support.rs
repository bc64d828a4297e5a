//! Test fixture: a scheduler with its keys, and helpers for the usual events.

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
use crocushold_admission::Admission;
use crocushold_admission::Arrival;
use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::Dispatched;
use crocushold_admission::Refusal;
use crocushold_admission::Refused;
use crocushold_admission::Scheduler;
use crocushold_admission::Settings;
use crocushold_admission::Ticket;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use slotmap::SlotMap;

pub(crate) struct Fixture {
    pub(crate) scheduler: Scheduler,
    pub(crate) classes: Vec<ClassSpec>,
    pub(crate) accounts: Vec<AccountSpec>,
}

impl Fixture {
    /// Configures the classes, with their keys filled in, and a number of identical accounts.
    pub(crate) fn new(settings: Settings, classes: &[ClassSpec], accounts: usize) -> Fixture {
        let specs = vec![AccountSpec::default(); accounts];
        Fixture::with_accounts(settings, classes, &specs)
    }

    pub(crate) fn with_accounts(
        settings: Settings,
        classes: &[ClassSpec],
        accounts: &[AccountSpec],
    ) -> Fixture {
        let mut class_keys = SlotMap::<ClassKey, ()>::with_key();
        let mut account_keys = SlotMap::<AccountKey, ()>::with_key();
        let with_key = |spec: &ClassSpec| ClassSpec {
            key: class_keys.insert(()),
            ..spec.clone()
        };
        let classes: Vec<ClassSpec> = classes.iter().map(with_key).collect();
        let with_key = |spec: &AccountSpec| AccountSpec {
            key: account_keys.insert(()),
            ..spec.clone()
        };
        let accounts: Vec<AccountSpec> = accounts.iter().map(with_key).collect();
        let mut scheduler = Scheduler::new(settings);
        scheduler.configure(&classes, &accounts, Millis::ZERO);
        Fixture {
            scheduler,
            classes,
            accounts,
        }
    }

    pub(crate) fn arrival(&self, class: usize, account: usize) -> Arrival {
        Arrival {
            class: self.classes[class].key,
            account: self.accounts[account].key,
            max_tokens: 100,
            ..Arrival::default()
        }
    }

    pub(crate) fn submit(&mut self, class: usize, account: usize, now: Millis) -> Admission {
        let arrival = self.arrival(class, account);
        self.scheduler.submit(&arrival, now)
    }

    /// Submits a request that must be admitted.
    pub(crate) fn queue(&mut self, class: usize, account: usize, now: Millis) -> RequestKey {
        match self.submit(class, account, now) {
            Admission::Queued(key) => key,
            Admission::Refused(refusal) => panic!("refused: {}", refusal.reason),
        }
    }

    /// Submits a request that must be refused.
    pub(crate) fn refuse(&mut self, class: usize, account: usize, now: Millis) -> Refusal {
        match self.submit(class, account, now) {
            Admission::Queued(_) => panic!("admitted, expected a refusal"),
            Admission::Refused(refusal) => refusal,
        }
    }

    /// Takes the next action, which must be a dispatch.
    pub(crate) fn dispatch(&mut self, now: Millis, free: u32) -> Ticket<Dispatched> {
        match self.scheduler.next(now, free) {
            Some(Action::Dispatch(ticket)) => ticket,
            other => panic!("expected a dispatch, got {other:?}"),
        }
    }

    /// Takes the next action, which must be a refusal.
    pub(crate) fn refused(&mut self, now: Millis, free: u32) -> Refused {
        match self.scheduler.next(now, free) {
            Some(Action::Refuse(refused)) => refused,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    pub(crate) fn idle(&mut self, now: Millis, free: u32) {
        let action = self.scheduler.next(now, free);
        assert!(action.is_none(), "unexpected action: {action:?}");
    }

    /// Finishes a started request with a whole answer.
    pub(crate) fn finish(&mut self, ticket: Ticket<Dispatched>, output: u32, now: Millis) {
        let completion = Completion {
            output,
            complete: true,
        };
        self.scheduler.finish(ticket.sent(), completion, now);
    }
}

/// An interactive class in tier 0 with a target of two seconds.
pub(crate) fn interactive() -> ClassSpec {
    ClassSpec {
        tier: 0,
        target: Millis(2000),
        max_wait: Millis(2000),
        floor: 0.0,
        ..ClassSpec::default()
    }
}

/// A class of the lowest tier, without a target.
pub(crate) fn batch() -> ClassSpec {
    ClassSpec {
        tier: 2,
        floor: 0.1,
        ..ClassSpec::default()
    }
}
