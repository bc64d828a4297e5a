//! The line at the placer: requests that wait for an engine, with lost and repeated datagrams, and
//! with instances, callers and placers that are gone.

#[path = "common/engines.rs"]
mod engines;

use std::net::SocketAddr;

use crocushold_base::Millis;
use crocushold_gateway::EngineSpec;
use crocushold_gateway::Fleet;
use crocushold_gateway::FleetSettings;
use crocushold_gateway::LineTerms;
use crocushold_gateway::LineWait;
use crocushold_gateway::LineWaitStep;
use crocushold_gateway::Need;
use crocushold_gateway::Packet;
use crocushold_gateway::PlacementReply;
use crocushold_gateway::PlacementRequest;
use crocushold_gateway::PlacementVerdict;
use crocushold_gateway::Placer;
use crocushold_gateway::RequestEnd;
use crocushold_gateway::RequestUpdate;
use crocushold_gateway::UpdateKind;
use crocushold_routing::EngineCapacity;
use crocushold_routing::Outcome;
use test_case::test_case;

use engines::engine;

const ENGINES: u8 = 3;
const START: Millis = Millis(10_000);
/// A prompt that an engine reads for some 1,080 ms.
const LONG_PROMPT: u32 = 27_000;
const LIMIT: Millis = Millis(1200);

fn peer_at(number: u8) -> SocketAddr {
    ([10, 0, 1, number], 7340).into()
}

/// A placer's fleet of engines, with or without a published capacity.
fn fleet(capacity: Option<EngineCapacity>) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings::default());
    fleet.set_engines(&[EngineSpec {
        service: "svc".to_owned(),
        transfer_rate: None,
        capacity,
        event_tokens: None,
    }]);
    for number in 0..ENGINES {
        fleet.list(&engine(number, 64), START);
    }
    fleet.set_placer(true);
    fleet
}

fn capacity() -> Option<EngineCapacity> {
    Some(EngineCapacity {
        slots: 64,
        tokens: 270_000,
    })
}

/// A long prompt, which an engine reads for some 360 ms.
fn request(number: u32, rank: u8, account: u32) -> PlacementRequest {
    PlacementRequest {
        number,
        zone: "here".to_owned(),
        remaining: Millis(6000),
        tried: Vec::new(),
        need: Need {
            service: "svc".to_owned(),
            model: Some("m".to_owned()),
            priority: rank,
            prompt_tokens: 9000,
            unique_tokens: 9000,
            max_output_tokens: 50,
            expected_output_tokens: 50,
            ..Need::default()
        },
        resting: Vec::new(),
        line: Some(LineTerms {
            account,
            limit: LIMIT,
            request: number + 1,
        }),
    }
}

/// A placer with a prompt of the most urgent rank at each engine, numbered from 0 on, all of one
/// instance and account.
struct Busy {
    fleet: Fleet,
    placer: Placer,
    /// The engines of the prompts, by hashes of their names.
    engines: [u32; ENGINES as usize],
}

impl Busy {
    fn new() -> Busy {
        let mut busy = Busy {
            fleet: fleet(capacity()),
            placer: Placer::with_line(),
            engines: [0; ENGINES as usize],
        };
        for number in 0..u32::from(ENGINES) {
            let mut long = request(number, 0, 0);
            long.need.prompt_tokens = LONG_PROMPT;
            long.need.unique_tokens = LONG_PROMPT;
            let placed = busy.ask(0, &long, START);
            let PlacementVerdict::Placed(placement) = placed else {
                panic!("not placed: {placed:?}");
            };
            busy.engines[number as usize] = placement.engine;
        }
        busy
    }

    fn ask(&mut self, from: u8, request: &PlacementRequest, now: Millis) -> PlacementVerdict {
        let reply = self
            .placer
            .place(&mut self.fleet, peer_at(from), request, now);
        assert_eq!(reply.number, request.number);
        reply.verdict
    }

    /// Asks for a request that has to wait.
    fn wait(&mut self, from: u8, request: &PlacementRequest, now: Millis) {
        let verdict = self.ask(from, request, now);
        assert_eq!(verdict, PlacementVerdict::Waiting);
    }

    fn update(&mut self, from: u8, number: u32, kind: UpdateKind, now: Millis) {
        let update = RequestUpdate { number, kind };
        self.placer
            .apply_update(&mut self.fleet, peer_at(from), update, now);
    }

    /// The answer of one of the first prompts begins, so that its engine has room for another one.
    fn free(&mut self, number: u32, now: Millis) {
        self.update(0, number, UpdateKind::Started(None), now);
    }

    /// Serves the line, and returns who got an engine.
    fn serve(&mut self, now: Millis) -> Vec<(SocketAddr, u32)> {
        self.placer.serve_line(&mut self.fleet, now);
        let replies = self.placer.take_replies().into_iter();
        let placed = replies.filter(|(_, reply)| is_placed(reply));
        placed.map(|(to, reply)| (to, reply.number)).collect()
    }
}

fn is_placed(reply: &PlacementReply) -> bool {
    matches!(reply.verdict, PlacementVerdict::Placed(_))
}

fn ended(result: Outcome) -> UpdateKind {
    UpdateKind::Ended(RequestEnd {
        result,
        tokens: 10,
        pause: None,
    })
}

/// A prompt waits while each engine reads one, and goes to the first that is done.
#[test]
fn a_request_waits_until_an_engine_can_begin_it_soon() {
    let mut busy = Busy::new();
    busy.wait(1, &request(7, 1, 1), START);
    assert_eq!(busy.serve(START + Millis(20)), []);
    busy.free(1, START + Millis(40));
    assert_eq!(busy.serve(START + Millis(40)), [(peer_at(1), 7)]);
    assert_eq!(busy.placer.waiting(), 0);
}

/// An engine begins its prompt soon enough for the next one to be sent, so that it never falls idle.
#[test]
fn a_request_is_sent_shortly_before_its_engine_is_free() {
    let mut busy = Busy::new();
    busy.wait(1, &request(7, 1, 1), START);
    let mut placed_at = None;
    for step in 1..120 {
        let now = START + Millis(10 * step);
        busy.ask(1, &request(7, 1, 1), now);
        if busy.placer.waiting() == 0 {
            placed_at = Some(10 * step);
            break;
        }
    }
    // An engine reads the prompt before it in 1,080 ms.
    let placed_at = placed_at.expect("it is placed");
    assert!((900..=1000).contains(&placed_at), "{placed_at}");
}

/// Guards the earlier path: without the setting at either side, or without a published capacity,
/// each request is placed at once.
#[test_case(true, true, false; "no published capacity")]
#[test_case(true, false, true; "no setting at the placer")]
#[test_case(false, true, true; "no setting at the instance")]
fn without_a_line_requests_are_placed_at_once(asker: bool, placer: bool, published: bool) {
    let capacity = capacity().filter(|_| published);
    let mut fleet = fleet(capacity);
    let mut earlier = self::fleet(capacity);
    let mut placer = if placer {
        Placer::with_line()
    } else {
        Placer::default()
    };
    let mut without = Placer::default();
    for number in 0..20 {
        let request = PlacementRequest {
            line: request(0, 1, 0).line.filter(|_| asker),
            ..request(number, 1, 0)
        };
        let now = START + Millis(u64::from(number));
        let reply = placer.place(&mut fleet, peer_at(1), &request, now);
        assert!(is_placed(&reply), "{reply:?}");
        let bare = PlacementRequest {
            line: None,
            ..request
        };
        assert_eq!(reply, without.place(&mut earlier, peer_at(1), &bare, now));
    }
    assert_eq!(placer.waiting(), 0);
    assert_eq!(placer.take_replies(), []);
}

/// Over all instances the most urgent request goes first, and among equals one of the account that
/// was served least.
#[test]
fn the_order_covers_all_instances() {
    let mut busy = Busy::new();
    for number in [10, 11] {
        busy.wait(1, &request(number, 1, 1), START);
    }
    busy.wait(2, &request(10, 1, 2), START + Millis(1));
    busy.wait(3, &request(10, 0, 1), START + Millis(2));
    let mut order = Vec::new();
    for number in 0..u32::from(ENGINES) {
        let now = START + Millis(10 + u64::from(number));
        busy.free(number, now);
        order.extend(busy.serve(now));
    }
    assert_eq!(
        order,
        [(peer_at(3), 10), (peer_at(1), 10), (peer_at(2), 10)]
    );
}

/// Guards against requests whose engines are full and hold up others that may use an idle one.
#[test]
fn requests_without_room_do_not_hold_up_others() {
    let mut busy = Busy::new();
    let [_, idle, other] = busy.engines;
    for number in 0..100 {
        let mut bound = request(100 + number, 0, 1);
        bound.tried = vec![idle, other];
        busy.wait(1, &bound, START);
    }
    busy.wait(2, &request(7, 1, 1), START);
    busy.free(1, START + Millis(5));
    let mut placed = Vec::new();
    for step in 1..=10 {
        placed.extend(busy.serve(START + Millis(10 * step)));
    }
    assert_eq!(placed, [(peer_at(2), 7)]);
}

/// Guards against a request that isn't offered an idle engine although the one before it has left, as that
/// found no room a moment ago.
#[test]
fn a_request_is_offered_at_once_when_the_first_has_left() {
    let mut busy = Busy::new();
    let [_, idle, other] = busy.engines;
    let mut bound = request(6, 0, 1);
    bound.tried = vec![idle, other];
    busy.wait(1, &bound, START);
    busy.wait(2, &request(7, 1, 1), START);
    let now = START + Millis(5);
    busy.free(1, now);
    busy.wait(2, &request(7, 1, 1), now);
    busy.update(1, 6, ended(Outcome::Cancelled), now);
    let verdict = busy.ask(2, &request(7, 1, 1), now);
    assert!(
        matches!(verdict, PlacementVerdict::Placed(_)),
        "{verdict:?}"
    );
}

/// Datagrams are lost, repeated and late. A request takes one place in line and one slot, and
/// whoever asks again gets the decision that was lost.
#[test]
fn repeated_questions_take_one_place_and_get_the_same_decision() {
    let mut busy = Busy::new();
    let waiting = request(7, 1, 1);
    for at in [0, 0, 50] {
        busy.wait(1, &waiting, START + Millis(at));
    }
    assert_eq!(busy.placer.waiting(), 1);
    busy.free(0, START + Millis(60));
    let first = busy.placer.take_replies();
    assert_eq!(first.len(), 1);
    // The push is lost.
    let again = busy.ask(1, &waiting, START + Millis(100));
    assert_eq!(again, first[0].1.verdict);
    assert_eq!(busy.placer.len(), usize::from(ENGINES) + 1);
}

/// Guards against a request that is refused, asks again as the refusal was lost or on its way, and
/// stands in line a second time.
#[test]
fn a_refusal_that_was_lost_is_repeated() {
    let mut busy = Busy::new();
    let mut waiting = request(7, 1, 1);
    waiting.line = Some(LineTerms {
        limit: Millis(LIMIT.0 / 2),
        ..waiting.line.expect("it waits in line")
    });
    for step in 0..10 {
        busy.wait(1, &waiting, START + Millis(45 * step));
    }
    busy.placer
        .serve_line(&mut busy.fleet, START + Millis(LIMIT.0 / 2));
    let first = busy.placer.take_replies();
    assert!(matches!(
        first[..],
        [(
            _,
            PlacementReply {
                number: 7,
                verdict: PlacementVerdict::Refused { .. }
            }
        )]
    ));
    for at in [620, 670] {
        let again = busy.ask(1, &waiting, START + Millis(at));
        assert_eq!(again, first[0].1.verdict);
    }
    assert_eq!(busy.placer.waiting(), 0);
    assert_eq!(busy.placer.take_line_report(START).refusals.total, 1);
}

/// Guards against callers that come back when they were told to, at another instance, and find later
/// ones served first, and against those that come back at once and do better.
#[test]
fn a_caller_returns_to_its_place_at_any_instance() {
    let mut busy = Busy::new();
    let with_limit = |number, limit| PlacementRequest {
        line: request(6, 1, 1)
            .line
            .map(|terms| LineTerms { limit, ..terms }),
        ..request(number, 1, 1)
    };
    let refused = with_limit(6, Millis(600));
    let later = request(7, 1, 1);
    let last = request(8, 1, 1);
    let again = with_limit(60, LIMIT);
    let mut returned_at = None;
    for step in 0..45 {
        let now = START + Millis(20 * step);
        if returned_at.is_none()
            && let PlacementVerdict::Refused { retry_delay, .. } = busy.ask(1, &refused, now)
        {
            returned_at = Some(now + retry_delay);
            let early = now + Millis(50);
            let verdict = busy.ask(3, &with_limit(61, LIMIT), early);
            let PlacementVerdict::Refused {
                retry_delay: left, ..
            } = verdict
            else {
                panic!("{verdict:?}");
            };
            assert_eq!(early + left, now + retry_delay);
        }
        busy.wait(1, &later, now);
        if returned_at.is_some_and(|at| now >= at) {
            busy.wait(1, &last, now);
            busy.wait(2, &again, now);
        }
    }
    let now = START + Millis(890);
    let mut order = Vec::new();
    for number in 0..u32::from(ENGINES) {
        busy.free(number, now);
        order.extend(busy.serve(now));
    }
    assert_eq!(order, [(peer_at(2), 60), (peer_at(1), 7), (peer_at(1), 8)]);
    let returns = busy.placer.take_line_report(now).returns;
    assert_eq!([returns.in_time, returns.early], [1, 1]);
}

/// Guards against places that are kept for callers that have left.
#[test]
fn a_caller_that_leaves_gives_up_its_place() {
    let mut busy = Busy::new();
    busy.wait(1, &request(7, 0, 1), START);
    busy.wait(2, &request(8, 1, 1), START);
    // The update is sent three times.
    for _ in 0..3 {
        busy.update(1, 7, ended(Outcome::Cancelled), START + Millis(10));
    }
    assert_eq!(busy.placer.waiting(), 1);
    busy.free(0, START + Millis(20));
    assert_eq!(busy.serve(START + Millis(20)), [(peer_at(2), 8)]);
}

/// Guards against engines that are kept for an instance that was cut off or has died: its requests
/// leave the line as nobody asks for them, and those behind them go on.
#[test]
fn requests_of_an_instance_that_is_cut_off_leave_the_line() {
    let mut busy = Busy::new();
    for number in 0..20 {
        busy.wait(1, &request(number, 0, 1), START);
    }
    let mine = request(99, 1, 2);
    for step in 0..8 {
        busy.wait(2, &mine, START + Millis(40 * step));
    }
    let now = START + Millis(300);
    busy.free(0, now);
    assert_eq!(busy.serve(now), [(peer_at(2), 99)]);
}

/// Guards against newcomers that are refused for requests of an instance that is gone: those count as
/// waiting only until they weren't asked for, wherever they stand.
#[test]
fn all_requests_of_a_lost_instance_leave_the_line() {
    let mut busy = Busy::new();
    // As many are looked at in one interval, and more, before those of the lost instance.
    for step in 0..8 {
        let now = START + Millis(40 * step);
        for number in 0..300 {
            busy.wait(2, &request(number, 1, 1), now);
        }
        if step == 0 {
            for number in 0..300 {
                busy.wait(1, &request(number, 1, 1), now);
            }
        }
        busy.serve(now);
    }
    busy.serve(START + Millis(310));
    assert_eq!(busy.placer.waiting(), 300);
}

/// A placer is paused for two seconds with requests in line. Their instances have chosen by
/// themselves since, so it must place none of them when it goes on.
#[test]
fn a_placer_that_was_paused_places_nothing_that_was_sent_elsewhere() {
    let mut busy = Busy::new();
    for number in 0..50 {
        busy.wait(1, &request(number, 1, number), START);
    }
    let now = START + Millis(2000);
    for number in 0..u32::from(ENGINES) {
        busy.free(number, now);
    }
    assert_eq!(busy.serve(now), []);
    busy.placer.serve_line(&mut busy.fleet, now + Millis(10));
    assert_eq!(busy.placer.waiting(), 0);
}

/// Two instances take themselves for the placer. A request that waits at one and is asked for at the
/// other leaves the first line, and its end is settled where it was placed.
#[test]
fn a_request_at_two_placers_runs_once() {
    let mut old = Busy::new();
    let mut new = Busy::new();
    let mine = request(7, 1, 1);
    old.wait(1, &mine, START);
    // The members now agree on another one. The instance releases its place, which may be lost.
    new.wait(1, &mine, START + Millis(100));
    let now = START + Millis(400);
    new.ask(1, &mine, now);
    new.free(0, now);
    old.free(0, now);
    assert_eq!(old.serve(now), []);
    assert_eq!(old.placer.waiting(), 0);
    assert_eq!(
        new.placer.len() + old.placer.len(),
        2 * usize::from(ENGINES) + 1
    );
}

/// Each request in line has its decision by its limit, however long the engines stand still.
#[test]
fn every_request_is_decided_by_its_limit() {
    let mut busy = Busy::new();
    let requests: Vec<PlacementRequest> = (0..200)
        .map(|number| request(100 + number, (number % 3) as u8, number % 24))
        .collect();
    let mut open: Vec<u32> = Vec::new();
    let mut refused = 0;
    for request in &requests {
        match busy.ask(1, request, START) {
            PlacementVerdict::Waiting => open.push(request.number),
            PlacementVerdict::Refused { .. } => refused += 1,
            PlacementVerdict::Placed(_) => {}
            other => panic!("{other:?}"),
        }
    }
    let mut now = START;
    while now < START + LIMIT {
        now += Millis(50);
        busy.placer.serve_line(&mut busy.fleet, now);
        for (_, reply) in busy.placer.take_replies() {
            open.retain(|number| *number != reply.number);
            if let PlacementVerdict::Refused { retry_delay, .. } = reply.verdict {
                assert!(retry_delay > Millis::ZERO);
                assert!(retry_delay <= Millis(2000), "{retry_delay}");
                refused += 1;
            }
        }
        for number in open.clone() {
            let request = &requests[number as usize - 100];
            let terms = request.line.expect("it waits in line");
            let again = PlacementRequest {
                line: Some(LineTerms {
                    limit: terms.limit.since(now.since(START)),
                    ..terms
                }),
                ..request.clone()
            };
            if busy.ask(1, &again, now) != PlacementVerdict::Waiting {
                open.retain(|other| *other != number);
            }
        }
    }
    assert!(open.is_empty(), "{open:?}");
    assert_eq!(busy.placer.waiting(), 0);
    assert!(refused > 0);
}

/// The most urgent request isn't refused while lesser ones run: at the end of its wait it is sent to
/// an engine with a queue.
#[test]
fn an_urgent_request_is_sent_at_the_end_of_its_wait() {
    let mut busy = Busy::new();
    let urgent = request(7, 0, 1);
    for step in 0..21 {
        let now = START + Millis(50 * step);
        if step == 0 {
            // Engines that stand still: their prompts stay the same, and lesser ones are served.
            assert_eq!(busy.ask(1, &urgent, now), PlacementVerdict::Waiting);
        } else {
            busy.ask(1, &urgent, now);
        }
        let lesser = request(1000 + step as u32, 1, 2);
        busy.ask(2, &lesser, now);
        let refused = busy.placer.take_replies().into_iter();
        let mut refused = refused.filter(|(to, reply)| *to == peer_at(1) && !is_placed(reply));
        assert_eq!(refused.next(), None);
    }
    assert!(matches!(
        busy.ask(1, &urgent, START + Millis(1100)),
        PlacementVerdict::Placed(_)
    ));
}

/// A placer that dies with a full line: its instances notice within 200 ms and choose by themselves.
#[test]
fn an_instance_leaves_the_line_of_a_placer_that_is_gone() {
    let mut wait = LineWait::new(LIMIT, START);
    let mut now = START + Millis(5);
    wait.record_reply();
    let mut asked = 0;
    loop {
        match wait.next(now) {
            LineWaitStep::Listen(until) => {
                assert!(until > now);
                now = until;
            }
            LineWaitStep::Ask(left) => {
                assert_eq!(left, LIMIT.since(now.since(START)));
                asked += 1;
            }
            LineWaitStep::GiveUp => break,
        }
    }
    assert_eq!(asked, 3);
    assert!(now.since(START) <= Millis(200), "{now}");
}

/// A lost reply or two don't cost a request its place, and nothing waits for ever: a placer that
/// goes on to say "waiting" beyond the limit is left.
#[test]
fn an_instance_waits_beyond_lost_replies_but_not_for_ever() {
    let mut wait = LineWait::new(LIMIT, START);
    let mut now = START;
    let mut asked = 0;
    loop {
        match wait.next(now) {
            LineWaitStep::Listen(until) => now = until,
            LineWaitStep::Ask(_) => {
                asked += 1;
                if asked % 3 == 0 {
                    wait.record_reply();
                }
            }
            LineWaitStep::GiveUp => break,
        }
    }
    let waited = wait.waited(now);
    assert!((LIMIT..LIMIT + Millis(300)).contains(&waited), "{waited}");
}

/// An instance that was suspended while its request waited doesn't go on waiting.
#[test]
fn an_instance_that_was_suspended_gives_up() {
    let mut wait = LineWait::new(LIMIT, START);
    assert!(matches!(wait.next(START), LineWaitStep::Listen(_)));
    let later = START + Millis(60_000);
    assert_eq!(wait.next(later), LineWaitStep::GiveUp);
    // A clock that steps back only prolongs the wait.
    let mut wait = LineWait::new(LIMIT, START);
    assert!(matches!(wait.next(Millis::ZERO), LineWaitStep::Listen(_)));
}

/// The placer's own requests stand in the same line, and their events reach its fleet once.
#[test]
fn own_requests_wait_like_all_others() {
    let mut busy = Busy::new();
    busy.wait(9, &request(7, 1, 1), START);
    busy.free(0, START + Millis(40));
    assert_eq!(busy.serve(START + Millis(40)), [(peer_at(9), 7)]);
    let choice = busy.placer.take_own(peer_at(9), 7);
    let choice = choice.expect("it was placed");
    assert!(busy.placer.take_own(peer_at(9), 8).is_none());
    let now = START + Millis(300);
    busy.fleet.first_byte(&choice, now);
    busy.update(9, 7, UpdateKind::Started(None), now);
    busy.fleet.done(&choice, Outcome::Complete, 10, now);
    let before = busy.placer.len();
    busy.update(9, 7, ended(Outcome::Complete), now);
    assert_eq!(busy.placer.len(), before - 1);
}

/// During a release instances of an earlier version send questions without terms. They can't be read,
/// so that their senders go on alone; those without a line stay short.
#[test]
fn questions_of_an_earlier_version_are_ignored() {
    let without = PlacementRequest {
        line: None,
        ..request(7, 1, 1)
    };
    let bytes = Packet::Request(without).encode();
    assert!(Packet::decode(&bytes).is_some());
    let earlier = &bytes[..bytes.len() - 1];
    assert_eq!(Packet::decode(earlier), None);
}

/// A request in line costs its instance a few kilobytes a second at most, for tens of them.
#[test]
fn messages_of_the_line_are_short() {
    let ask = Packet::Request(request(1 << 30, 3, u32::MAX))
        .encode()
        .len();
    let reply = PlacementReply {
        number: 1 << 30,
        verdict: PlacementVerdict::Waiting,
    };
    let reply = Packet::Reply(reply).encode().len();
    assert!(ask <= 64, "{ask}");
    assert!(reply <= 8, "{reply}");
}

/// Where prompts that wait inside engines delay no live stream, requests wait there as before: a
/// line would keep engines idle between two prompts.
#[test_case(None, Some(300), false; "nothing published about streams")]
#[test_case(Some(7), None, false; "no live streams")]
#[test_case(Some(1), Some(300), false; "short events")]
#[test_case(Some(7), Some(300), true; "events of several tokens")]
fn a_line_is_used_where_queues_in_engines_delay_live_streams(
    event_tokens: Option<u32>,
    max_pause: Option<u64>,
    expected: bool,
) {
    let mut fleet = fleet(capacity());
    fleet.set_engines(&[EngineSpec {
        service: "svc".to_owned(),
        transfer_rate: None,
        capacity: capacity(),
        event_tokens,
    }]);
    let pauses = max_pause.map(|pause| ("svc".to_owned(), Millis(pause)));
    fleet.set_live_pauses(pauses.into_iter().collect());
    let live = Need {
        max_pause: max_pause.map(Millis),
        ..request(1, 0, 0).need
    };
    let choice = fleet.pick(&live, &[], START);
    assert!(choice.is_ok());
    fleet.tick(START + Millis(500));
    let long = request(2, 1, 0).need;
    assert_eq!(fleet.uses_line(&long, START + Millis(500)), expected);
}
