//! Invariants over random sequences of events.

use std::collections::HashMap;

use crocushold_admission::AccountSpec;
use crocushold_admission::Action;
use crocushold_admission::Admission;
use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::NotRun;
use crocushold_admission::Reason;
use crocushold_admission::Sent;
use crocushold_admission::Settings;
use crocushold_admission::Ticket;
use crocushold_base::Millis;
use crocushold_base::RequestKey;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;

use crate::support::Fixture;
use crate::support::batch;
use crate::support::interactive;

const ACCOUNTS: usize = 4;
const CLASSES: usize = 4;
const MAX_QUEUED: u32 = 12;
const MAX_QUEUE_BYTES: u64 = 4000;

/// Memory reserved for the classes: half of their floors' shares.
const RESERVED_BYTES: u64 = 240;

#[derive(Clone, Debug)]
enum Step {
    Submit(Plan),
    Next { free: u32 },
    Finish { pick: usize, output: u32 },
    Progress { pick: usize, output: u32 },
    Requeue { pick: usize },
    Cancel { pick: usize },
    Wait { span: u64 },
    Share { account: usize, share: f64 },
    RemoveClass { class: usize },
}

#[derive(Clone, Debug)]
struct Plan {
    class: usize,
    account: usize,
    tokens: u32,
    bytes: u32,
    timeout: u64,
}

fn plan() -> impl Strategy<Value = Plan> {
    (0..CLASSES, 0..ACCOUNTS, 1u32..500, 0u32..1000, 1u64..20_000).prop_map(
        |(class, account, tokens, bytes, timeout)| Plan {
            class,
            account,
            tokens,
            bytes,
            timeout,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let pick = 0usize..64;
    prop_oneof![
        8 => plan().prop_map(Step::Submit),
        8 => (0u32..4).prop_map(|free| Step::Next { free }),
        4 => (pick.clone(), 1u32..1000).prop_map(|(pick, output)| Step::Finish { pick, output }),
        2 => (pick.clone(), 1u32..1000).prop_map(|(pick, output)| Step::Progress { pick, output }),
        2 => pick.clone().prop_map(|pick| Step::Requeue { pick }),
        2 => pick.prop_map(|pick| Step::Cancel { pick }),
        4 => (0u64..3000).prop_map(|span| Step::Wait { span }),
        1 => Just(Step::Wait { span: 40_000 }),
        1 => (0..ACCOUNTS, 0.0..1.0f64).prop_map(|(account, share)| Step::Share { account, share }),
        1 => (0..CLASSES).prop_map(|class| Step::RemoveClass { class }),
    ]
}

#[derive(Clone, Debug)]
struct Tracked {
    tier: u8,
    account: usize,
    bytes: u64,
    deadline: Millis,
}

/// The scheduler under test, and the expected state of its requests.
struct Checker {
    fixture: Fixture,
    now: Millis,
    waiting: HashMap<RequestKey, Tracked>,
    running: Vec<(Ticket<Sent>, Tracked)>,
    submitted: usize,
    ended: usize,
}

impl Checker {
    fn new() -> Checker {
        let settings = Settings {
            queue_limit: MAX_QUEUED,
            queue_bytes: MAX_QUEUE_BYTES,
            ..Settings::default()
        };
        let middle = ClassSpec {
            tier: 1,
            target: Millis(5000),
            max_wait: Millis(30_000),
            ..ClassSpec::default()
        };
        let second = ClassSpec {
            target: Millis(4000),
            max_wait: Millis(9000),
            ..interactive()
        };
        let limited = AccountSpec {
            concurrency: 2,
            token_rate: 1000.0,
            request_rate: 5.0,
            ..AccountSpec::default()
        };
        let mut accounts = vec![AccountSpec::default(); ACCOUNTS];
        accounts[3] = limited;
        let classes = [interactive(), second, middle, batch()];
        Checker {
            fixture: Fixture::with_accounts(settings, &classes, &accounts),
            now: Millis::ZERO,
            waiting: HashMap::new(),
            running: Vec::new(),
            submitted: 0,
            ended: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Submit(plan) => self.submit(plan),
            Step::Next { free } => self.next(*free),
            Step::Finish { pick, output } => self.finish(*pick, *output),
            Step::Progress { pick, output } => self.progress(*pick, *output),
            Step::Requeue { pick } => self.requeue_running(*pick),
            Step::Cancel { pick } => self.cancel(*pick),
            Step::Wait { span } => self.now += Millis(*span),
            Step::Share { account, share } => {
                let key = self.fixture.accounts[*account].key;
                self.fixture.scheduler.set_share(key, *share, self.now);
            }
            Step::RemoveClass { class } => self.remove_and_restore_class(*class),
        }
        self.check();
    }

    fn submit(&mut self, plan: &Plan) {
        let mut arrival = self.fixture.arrival(plan.class, plan.account);
        arrival.max_tokens = plan.tokens;
        arrival.bytes = plan.bytes;
        arrival.deadline = self.now + Millis(plan.timeout);
        self.submitted += 1;
        let settled = !self.refusals_due();
        match self.fixture.scheduler.submit(&arrival, self.now) {
            Admission::Refused(refusal) => {
                self.ended += 1;
                if refusal.reason == Reason::QueueFull && settled {
                    self.check_refused(plan);
                }
            }
            Admission::Queued(key) => {
                let tracked = Tracked {
                    tier: self.fixture.classes[plan.class].tier,
                    account: plan.account,
                    bytes: u64::from(plan.bytes),
                    deadline: arrival.deadline,
                };
                assert!(self.waiting.insert(key, tracked).is_none());
            }
        }
    }

    fn next(&mut self, free: u32) {
        match self.fixture.scheduler.next(self.now, free) {
            None => {}
            Some(Action::Refuse(refused)) => {
                let known = self.waiting.remove(&refused.key);
                assert!(
                    known.is_some(),
                    "refusal for an unknown or already answered request"
                );
                assert!(refused.refusal.retry_after >= Millis::from_secs(1));
                self.ended += 1;
            }
            Some(Action::Dispatch(ticket)) => {
                let request = self.waiting.remove(&ticket.key()).expect("it was queued");
                assert!(self.now < request.deadline, "dispatched after its deadline");
                let overdue = self
                    .waiting
                    .values()
                    .any(|tracked| tracked.deadline <= self.now);
                assert!(!overdue, "dispatched before an overdue refusal");
                assert!(free > 0);
                self.running.push((ticket.sent(), request));
            }
        }
    }

    fn finish(&mut self, pick: usize, output: u32) {
        if let Some((ticket, _)) = self.take_running(pick) {
            let completion = Completion {
                output,
                complete: !output.is_multiple_of(3),
            };
            let settled = self.fixture.scheduler.finish(ticket, completion, self.now);
            assert!(settled.is_some());
            self.ended += 1;
        }
    }

    fn progress(&mut self, pick: usize, output: u32) {
        if !self.running.is_empty() {
            let (ticket, _) = &self.running[pick % self.running.len()];
            self.fixture.scheduler.progress(ticket, output, self.now);
        }
    }

    fn requeue_running(&mut self, pick: usize) {
        if let Some((ticket, request)) = self.take_running(pick) {
            let key = ticket.key();
            let ticket = ticket.not_run(NotRun::ServerRefused);
            self.fixture.scheduler.requeue(ticket, self.now);
            self.waiting.insert(key, request);
        }
    }

    fn cancel(&mut self, pick: usize) {
        let mut keys: Vec<RequestKey> = self.waiting.keys().copied().collect();
        keys.extend(self.running.iter().map(|(ticket, _)| ticket.key()));
        keys.sort();
        if keys.is_empty() {
            return;
        }
        let key = keys[pick % keys.len()];
        // A request whose refusal is pending is no longer valid; `next` returns it.
        if self.fixture.scheduler.cancel(key, 5, self.now).is_some() {
            self.waiting.remove(&key);
            self.running.retain(|(ticket, _)| ticket.key() != key);
            self.ended += 1;
        }
    }

    fn remove_and_restore_class(&mut self, class: usize) {
        let mut classes = self.fixture.classes.clone();
        classes.remove(class);
        let accounts = self.fixture.accounts.clone();
        self.fixture
            .scheduler
            .configure(&classes, &accounts, self.now);
        let classes = self.fixture.classes.clone();
        self.fixture
            .scheduler
            .configure(&classes, &accounts, self.now);
    }

    fn take_running(&mut self, pick: usize) -> Option<(Ticket<Sent>, Tracked)> {
        if self.running.is_empty() {
            return None;
        }
        Some(self.running.swap_remove(pick % self.running.len()))
    }

    fn refusals_due(&self) -> bool {
        let wake = self.fixture.scheduler.wake_at();
        wake.is_some_and(|at| at <= self.now)
    }

    /// Takes the refusals that are due.
    fn take_due_refusals(&mut self) {
        while self.refusals_due() {
            self.next(0);
        }
    }

    /// Checks a refusal because of a full queue. For a request of tier 0, nothing of a lower tier
    /// may be queued except the reserve of the floors; in this small queue that is no entry and a
    /// few bytes.
    fn check_refused(&self, plan: &Plan) {
        if self.fixture.classes[plan.class].tier > 0 {
            return;
        }
        let interactive = self.waiting.values().filter(|tracked| tracked.tier == 0);
        let interactive: u64 = interactive.map(|tracked| tracked.bytes).sum();
        let lower = self.waiting.values().any(|tracked| tracked.tier > 0);
        let full = interactive + u64::from(plan.bytes) + RESERVED_BYTES > MAX_QUEUE_BYTES;
        assert!(
            !lower || full,
            "refused while a lower tier could be evicted"
        );
    }

    fn check(&self) {
        let status = self.fixture.scheduler.status();
        assert_eq!(status.running as usize, self.running.len());
        assert!(status.queued as usize <= self.waiting.len());
        // The queue may exceed its bound by requests that were in flight and came back unsent.
        assert_eq!(
            self.submitted,
            self.ended + self.waiting.len() + self.running.len()
        );
        for class in &self.fixture.classes {
            let status = self.fixture.scheduler.class_status(class.key);
            let status = status.expect("configured");
            assert!(status.accounts <= status.queued.min(ACCOUNTS as u32));
            assert!(status.flows <= ACCOUNTS as u32);
            assert_eq!(status.queued == 0, status.backlog == 0);
        }
        self.check_accounts();
    }

    fn check_accounts(&self) {
        for (index, spec) in self.fixture.accounts.iter().enumerate() {
            let running = self
                .running
                .iter()
                .filter(|(_, tracked)| tracked.account == index);
            let counted = self.fixture.scheduler.account_running(spec.key);
            assert_eq!(counted as usize, running.count());
        }
    }

    /// Ends all remaining requests; afterwards none may be left in the scheduler.
    fn drain(&mut self) {
        while let Some((ticket, _)) = self.running.pop() {
            let completion = Completion {
                output: 1,
                complete: true,
            };
            self.fixture.scheduler.finish(ticket, completion, self.now);
            self.ended += 1;
        }
        for _ in 0..1000 {
            self.now += Millis(10);
            self.next(1);
            self.finish(0, 10);
        }
        assert!(
            self.waiting.is_empty(),
            "requests left in the queue: {:?}",
            self.waiting
        );
        assert_eq!(self.submitted, self.ended);
        assert_eq!(self.fixture.scheduler.status().queued, 0);
        assert_eq!(self.fixture.scheduler.status().bytes, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// For any sequence of events, each request ends exactly once, none starts after its deadline
    /// or before an overdue refusal, the counts agree, and no request is left at the end.
    #[test]
    fn every_request_ends_exactly_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut checker = Checker::new();
        for step in &steps {
            checker.apply(step);
        }
        checker.drain();
    }

    /// Submissions alone never exceed the bounds of the queue, and a request of tier 0 is refused
    /// because of a full queue only when no request of a lower tier could be evicted.
    #[test]
    fn the_queue_stays_bounded(plans in proptest::collection::vec(plan(), 1..200)) {
        let mut checker = Checker::new();
        for plan in &plans {
            checker.submit(plan);
            checker.take_due_refusals();
            let status = checker.fixture.scheduler.status();
            assert!(status.queued <= MAX_QUEUED);
            assert!(status.bytes <= MAX_QUEUE_BYTES);
            checker.check();
        }
    }

    /// Without floors, a lower tier starts nothing while a higher-priority tier has an eligible
    /// request.
    #[test]
    fn tiers_are_strict_except_for_floors(plans in proptest::collection::vec(plan(), 1..60)) {
        let mut checker = Checker::new();
        for spec in &mut checker.fixture.classes {
            spec.floor = 0.0;
        }
        let (classes, accounts) = (checker.fixture.classes.clone(), checker.fixture.accounts.clone());
        checker.fixture.scheduler.configure(&classes, &accounts, Millis::ZERO);
        for plan in &plans {
            checker.submit(plan);
            checker.take_due_refusals();
        }
        while let Some(Action::Dispatch(ticket)) = checker.fixture.scheduler.next(checker.now, 1) {
            let request = checker.waiting.remove(&ticket.key()).expect("it was queued");
            let higher = checker.waiting.values().any(|tracked| tracked.tier < request.tier && tracked.account != 3);
            assert!(!higher, "tier {} was dispatched before a higher-priority tier", request.tier);
            checker.running.push((ticket.sent(), request));
        }
    }
}
