//! Tests of the backoff.

use crocushold_base::Millis;
use crocushold_platform::Backoff;
use crocushold_platform::BackoffSettings;
use crocushold_platform::Jitter;

#[test]
fn pauses_grow_to_their_cap_and_differ_between_seeds() {
    let settings = BackoffSettings::default();
    let pauses = |seed| {
        let mut jitter = Jitter::new(seed);
        let mut backoff = Backoff::new(settings);
        (0..80)
            .map(|_| backoff.next_pause(&mut jitter))
            .collect::<Vec<Millis>>()
    };
    let one = pauses(1);
    assert!(one[0] >= Millis(125) && one[0] <= Millis(250));
    assert!(one[79] >= Millis(2_000) && one[79] <= Millis(4_000));
    assert_ne!(one, pauses(2));
    assert_eq!(one, pauses(1), "repeatable");
}
