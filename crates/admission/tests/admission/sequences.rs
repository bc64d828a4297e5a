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

use crate::support::Bed;
use crate::support::batch;
use crate::support::live;

const ACCOUNTS: usize = 4;
const CLASSES: usize = 4;
const QUEUE: u32 = 12;
const BYTES: u64 = 4000;

/// Half of the floors' shares of the bytes.
const KEPT_BYTES: u64 = 240;

#[derive(Clone, Debug)]
enum Step {
    Submit(Plan),
    Next { free: u32 },
    Finish { pick: usize, output: u32 },
    Progress { pick: usize, output: u32 },
    Return { pick: usize },
    Cancel { pick: usize },
    Wait { span: u64 },
    Share { account: usize, share: f64 },
    Drop { class: usize },
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
        2 => pick.clone().prop_map(|pick| Step::Return { pick }),
        2 => pick.prop_map(|pick| Step::Cancel { pick }),
        4 => (0u64..3000).prop_map(|span| Step::Wait { span }),
        1 => Just(Step::Wait { span: 40_000 }),
        1 => (0..ACCOUNTS, 0.0..1.0f64).prop_map(|(account, share)| Step::Share { account, share }),
        1 => (0..CLASSES).prop_map(|class| Step::Drop { class }),
    ]
}

#[derive(Clone, Debug)]
struct Waiting {
    tier: u8,
    account: usize,
    bytes: u64,
    deadline: Millis,
}

/// What the test knows beside the scheduler.
struct Watch {
    bed: Bed,
    now: Millis,
    waiting: HashMap<RequestKey, Waiting>,
    running: Vec<(Ticket<Sent>, Waiting)>,
    submitted: usize,
    ended: usize,
}

impl Watch {
    fn new() -> Watch {
        let settings = Settings {
            queue_limit: QUEUE,
            queue_bytes: BYTES,
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
            ..live()
        };
        let limited = AccountSpec {
            concurrency: 2,
            token_rate: 1000.0,
            request_rate: 5.0,
            ..AccountSpec::default()
        };
        let mut accounts = vec![AccountSpec::default(); ACCOUNTS];
        accounts[3] = limited;
        let classes = [live(), second, middle, batch()];
        Watch {
            bed: Bed::with_accounts(settings, &classes, &accounts),
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
            Step::Return { pick } => self.take_back(*pick),
            Step::Cancel { pick } => self.cancel(*pick),
            Step::Wait { span } => self.now += Millis(*span),
            Step::Share { account, share } => {
                let key = self.bed.accounts[*account].key;
                self.bed.scheduler.set_share(key, *share, self.now);
            }
            Step::Drop { class } => self.drop_and_restore(*class),
        }
        self.check();
    }

    fn submit(&mut self, plan: &Plan) {
        let mut arrival = self.bed.arrival(plan.class, plan.account);
        arrival.max_tokens = plan.tokens;
        arrival.bytes = plan.bytes;
        arrival.deadline = self.now + Millis(plan.timeout);
        self.submitted += 1;
        let settled = !self.owes_answers();
        match self.bed.scheduler.submit(&arrival, self.now) {
            Admission::Refused(refusal) => {
                self.ended += 1;
                if refusal.reason == Reason::QueueFull && settled {
                    self.check_refused(plan);
                }
            }
            Admission::Queued(key) => {
                let waiting = Waiting {
                    tier: self.bed.classes[plan.class].tier,
                    account: plan.account,
                    bytes: u64::from(plan.bytes),
                    deadline: arrival.deadline,
                };
                assert!(self.waiting.insert(key, waiting).is_none());
            }
        }
    }

    fn next(&mut self, free: u32) {
        match self.bed.scheduler.next(self.now, free) {
            None => {}
            Some(Action::Refuse(refused)) => {
                let known = self.waiting.remove(&refused.key);
                assert!(known.is_some(), "answered twice or never asked");
                assert!(refused.refusal.retry_after >= Millis::from_secs(1));
                self.ended += 1;
            }
            Some(Action::Dispatch(ticket)) => {
                let request = self.waiting.remove(&ticket.key()).expect("it was queued");
                assert!(self.now < request.deadline, "started after its deadline");
                let overdue = self.waiting.values().any(|w| w.deadline <= self.now);
                assert!(!overdue, "started work before an overdue answer");
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
            let settled = self.bed.scheduler.finish(ticket, completion, self.now);
            assert!(settled.is_some());
            self.ended += 1;
        }
    }

    fn progress(&mut self, pick: usize, output: u32) {
        if !self.running.is_empty() {
            let (ticket, _) = &self.running[pick % self.running.len()];
            self.bed.scheduler.progress(ticket, output, self.now);
        }
    }

    fn take_back(&mut self, pick: usize) {
        if let Some((ticket, request)) = self.take_running(pick) {
            let key = ticket.key();
            let ticket = ticket.not_run(NotRun::ServerRefused);
            self.bed.scheduler.requeue(ticket, self.now);
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
        // A request whose refusal is on its way out is void already, and comes out of `next`.
        if self.bed.scheduler.cancel(key, 5, self.now).is_some() {
            self.waiting.remove(&key);
            self.running.retain(|(ticket, _)| ticket.key() != key);
            self.ended += 1;
        }
    }

    fn drop_and_restore(&mut self, class: usize) {
        let mut classes = self.bed.classes.clone();
        classes.remove(class);
        let accounts = self.bed.accounts.clone();
        self.bed.scheduler.configure(&classes, &accounts, self.now);
        let classes = self.bed.classes.clone();
        self.bed.scheduler.configure(&classes, &accounts, self.now);
    }

    fn take_running(&mut self, pick: usize) -> Option<(Ticket<Sent>, Waiting)> {
        if self.running.is_empty() {
            return None;
        }
        Some(self.running.swap_remove(pick % self.running.len()))
    }

    fn owes_answers(&self) -> bool {
        let wake = self.bed.scheduler.wake_at();
        wake.is_some_and(|at| at <= self.now)
    }

    /// Takes the answers that are due.
    fn answer(&mut self) {
        while self.owes_answers() {
            self.next(0);
        }
    }

    /// A request was refused for want of room. If it is a live one, nothing lower may be queued but
    /// what is kept for the floors; of this small queue that is no entry and a few bytes.
    fn check_refused(&self, plan: &Plan) {
        if self.bed.classes[plan.class].tier > 0 {
            return;
        }
        let live = self.waiting.values().filter(|w| w.tier == 0);
        let live: u64 = live.map(|w| w.bytes).sum();
        let lower = self.waiting.values().any(|w| w.tier > 0);
        let full = live + u64::from(plan.bytes) + KEPT_BYTES > BYTES;
        assert!(!lower || full, "refused for a lower tier");
    }

    fn check(&self) {
        let status = self.bed.scheduler.status();
        assert_eq!(status.running as usize, self.running.len());
        assert!(status.queued as usize <= self.waiting.len());
        // Requests that came back unsent may stand above the bound, by what was in flight.
        assert_eq!(
            self.submitted,
            self.ended + self.waiting.len() + self.running.len()
        );
        for class in &self.bed.classes {
            let status = self.bed.scheduler.class_status(class.key);
            let status = status.expect("configured");
            assert!(status.accounts <= status.queued.min(ACCOUNTS as u32));
            assert!(status.flows <= ACCOUNTS as u32);
            assert_eq!(status.queued == 0, status.backlog == 0);
        }
        self.check_accounts();
    }

    fn check_accounts(&self) {
        for (index, spec) in self.bed.accounts.iter().enumerate() {
            let running = self.running.iter().filter(|(_, w)| w.account == index);
            let counted = self.bed.scheduler.account_running(spec.key);
            assert_eq!(counted as usize, running.count());
        }
    }

    /// Ends all that is left; afterwards nothing may be held.
    fn drain(&mut self) {
        while let Some((ticket, _)) = self.running.pop() {
            let completion = Completion {
                output: 1,
                complete: true,
            };
            self.bed.scheduler.finish(ticket, completion, self.now);
            self.ended += 1;
        }
        for _ in 0..1000 {
            self.now += Millis(10);
            self.next(1);
            self.finish(0, 10);
        }
        assert!(self.waiting.is_empty(), "held for ever: {:?}", self.waiting);
        assert_eq!(self.submitted, self.ended);
        assert_eq!(self.bed.scheduler.status().queued, 0);
        assert_eq!(self.bed.scheduler.status().bytes, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever happens, each request ends exactly once, none starts after its deadline or before
    /// an overdue answer, the counts agree and nothing is held in the end.
    #[test]
    fn every_request_ends_exactly_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut watch = Watch::new();
        for step in &steps {
            watch.apply(step);
        }
        watch.drain();
    }

    /// Submissions alone never take the queue above its bounds, and a live request is refused for
    /// want of room only when nothing of a lower tier could give way.
    #[test]
    fn the_queue_stays_bounded(plans in proptest::collection::vec(plan(), 1..200)) {
        let mut watch = Watch::new();
        for plan in &plans {
            watch.submit(plan);
            watch.answer();
            let status = watch.bed.scheduler.status();
            assert!(status.queued <= QUEUE);
            assert!(status.bytes <= BYTES);
            watch.check();
        }
    }

    /// Without floors a lower tier starts nothing while a higher one has a request that could.
    #[test]
    fn tiers_are_strict_but_for_floors(plans in proptest::collection::vec(plan(), 1..60)) {
        let mut watch = Watch::new();
        for spec in &mut watch.bed.classes {
            spec.floor = 0.0;
        }
        let (classes, accounts) = (watch.bed.classes.clone(), watch.bed.accounts.clone());
        watch.bed.scheduler.configure(&classes, &accounts, Millis::ZERO);
        for plan in &plans {
            watch.submit(plan);
            watch.answer();
        }
        while let Some(Action::Dispatch(ticket)) = watch.bed.scheduler.next(watch.now, 1) {
            let request = watch.waiting.remove(&ticket.key()).expect("it was queued");
            let higher = watch.waiting.values().any(|w| w.tier < request.tier && w.account != 3);
            assert!(!higher, "tier {} before a higher one", request.tier);
            watch.running.push((ticket.sent(), request));
        }
    }
}
