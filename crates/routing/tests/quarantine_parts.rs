//! Tests of the quarantine of prompt parts: which parts become suspect, what tells them apart, and how
//! many requests that crash nothing are refused.

use std::sync::Arc;

use crocushold_base::Millis;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::RequestContent;
use crocushold_routing::Run;
use crocushold_routing::SURVIVAL;
use crocushold_routing::SuspectKind;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const START: u64 = 100_000;

/// The part that crashes servers, and parts that don't.
const BAD: u128 = 1;
const BESIDE: u128 = 2;
const OTHER: u128 = 3;

/// A request with these parts, unlike all others.
fn request(number: u128, parts: &[u128]) -> RequestContent {
    let parts = parts.iter().map(|part| Fingerprint(*part));
    RequestContent {
        request: Fingerprint(1_000_000 + number),
        parts: parts.collect::<Arc<[Fingerprint]>>(),
    }
}

/// A run whose answer began 60 ms after it was sent.
fn run(content: RequestContent, server: u64, sent: u64) -> Run {
    Run {
        content,
        server: Incarnation(server),
        sent: Millis(sent),
        began: Some(Millis(sent + 60)),
        writing: None,
    }
}

/// Ends a server 100 ms after a request was sent there.
fn end(quarantine: &mut Quarantine, content: RequestContent, server: u64, sent: u64) {
    let cut = Millis(sent + 100);
    quarantine.run_cut(run(content, server, sent), cut);
    quarantine.server_ended(Incarnation(server), cut + Millis(5));
}

/// Ends `count` servers, a second apart from `START` on, under requests that have the same parts and
/// nothing else in common.
fn end_series(quarantine: &mut Quarantine, parts: &[u128], count: u64) {
    for number in 0..count {
        let content = request(number.into(), parts);
        end(quarantine, content, 1 + number, START + 1000 * number);
    }
}

fn is_refused(quarantine: &Quarantine, parts: &[u128], at: u64) -> bool {
    quarantine.admit(&request(999, parts), Millis(at)).is_err()
}

/// Guards against requests that crash one server after the other because no two are alike.
#[test]
fn a_part_is_quarantined_after_four_consecutive_ends() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BAD], 3);
    assert!(!is_refused(&quarantine, &[BAD], START + 3000));
    end_series(&mut quarantine, &[BAD], 4);
    let at = START + 4000;
    let refusal = quarantine.admit(&request(999, &[OTHER, BAD]), Millis(at));
    assert_eq!(refusal.unwrap_err().ends, 4);
    assert!(!is_refused(&quarantine, &[OTHER], at));
    let quarantined = quarantine.take_quarantined();
    assert_eq!(quarantined.len(), 1);
    assert_eq!(quarantined[0].kind, SuspectKind::Part);
    assert_eq!(quarantined[0].servers, [1, 2, 3, 4].map(Incarnation));
    assert_eq!(
        quarantine.quarantined_count(SuspectKind::Part, Millis(at)),
        1
    );
}

/// Guards against a part that is held back for good: after its span it is tried again, and one more end
/// holds it back for longer.
#[test]
fn a_part_is_admitted_again_after_its_span() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BAD], 4);
    let refusal = quarantine.admit(&request(999, &[BAD]), Millis(START + 4000));
    let span = refusal.unwrap_err().retry_after.0;
    let again = START + 4000 + span;
    assert!(!is_refused(&quarantine, &[BAD], again));
    quarantine.expire(Millis(again));
    end(&mut quarantine, request(7, &[BAD]), 7, again);
    assert!(is_refused(&quarantine, &[BAD], again + span + 1000));
}

/// Guards against holding back a part that most requests have: one of them runs on each server that ends,
/// and others are answered meanwhile.
#[test]
fn an_answer_that_began_after_an_end_clears_its_parts() {
    let mut quarantine = Quarantine::default();
    for number in 0..8 {
        let sent = START + 1000 * number;
        end(
            &mut quarantine,
            request(number.into(), &[OTHER, BAD]),
            1 + number,
            sent,
        );
        let began = Millis(sent + 300);
        quarantine.served(&request(100, &[OTHER]), began, began + Millis(200));
    }
    let at = START + 9000;
    assert!(is_refused(&quarantine, &[OTHER, BAD], at));
    assert!(!is_refused(&quarantine, &[OTHER], at));
}

/// Guards against ends that are heard of late: the answer that clears them has been given already.
#[test]
fn an_end_that_is_reported_after_the_answer_is_cleared() {
    let mut other = Quarantine::default();
    end_series(&mut other, &[BESIDE], 4);
    let mut quarantine = Quarantine::default();
    let now = Millis(START + 5000);
    quarantine.served(&request(100, &[BESIDE]), Millis(START + 4000), now);
    for suspicion in other.all_suspicions(SuspectKind::Part, now) {
        quarantine.apply_suspicion(SuspectKind::Part, &suspicion, now);
    }
    assert!(!is_refused(&quarantine, &[BESIDE], now.0));
}

/// Guards against trusting what was once sound: a part that many requests had goes bad, and answers that
/// began before arrive whole afterwards.
#[test]
fn an_answer_that_began_before_an_end_clears_nothing() {
    let mut quarantine = Quarantine::default();
    quarantine.served(
        &request(100, &[BAD]),
        Millis(START - 500),
        Millis(START - 300),
    );
    end_series(&mut quarantine, &[BAD], 4);
    let late = Millis(START + 3500);
    quarantine.served(&request(101, &[BAD]), Millis(START - 200), late);
    assert!(is_refused(&quarantine, &[BAD], START + 4000));
}

/// Guards against waiting for the end of a long stream to learn that its parts are sound.
#[test]
fn a_stream_that_goes_on_clears_its_parts() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BAD, BESIDE], 4);
    let began = Millis(START + 3500);
    quarantine.parts_survived(&request(100, &[BESIDE]), began, began + SURVIVAL);
    assert_eq!(quarantine.take_cleared_parts(), [Fingerprint(BESIDE)]);
    assert!(!is_refused(&quarantine, &[BESIDE], START + 5000));
    assert!(is_refused(&quarantine, &[BAD], START + 5000));
}

/// Guards against blaming streams that a server had been writing for long when it ended.
#[test]
fn a_stream_that_had_gone_on_is_no_suspect() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let sent = START + 5000 * number;
        let cut = Millis(sent) + SURVIVAL + Millis(200);
        let long = Run {
            writing: Some(Millis(sent + 70)),
            ..run(request(number.into(), &[OTHER]), 1 + number, sent)
        };
        quarantine.run_cut(long, cut);
        quarantine.server_ended(Incarnation(1 + number), cut);
    }
    assert!(!is_refused(&quarantine, &[OTHER], START + 30_000));
}

/// Guards against refusing a sound part that stood beside the one that crashes servers each time, and was
/// never asked for alone: a request without the other suspect is sent, and clears it.
#[test]
fn a_part_beside_the_one_that_ends_servers_is_tried_without_it() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BESIDE, BAD], 4);
    let at = START + 5000;
    assert!(is_refused(&quarantine, &[BESIDE, BAD], at));
    assert!(!is_refused(&quarantine, &[BESIDE, OTHER], at));
    quarantine.served(
        &request(100, &[BESIDE, OTHER]),
        Millis(at),
        Millis(at + 300),
    );
    assert!(is_refused(&quarantine, &[OTHER, BAD], at + 400));
    assert!(!is_refused(&quarantine, &[BESIDE, OTHER], at + 400));
}

/// Guards against endless trials of the part that crashes servers: each one leaves an end that the parts it
/// stood beside before don't explain.
#[test]
fn a_part_that_ends_servers_alone_is_held_back_after_two_trials() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BESIDE, BAD], 4);
    let mut trials = 0;
    for number in 10..20 {
        let sent = START + 1000 * number;
        if is_refused(&quarantine, &[OTHER, BAD], sent) {
            break;
        }
        trials += 1;
        end(
            &mut quarantine,
            request(number.into(), &[OTHER, BAD]),
            number,
            sent,
        );
    }
    assert_eq!(trials, 2);
    assert!(!is_refused(&quarantine, &[BESIDE, OTHER], START + 20_000));
}

/// Guards against refusing a sound part because of one more end, of a server that ended for another reason.
#[test]
fn one_end_for_another_reason_holds_nothing_else_back() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, request(50, &[BESIDE]), 50, START - 1000);
    end_series(&mut quarantine, &[BESIDE, BAD], 4);
    let at = START + 5000;
    assert!(is_refused(&quarantine, &[BESIDE, BAD], at));
    assert!(!is_refused(&quarantine, &[BESIDE, OTHER], at));
}

/// Guards against holding back, request by request, what ran beside a part that crashes servers and was sent
/// again.
#[test]
fn ends_under_a_part_dont_count_against_requests_beside_it() {
    let mut quarantine = Quarantine::default();
    let again = request(77, &[OTHER]);
    for number in 0..6 {
        let sent = START + 1000 * number;
        if number < 3 {
            quarantine.run_cut(run(again.clone(), 1 + number, sent), Millis(sent + 100));
        }
        end(
            &mut quarantine,
            request(number.into(), &[BAD]),
            1 + number,
            sent,
        );
    }
    let at = Millis(START + 7000);
    assert!(quarantine.admit(&again, at).is_ok());
    assert!(is_refused(&quarantine, &[BAD], at.0));
}

/// Guards against blaming a part that all requests have where one request that is sent again crashes servers.
#[test]
fn a_request_that_ends_servers_leaves_its_parts_to_others() {
    let mut quarantine = Quarantine::default();
    let guilty = request(77, &[OTHER]);
    for number in 0..4 {
        end(
            &mut quarantine,
            guilty.clone(),
            1 + number,
            START + 1000 * number,
        );
    }
    let at = Millis(START + 6000);
    assert!(quarantine.admit(&guilty, at).is_err());
    assert!(!is_refused(&quarantine, &[OTHER], at.0));
}

/// Guards against a flood of parts that evicts quarantined ones.
#[test]
fn a_flood_evicts_no_quarantined_part() {
    let mut quarantine = Quarantine::default();
    end_series(&mut quarantine, &[BAD], 4);
    for number in 0..3000 {
        let content = request(1000 + number, &[1000 + number]);
        end(&mut quarantine, content, 1000 + number as u64, START + 5000);
    }
    assert!(is_refused(&quarantine, &[BAD], START + 6000));
}

/// An event at one of several instances.
#[derive(Clone, Copy, Debug)]
enum Observed {
    End { server: u64, slot: u64, part: u128 },
    Survived { slot: u64, part: u128 },
}

fn observed() -> impl Strategy<Value = Observed> {
    prop_oneof![
        3 => (1..9u64, 0..20u64, 1..4u128).prop_map(|(server, slot, part)| Observed::End {
            server,
            slot,
            part,
        }),
        1 => (0..20u64, 1..4u128).prop_map(|(slot, part)| Observed::Survived { slot, part }),
    ]
}

proptest! {
    /// Guards against instances that disagree on what is held back because datagrams are lost, duplicated and
    /// reordered, or because one heard of an answer before and another after the ends.
    #[test]
    fn news_of_parts_merge_in_any_order(
        all in prop::collection::vec(observed(), 1..16),
        order in prop::collection::vec(any::<prop::sample::Index>(), 24),
    ) {
        let now = Millis(START + 30_000);
        let mut source = Quarantine::default();
        let mut news = Vec::new();
        for observed in all {
            match observed {
                Observed::End { server, slot, part } => {
                    let content = request(server.into(), &[part]);
                    end(&mut source, content, server, START + 200 * slot);
                }
                Observed::Survived { slot, part } => {
                    let began = Millis(START + 200 * slot);
                    source.parts_survived(&request(0, &[part]), began, now);
                }
            }
            news.extend(source.unsent_suspicions(SuspectKind::Part, now));
        }
        let mut in_order = Quarantine::default();
        let mut shuffled = Quarantine::default();
        for suspicion in &news {
            in_order.apply_suspicion(SuspectKind::Part, suspicion, now);
        }
        for index in order {
            if !news.is_empty() {
                shuffled.apply_suspicion(SuspectKind::Part, index.get(&news), now);
            }
        }
        for suspicion in news.iter().rev() {
            shuffled.apply_suspicion(SuspectKind::Part, suspicion, now);
        }
        for parts in [&[1][..], &[2], &[3], &[1, 2]] {
            let content = request(999, parts);
            let admitted = source.admit(&content, now).is_ok();
            prop_assert_eq!(in_order.admit(&content, now).is_ok(), admitted);
            prop_assert_eq!(shuffled.admit(&content, now).is_ok(), admitted);
        }
    }
}

/// A fleet whose requests have three shared parts each: of few first ones, some second ones, many third ones.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    servers: usize,
    /// Requests that start in 10 ms, in the mean.
    rate: f64,
    /// Numbers of parts of each level.
    parts: [u32; 3],
    /// Parts that crash servers, each as (level, number).
    bad: &'static [(usize, u32)],
    /// Ratio of requests that are replaced by one with a bad part.
    bad_ratio: f64,
    /// Mean time between servers that crash for another reason, in milliseconds; zero for none.
    other_crashes: u64,
    /// Number of servers that end at once every ten seconds; zero for none.
    rack: usize,
}

#[derive(Debug, Default)]
struct Tally {
    bad_crashes: u32,
    /// Requests with a bad part that were sent after three seconds from the fifth end.
    late: u32,
    sound: u32,
    refused: u32,
    /// Sound requests that have a first part in common with a bad one, and those refused.
    related: u32,
    related_refused: u32,
}

/// Time from the start of a run until the server begins to write, and until it has written all.
const TO_FIRST_TOKEN: u64 = 200;
const RUN_TIME: u64 = 900;
/// Time from the beginning of an answer until the server crashes.
const TO_CRASH: u64 = 80;
const RESTART: u64 = 2500;

impl Fleet {
    fn pick(&self, rng: &mut SmallRng) -> [u128; 3] {
        let leaf = rng.random_range(0..self.parts[2]);
        // The levels branch: each part stands below one of the level above.
        let numbers = [leaf % self.parts[0], leaf % self.parts[1], leaf];
        [0, 1, 2].map(|level| u128::from(numbers[level]) + 1 + 100_000 * level as u128)
    }

    /// Plays 60 seconds.
    fn play(&self, seed: u64) -> Tally {
        struct Running {
            content: RequestContent,
            server: usize,
            sent: u64,
            bad: bool,
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut quarantine = Quarantine::default();
        let mut tally = Tally::default();
        let mut up = vec![0u64; self.servers];
        let mut life = vec![0u64; self.servers];
        let mut runs: Vec<Running> = Vec::new();
        let mut ends: Vec<u64> = Vec::new();
        let mut number = 0u128;
        for step in 0..6000u64 {
            let now = START + step * 10;
            let in_trouble = step > 500;
            let starts = self.rate as u32 + u32::from(rng.random_bool(self.rate.fract()));
            for _ in 0..starts {
                number += 1;
                let mut parts = self.pick(&mut rng);
                let mut bad = false;
                if in_trouble && !self.bad.is_empty() && rng.random_bool(self.bad_ratio) {
                    let (level, part) = self.bad[number as usize % self.bad.len()];
                    // The other parts are those of the bad part's branch.
                    let leaf = part;
                    parts = [leaf % self.parts[0], leaf % self.parts[1], leaf].map(u128::from);
                    parts = [0, 1, 2].map(|at| parts[at] + 1 + 100_000 * at as u128);
                    parts[level] = 900_000 + u128::from(part);
                    bad = true;
                }
                let first = parts[0];
                let content = request(number, &parts);
                let related = !bad
                    && self
                        .bad
                        .iter()
                        .any(|(_, part)| first == u128::from(part % self.parts[0]) + 1);
                let refused = quarantine.admit(&content, Millis(now)).is_err();
                if !bad && in_trouble {
                    tally.sound += 1;
                    tally.refused += u32::from(refused);
                    tally.related += u32::from(related);
                    tally.related_refused += u32::from(related && refused);
                }
                if refused {
                    continue;
                }
                if bad && ends.get(4).is_some_and(|fifth| now > fifth + 3000) {
                    tally.late += 1;
                }
                let Some(server) = (0..20)
                    .map(|_| rng.random_range(0..self.servers))
                    .find(|server| up[*server] <= now)
                else {
                    continue;
                };
                runs.push(Running {
                    content,
                    server,
                    sent: now,
                    bad,
                });
            }
            let mut crashed: Vec<usize> = Vec::new();
            for run in runs.iter().filter(|run| run.bad) {
                if now >= run.sent + TO_FIRST_TOKEN + TO_CRASH && !crashed.contains(&run.server) {
                    crashed.push(run.server);
                    ends.push(now);
                    tally.bad_crashes += 1;
                }
            }
            if self.other_crashes > 0 && rng.random_range(0..self.other_crashes / 10) == 0 {
                crashed.push(rng.random_range(0..self.servers));
            }
            if self.rack > 0 && step % 1000 == 999 {
                crashed.extend(0..self.rack);
            }
            crashed.retain(|server| up[*server] <= now);
            crashed.sort_unstable();
            crashed.dedup();
            for &server in &crashed {
                let incarnation = Incarnation((server as u64) << 32 | life[server]);
                life[server] += 1;
                up[server] = now + RESTART;
                for run in runs.iter().filter(|run| run.server == server) {
                    let began = run.sent + TO_FIRST_TOKEN;
                    let has_begun = now >= began;
                    let writing = !run.bad && now >= began + 30;
                    quarantine.run_cut(
                        Run {
                            content: run.content.clone(),
                            server: incarnation,
                            sent: Millis(run.sent),
                            began: has_begun.then_some(Millis(began)),
                            writing: writing.then_some(Millis(began + 30)),
                        },
                        Millis(now),
                    );
                }
                quarantine.server_ended(incarnation, Millis(now + 5));
            }
            runs.retain(|run| {
                if crashed.contains(&run.server) {
                    return false;
                }
                let is_done = now >= run.sent + RUN_TIME;
                if is_done {
                    let began = Millis(run.sent + TO_FIRST_TOKEN);
                    quarantine.served(&run.content, began, Millis(now));
                }
                !is_done
            });
            quarantine.expire(Millis(now));
        }
        tally
    }
}

const SMALL: Fleet = Fleet {
    servers: 9,
    rate: 0.5,
    parts: [4, 40, 400],
    bad: &[],
    bad_ratio: 0.05,
    other_crashes: 0,
    rack: 0,
};

const LARGE: Fleet = Fleet {
    servers: 117,
    rate: 5.6,
    parts: [40, 400, 4000],
    ..SMALL
};

/// Guards against bad parts that aren't found among those that run beside them, and against sound requests that
/// are refused: of those with the first part of bad ones half must be served, and of all others all but one in a
/// hundred.
#[test_case(Fleet { bad: &[(0, 1)], ..SMALL }; "the first part, small")]
#[test_case(Fleet { bad: &[(1, 1)], ..SMALL }; "the middle part, small")]
#[test_case(Fleet { bad: &[(2, 1)], ..SMALL }; "the last shared part, small")]
#[test_case(Fleet { bad: &[(1, 1), (1, 5)], ..SMALL }; "two bad parts below one first part, small")]
#[test_case(Fleet { bad: &[(2, 1), (2, 2)], ..SMALL }; "two bad parts, small")]
#[test_case(Fleet { bad: &[(1, 1)], bad_ratio: 0.3, ..SMALL }; "a popular bad part, small")]
#[test_case(Fleet { bad: &[(1, 1)], other_crashes: 2000, ..SMALL }; "other crashes, small")]
#[test_case(Fleet { bad: &[(1, 1)], rack: 3, ..SMALL }; "a zone without power, small")]
#[test_case(Fleet { other_crashes: 700, rack: 3, ..SMALL }; "no bad part, small")]
#[test_case(Fleet { bad: &[(0, 1)], bad_ratio: 0.01, ..LARGE }; "the first part, large")]
#[test_case(Fleet { bad: &[(1, 1)], bad_ratio: 0.01, ..LARGE }; "the middle part, large")]
#[test_case(Fleet { bad: &[(2, 1)], bad_ratio: 0.01, other_crashes: 500, rack: 12, ..LARGE }; "with other crashes, large")]
#[test_case(Fleet { other_crashes: 300, rack: 30, ..LARGE }; "no bad part, large")]
fn bad_parts_are_found_and_sound_ones_served(fleet: Fleet) {
    for seed in 0..5 {
        let tally = fleet.play(seed);
        println!("seed {seed}: {tally:?}");
        assert!(tally.late <= 3, "seed {seed}: {tally:?}");
        assert!(tally.refused * 100 <= tally.sound, "seed {seed}: {tally:?}");
        assert!(
            tally.related_refused * 2 <= tally.related,
            "seed {seed}: {tally:?}"
        );
    }
}
