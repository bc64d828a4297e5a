use std::sync::Arc;

use crocushold_admission::AccountSpec;
use crocushold_admission::Arrival;
use crocushold_admission::ClassSpec;
use crocushold_admission::NotRun;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Clock;
use crocushold_base::ServerKey;
use crocushold_routing::Outcome;
use crocushold_routing::ServerSpec;
use slotmap::SlotMap;

use super::Need;
use super::Pool;
use super::PoolSettings;
use super::Turn;

const NEED: Need = Need {
    model: None,
    prefix: None,
    tier: 0,
    idempotent: true,
    tokens: 0,
};

/// A pool of one server with one slot, and an arrival that it admits.
struct Bed {
    pool: Arc<Pool>,
    server: ServerKey,
    arrival: Arrival,
}

impl Bed {
    fn new() -> Bed {
        let mut classes: SlotMap<ClassKey, ()> = SlotMap::with_key();
        let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
        let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let (class, account) = (classes.insert(()), accounts.insert(()));
        let server = servers.insert(());
        let pool = Pool::new(Clock::start(), &PoolSettings::default());
        pool.update(|state, now| {
            let class = ClassSpec {
                key: class,
                ..ClassSpec::default()
            };
            let account = AccountSpec {
                key: account,
                ..AccountSpec::default()
            };
            state.scheduler.configure(&[class], &[account], now);
            state.addresses.insert(server, ([127, 0, 0, 1], 1).into());
            let spec = ServerSpec {
                key: server,
                id: 1,
                zone: String::new(),
                concurrency: 1,
                models: Vec::new(),
            };
            state.set_servers(vec![spec], now);
        });
        let arrival = Arrival {
            class,
            account,
            max_tokens: 1,
            ..Arrival::default()
        };
        Bed {
            pool,
            server,
            arrival,
        }
    }

    fn in_flight(&self) -> u32 {
        self.pool.lock().router.why(self.server).unwrap().in_flight
    }
}

// A caller hangs up at the very moment at which its request gets its turn: the turn was sent and
// nobody will take it. Nothing was sent to a server, so the server's slot must come back; if it
// didn't, each such moment would shrink the service until the instance is replaced.
#[test]
fn a_turn_that_nobody_takes_gives_both_slots_back() {
    let bed = Bed::new();
    let waiting = bed.pool.submit(&bed.arrival, NEED).unwrap();
    assert_eq!(bed.in_flight(), 1, "the turn was sent");
    bed.pool.withdraw(waiting);
    assert_eq!(bed.in_flight(), 0);
    assert!(bed.pool.lock().waiting.is_empty());
}

// A request's attempt fails and it waits for a second turn. Its caller hangs up there, or gets the turn
// when the slot comes free: either way it holds one place and one slot, and gives back what it holds.
#[test]
fn a_second_turn_is_given_and_taken_back_like_the_first() {
    let bed = Bed::new();
    let mut first = bed.pool.submit(&bed.arrival, NEED).unwrap();
    let second = bed.pool.submit(&bed.arrival, NEED).unwrap();
    let Ok(Some(Turn::Start(start))) = first.turn.try_recv() else {
        panic!("the first has its turn");
    };
    // The second takes the slot that the failed attempt gave back.
    let attempt = start.pick.attempt;
    bed.pool.end_attempt(attempt, Outcome::Cancelled, 0);
    let ticket = start.ticket.sent().not_run(NotRun::NothingWritten);
    let mut again = bed.pool.requeue(ticket, NEED, vec![bed.server]);
    assert!(matches!(again.turn.try_recv(), Ok(None)), "it waits");
    bed.pool.withdraw(second);
    assert!(matches!(again.turn.try_recv(), Ok(Some(Turn::Start(_)))));
    assert_eq!(bed.in_flight(), 1);
    let third = bed.pool.submit(&bed.arrival, NEED).unwrap();
    bed.pool.withdraw(third);
    assert_eq!(bed.pool.lock().waiting.len(), 0);
}
