use crocushold_admission::AccountSpec;
use crocushold_admission::Arrival;
use crocushold_admission::ClassSpec;
use crocushold_base::AccountKey;
use crocushold_base::ClassKey;
use crocushold_base::Clock;
use crocushold_base::ServerKey;
use crocushold_routing::ServerSpec;
use slotmap::SlotMap;

use super::Need;
use super::Pool;
use super::PoolSettings;

const NEED: Need = Need {
    model: None,
    prefix: None,
    tier: 0,
    idempotent: true,
    tokens: 0,
};

// A caller hangs up at the very moment at which its request gets its turn: the turn was sent and
// nobody will take it. Nothing was sent to a server, so the server's slot must come back; if it
// didn't, each such moment would shrink the service until the instance is replaced.
#[test]
fn a_turn_that_nobody_takes_gives_both_slots_back() {
    let mut classes: SlotMap<ClassKey, ()> = SlotMap::with_key();
    let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
    let mut servers: SlotMap<ServerKey, ()> = SlotMap::with_key();
    let (class, account, server) = (classes.insert(()), accounts.insert(()), servers.insert(()));
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
    let waiting = pool.submit(&arrival, NEED).unwrap();
    let in_flight = || pool.lock().router.why(server).unwrap().in_flight;
    assert_eq!(in_flight(), 1, "the turn was sent");
    pool.withdraw(waiting);
    assert_eq!(in_flight(), 0);
    assert!(pool.lock().waiting.is_empty());
}
