use crocushold_base::AccountKey;
use slotmap::SlotMap;

use super::Connections;

// Connections open, change their account and close in any order. Each is counted once, no account
// exceeds its limit, and nothing is counted after all have closed. A count that leaked when the
// account changes would lock the account out permanently.
#[test]
fn closed_connections_are_not_counted() {
    let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
    let (a, b) = (accounts.insert(()), accounts.insert(()));
    let all = Connections::new(2);
    let (first, second, third) = (all.open(), all.open(), all.open());
    assert!(first.count_for(a) && second.count_for(a) && first.count_for(a));
    assert!(!third.count_for(a), "above the limit");
    assert!(
        second.count_for(b) && third.count_for(a),
        "one changed its account"
    );
    assert!(!second.count_for(a), "and can't change back");
    assert_eq!(all.counts().counts_by_account.values().sum::<u32>(), 3);
    drop((first, second, third));
    assert!(all.counts().counts_by_account.is_empty());
}
