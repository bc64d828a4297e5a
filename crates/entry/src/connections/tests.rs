use crocushold_base::AccountKey;
use slotmap::SlotMap;

use super::Connections;

// Connections come, change their account and go in any order. Each is counted once, nothing is left
// when all are gone, and an account never holds more than the bound: a place that is lost at a change
// would lock the account out for good.
#[test]
fn every_place_is_given_back() {
    let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
    let (a, b) = (accounts.insert(()), accounts.insert(()));
    let all = Connections::new(2);
    let (first, second, third) = (all.open(), all.open(), all.open());
    assert!(first.count_for(a) && second.count_for(a) && first.count_for(a));
    assert!(!third.count_for(a), "above the bound");
    assert!(second.count_for(b) && third.count_for(a), "one moved away");
    assert!(!second.count_for(a), "and can't come back");
    assert_eq!(all.counts().counts_by_account.values().sum::<u32>(), 3);
    drop((first, second, third));
    assert!(all.counts().counts_by_account.is_empty());
}
