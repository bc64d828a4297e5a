//! Requests under which servers end: who is suspected, who is held back, and what instances make of each other's news.

use crocushold_base::Millis;
use crocushold_routing::Fingerprint;
use crocushold_routing::Incarnation;
use crocushold_routing::Quarantine;
use crocushold_routing::QuarantineSettings;
use crocushold_routing::ReportedEnd;
use crocushold_routing::Run;
use crocushold_routing::Suspicion;
use proptest::prelude::*;
use test_case::test_case;

const CONTENT: Fingerprint = Fingerprint(7);
const OTHER: Fingerprint = Fingerprint(8);
const START: u64 = 100_000;

fn run(content: Fingerprint, server: u64, sent: u64) -> Run {
    Run {
        content,
        server: Incarnation(server),
        sent: Millis(sent),
    }
}

/// A run of `content` that is cut `span` after it was sent, as its server ends.
fn end(quarantine: &mut Quarantine, content: Fingerprint, server: u64, sent: u64, span: u64) {
    let cut = Millis(sent + span);
    quarantine.run_cut(run(content, server, sent), cut);
    quarantine.server_ended(Incarnation(server), cut + Millis(5));
}

fn is_held(quarantine: &Quarantine, content: Fingerprint, at: u64) -> bool {
    quarantine.admit(content, Millis(at)).is_err()
}

fn span() -> u64 {
    QuarantineSettings::default().span.0
}

/// A caller's request ends the server that runs it, and the caller sends it again: the next server ends as well. The
/// third try isn't sent: the caller gets a final answer at once, with when it may come back.
#[test]
fn a_request_is_held_back_after_two_ends_in_turn() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, CONTENT, 1, START, 80);
    assert!(!is_held(&quarantine, CONTENT, START + 100));
    end(&mut quarantine, CONTENT, 2, START + 500, 90);
    let held = quarantine.admit(CONTENT, Millis(START + 600)).unwrap_err();
    assert_eq!(held.ends, 2);
    assert_eq!(held.retry_after, Millis(span() - 10));
    assert!(!is_held(&quarantine, OTHER, START + 600));
    let placed = quarantine.take_quarantined();
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].servers, [Incarnation(1), Incarnation(2)]);
}

/// Guards against never holding back a request that ends servers when many of its runs overlap.
#[test_case(15, 80; "many copies before the first end")]
#[test_case(60, 80; "the next copy before the end")]
#[test_case(250, 80; "the next copy after the end")]
#[test_case(40, 600; "many copies with long runs")]
#[test_case(900, 350; "infrequent copies")]
fn a_request_that_ends_servers_is_held_back_at_each_copy_interval(interval: u64, runs_for: u64) {
    let mut quarantine = Quarantine::default();
    let mut ends = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut sent_late = 0;
    for copy in 0..20_000 / interval {
        let now = START + copy * interval;
        let (ended, rest) = running
            .into_iter()
            .partition(|(sent, _)| sent + runs_for <= now);
        running = rest;
        let ended: Vec<(u64, u64)> = ended;
        for (sent, server) in ended {
            end(&mut quarantine, CONTENT, server, sent, runs_for);
            ends.push(sent + runs_for);
        }
        if is_held(&quarantine, CONTENT, now) {
            continue;
        }
        running.push((now, copy + 1));
        sent_late += usize::from(ends.get(2).is_some_and(|third| third + 3000 < now));
    }
    assert!(
        sent_late <= 3,
        "{sent_late} copies sent more than 3 s after the third end; servers ended at {ends:?}"
    );
}

/// An engine ends with all that ran on it. Of its callers one comes back with the request that ended it; the others'
/// requests run well elsewhere, and another end months of requests later finds nothing against them.
#[test]
fn requests_that_ran_beside_are_cleared_by_being_served() {
    let mut quarantine = Quarantine::default();
    for content in [CONTENT, OTHER] {
        quarantine.run_cut(run(content, 1, START), Millis(START + 80));
    }
    assert_eq!(
        quarantine.server_ended(Incarnation(1), Millis(START + 90)),
        2
    );
    quarantine.served(OTHER, Millis(START + 1000));
    for content in [CONTENT, OTHER] {
        end(&mut quarantine, content, 2, START + 2000, 80);
    }
    assert!(is_held(&quarantine, CONTENT, START + 3000));
    assert!(!is_held(&quarantine, OTHER, START + 3000));
}

/// A rack loses power, and an impatient caller has three copies of its request there. Nothing says that the request
/// is at fault: its next try is sent.
#[test]
fn runs_at_the_same_time_count_once() {
    let mut quarantine = Quarantine::default();
    for server in 1..=3 {
        quarantine.run_cut(run(CONTENT, server, START + server), Millis(START + 100));
    }
    for server in 1..=3 {
        quarantine.server_ended(Incarnation(server), Millis(START + 110));
    }
    assert!(!is_held(&quarantine, CONTENT, START + 200));
    end(&mut quarantine, CONTENT, 4, START + 300, 80);
    assert!(is_held(&quarantine, CONTENT, START + 400));
}

/// Copies of a deadly request follow each other so closely that one is always under way. Each second end still counts.
#[test]
fn copies_that_overlap_in_a_chain_are_held_back() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, CONTENT, 1, START, 600);
    end(&mut quarantine, CONTENT, 2, START + 300, 600);
    assert!(!is_held(&quarantine, CONTENT, START + 1000));
    end(&mut quarantine, CONTENT, 3, START + 650, 600);
    assert!(is_held(&quarantine, CONTENT, START + 1300));
}

/// Servers lose answers, or links reset connections: runs of the same request are cut at one server after the other.
/// All servers live on, so the request is sent as often as its caller wants.
#[test]
fn a_cut_without_the_end_of_a_server_says_nothing() {
    let mut quarantine = Quarantine::default();
    for server in 1..=5 {
        let sent = START + server * 100;
        quarantine.run_cut(run(CONTENT, server, sent), Millis(sent + 50));
    }
    assert!(!is_held(&quarantine, CONTENT, START + 1000));
    // An end long after is another matter.
    let late = START + QuarantineSettings::default().evidence.0 + 600;
    for server in 1..=5 {
        assert_eq!(
            quarantine.server_ended(Incarnation(server), Millis(late)),
            0
        );
    }
    assert!(!is_held(&quarantine, CONTENT, late));
}

/// A deadly request ends three servers. A caller's prompt was on two of them, one after the other, and was never served
/// before. It isn't to blame: the deadly one was there both times, and once more.
#[test]
fn ends_that_a_graver_request_explains_arent_held_against_others() {
    let mut quarantine = Quarantine::default();
    for server in 1..=3 {
        let sent = START + server * 1000;
        quarantine.run_cut(run(CONTENT, server, sent), Millis(sent + 80));
        if server < 3 {
            quarantine.run_cut(run(OTHER, server, sent), Millis(sent + 80));
        }
        quarantine.server_ended(Incarnation(server), Millis(sent + 90));
    }
    assert!(is_held(&quarantine, CONTENT, START + 4000));
    assert!(!is_held(&quarantine, OTHER, START + 4000));
    // Two ends without it are another matter.
    for server in 4..=5 {
        end(&mut quarantine, OTHER, server, START + server * 1000, 80);
    }
    assert!(is_held(&quarantine, OTHER, START + 6000));
}

/// A look-up that many callers share runs everywhere, and is served some hundred times a minute. Then a deadly request
/// ends one server after the other, with look-ups on each, and none is served in between. They stay admitted: what was
/// served lately ends no servers.
#[test]
fn what_many_callers_ask_isnt_held_back_with_a_deadly_request() {
    let mut quarantine = Quarantine::default();
    quarantine.served(OTHER, Millis(START));
    for server in 1..=3 {
        let sent = START + server * 1000;
        for content in [CONTENT, OTHER] {
            quarantine.run_cut(run(content, server, sent), Millis(sent + 80));
        }
        quarantine.server_ended(Incarnation(server), Millis(sent + 90));
    }
    assert!(is_held(&quarantine, CONTENT, START + 4000));
    assert!(!is_held(&quarantine, OTHER, START + 4000));
}

/// The same look-up was held against its callers by an instance that hadn't served it. One that has knows better, and
/// tells so.
#[test]
fn an_instance_that_served_a_request_clears_what_another_holds_against_it() {
    let mut first = Quarantine::default();
    end(&mut first, CONTENT, 1, START, 80);
    end(&mut first, CONTENT, 2, START + 500, 80);
    let mut second = Quarantine::default();
    second.served(CONTENT, Millis(START - 1000));
    let now = Millis(START + 700);
    for suspicion in first.unsent_suspicions(now) {
        second.apply_suspicion(&suspicion, now);
    }
    for suspicion in second.unsent_suspicions(now) {
        first.apply_suspicion(&suspicion, now);
    }
    assert!(!is_held(&first, CONTENT, now.0));
    assert!(!is_held(&second, CONTENT, now.0));
}

/// Something in front of a server accepts connections for it and closes them once the server has ended. Requests that
/// are sent there until that is known found no server: only those count that were on it when it ended.
#[test]
fn what_was_sent_to_a_server_that_had_ended_says_nothing() {
    let mut quarantine = Quarantine::default();
    for server in 1..=2 {
        let ended = START + server * 1000;
        quarantine.run_cut(run(CONTENT, server, ended - 80), Millis(ended));
        quarantine.run_cut(run(OTHER, server, ended + 100), Millis(ended + 101));
        quarantine.server_ended(Incarnation(server), Millis(ended + 500));
        quarantine.run_cut(run(OTHER, server, ended + 600), Millis(ended + 601));
    }
    assert!(is_held(&quarantine, CONTENT, START + 4000));
    assert!(!is_held(&quarantine, OTHER, START + 4000));
}

/// A busy server resets a connection and lives on, as a look shows. A second later a deadly request ends it. That is looked
/// into anew, and held against the deadly one, though another run had been cut there before it was sent.
#[test]
fn a_server_that_was_found_alive_is_looked_for_again() {
    let mut quarantine = Quarantine::default();
    for server in 1..=2 {
        let sent = START + server * 1000;
        assert!(quarantine.run_cut(run(OTHER, server, sent - 900), Millis(sent - 800)));
        quarantine.mark_inconclusive(Incarnation(server));
        assert!(quarantine.run_cut(run(CONTENT, server, sent), Millis(sent + 80)));
        quarantine.server_ended(Incarnation(server), Millis(sent + 85));
    }
    assert!(is_held(&quarantine, CONTENT, START + 4000));
}

/// A server ends, and one instance sees its streams cut one after the other. Only the first asks whether it is still
/// there; cuts that are noticed after the answer count all the same.
#[test]
fn a_server_is_looked_for_once() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.run_cut(run(CONTENT, 1, START), Millis(START + 80)));
    assert!(!quarantine.run_cut(run(OTHER, 1, START), Millis(START + 81)));
    quarantine.server_ended(Incarnation(1), Millis(START + 90));
    let third = Fingerprint(9);
    assert!(!quarantine.run_cut(run(third, 1, START), Millis(START + 95)));
    for (content, server) in [(CONTENT, 2), (OTHER, 3), (third, 4)] {
        end(&mut quarantine, content, server, START + 1000, 50);
        assert!(is_held(&quarantine, content, START + 1100));
    }
}

/// A server's entry lapses seconds after a stream of it was cut, and the caller has been served elsewhere meanwhile.
/// The end came before that and is held against nobody.
#[test]
fn evidence_that_comes_after_the_request_was_served_is_too_late() {
    let mut quarantine = Quarantine::default();
    quarantine.run_cut(run(CONTENT, 1, START), Millis(START + 80));
    quarantine.served(CONTENT, Millis(START + 500));
    quarantine.server_ended(Incarnation(1), Millis(START + 3500));
    end(&mut quarantine, CONTENT, 2, START + 4000, 80);
    assert!(!is_held(&quarantine, CONTENT, START + 5000));
}

/// The software was mended, or the ends were chance after all: after its span a request is tried again. If that ends
/// another server it is held back twice as long; if it is served, nothing is left against it.
#[test]
fn a_request_is_tried_again_after_its_span() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, CONTENT, 1, START, 80);
    end(&mut quarantine, CONTENT, 2, START + 500, 80);
    let again = START + 580 + span();
    assert!(is_held(&quarantine, CONTENT, again - 1));
    assert!(!is_held(&quarantine, CONTENT, again));
    quarantine.expire(Millis(again));
    end(&mut quarantine, CONTENT, 3, again + 10, 80);
    assert!(is_held(&quarantine, CONTENT, again + 90 + 2 * span() - 1));
    let later = again + 90 + 2 * span();
    assert!(!is_held(&quarantine, CONTENT, later));
    quarantine.served(CONTENT, Millis(later));
    end(&mut quarantine, CONTENT, 4, later + 100, 80);
    assert!(!is_held(&quarantine, CONTENT, later + 200));
}

/// One end is forgotten in time, as is a request that wasn't seen again.
#[test]
fn what_is_old_is_forgotten() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, CONTENT, 1, START, 80);
    quarantine.expire(Millis(START + 80 + 2 * span()));
    assert!(quarantine.all_suspicions(Millis(START)).is_empty());
}

/// Somebody floods the instances with requests, so that those that are held back are forgotten and can end servers
/// again. Only ends of servers make records, and what is held back is the last to go.
#[test]
fn a_flood_pushes_out_nothing_that_is_held_back() {
    let settings = QuarantineSettings::default();
    let capacity = settings.capacity as u128;
    let mut quarantine = Quarantine::new(settings);
    end(&mut quarantine, CONTENT, 1, START, 80);
    end(&mut quarantine, CONTENT, 2, START + 500, 80);
    for number in 0..2 * capacity {
        let content = Fingerprint(1000 + number);
        assert!(quarantine.admit(content, Millis(START + 600)).is_ok());
        // Each of them was on a server that ended after, which is the worst that a flood could do.
        end(
            &mut quarantine,
            content,
            100 + number as u64,
            START + 700,
            50,
        );
    }
    assert!(is_held(&quarantine, CONTENT, START + 1000));
}

/// Each instance saw one end. Told of each other's, both hold the request back, also an instance that has just
/// started: its clock counts from zero, and the ends lie before that.
#[test]
fn ends_at_several_instances_add_up() {
    let mut first = Quarantine::default();
    let mut second = Quarantine::default();
    end(&mut first, CONTENT, 1, START, 80);
    end(&mut second, CONTENT, 2, START + 500, 80);
    let now = START + 700;
    for suspicion in first.unsent_suspicions(Millis(now)) {
        second.apply_suspicion(&suspicion, Millis(now));
    }
    assert!(is_held(&second, CONTENT, now));
    let mut third = Quarantine::default();
    for suspicion in second.all_suspicions(Millis(now)) {
        third.apply_suspicion(&suspicion, Millis(40));
    }
    let held = third.admit(CONTENT, Millis(40)).unwrap_err();
    assert_eq!(held.retry_after, Millis(span() - (now - (START + 580))));
    assert_eq!(third.quarantined_count(Millis(40)), 1);
}

/// An instance hears that a request was served, and then, from one that didn't know yet, of the ends before. They
/// stay cleared.
#[test]
fn old_news_doesnt_undo_that_a_request_was_served() {
    let mut first = Quarantine::default();
    end(&mut first, CONTENT, 1, START, 80);
    end(&mut first, CONTENT, 2, START + 500, 80);
    let old = first.all_suspicions(Millis(START + 600));
    assert!(first.served(CONTENT, Millis(START + 700)));
    let mut second = Quarantine::default();
    for suspicion in first
        .unsent_suspicions(Millis(START + 800))
        .iter()
        .chain(&old)
    {
        second.apply_suspicion(suspicion, Millis(START + 900));
    }
    assert!(!is_held(&second, CONTENT, START + 1000));
}

/// News of a first end went by slow ways and seem younger than they are, as if its run had overlapped the second one.
/// Heard again by a faster way, it counts from its true time.
#[test]
fn an_end_counts_from_the_earliest_time_that_is_told() {
    let mut quarantine = Quarantine::default();
    let told = |age| Suspicion {
        content: CONTENT,
        ends: vec![ReportedEnd {
            server: Incarnation(1),
            sent_ago: age + 80,
            ended_ago: age,
            cleared: false,
        }],
    };
    end(&mut quarantine, CONTENT, 2, START, 80);
    quarantine.apply_suspicion(&told(200), Millis(START + 300));
    assert!(!is_held(&quarantine, CONTENT, START + 300));
    quarantine.apply_suspicion(&told(310), Millis(START + 300));
    assert!(is_held(&quarantine, CONTENT, START + 300));
}

/// What happened to a request, as one of several instances saw it.
#[derive(Clone, Copy, Debug)]
enum Seen {
    End { server: u64, sent: u64 },
    Served,
}

/// Generates ends of servers, numbered from 1 to below `server_bound`, and served requests.
fn seen(server_bound: u64) -> impl Strategy<Value = Seen> {
    prop_oneof![
        3 => (1..server_bound, 0..20u64).prop_map(|(server, slot)| Seen::End {
            server,
            sent: START + slot * 200,
        }),
        1 => Just(Seen::Served),
    ]
}

/// Checks that two instances that heard the same news in different orders, and the source of the news, return the same
/// result of `admit` for `CONTENT`. Each run takes `runs_for` milliseconds; `order` selects the news that the second
/// instance hears before it hears all of them in reverse.
fn check_news_merge_in_any_order(
    all: Vec<Seen>,
    runs_for: u64,
    order: &[prop::sample::Index],
) -> Result<(), TestCaseError> {
    let now = Millis(START + 10_000);
    let mut news: Vec<Suspicion> = Vec::new();
    let mut source = Quarantine::default();
    for seen in all {
        match seen {
            Seen::End { server, sent } => end(&mut source, CONTENT, server, sent, runs_for),
            Seen::Served => {
                source.served(CONTENT, now);
            }
        }
        news.extend(source.unsent_suspicions(now));
    }
    let mut in_turn = Quarantine::default();
    let mut shuffled = Quarantine::default();
    for suspicion in &news {
        in_turn.apply_suspicion(suspicion, now);
    }
    for index in order {
        if !news.is_empty() {
            shuffled.apply_suspicion(index.get(&news), now);
        }
    }
    for suspicion in news.iter().rev() {
        shuffled.apply_suspicion(suspicion, now);
    }
    prop_assert_eq!(in_turn.admit(CONTENT, now), shuffled.admit(CONTENT, now));
    prop_assert_eq!(in_turn.admit(CONTENT, now), source.admit(CONTENT, now));
    Ok(())
}

proptest! {
    /// Datagrams are lost, doubled and overtake each other. Two instances that heard the same news, in whatever order
    /// and however often, agree on what is held back.
    #[test]
    fn news_merge_in_any_order(
        all in prop::collection::vec(seen(5), 1..8),
        order in prop::collection::vec(any::<prop::sample::Index>(), 16),
    ) {
        check_news_merge_in_any_order(all, 80, &order)?;
    }

    /// Guards against instances that disagree on whether a request is held back when more servers ended under it than
    /// are remembered.
    #[test]
    fn news_of_many_ends_merge_in_any_order(
        all in prop::collection::vec(seen(16), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 32),
    ) {
        check_news_merge_in_any_order(all, 700, &order)?;
    }
}
