//! Floors through an hour of rush, by the tokens that callers get.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crocushold_admission::Action;
use crocushold_admission::ClassSpec;
use crocushold_admission::Completion;
use crocushold_admission::Sent;
use crocushold_admission::Settings;
use crocushold_admission::Ticket;
use crocushold_base::Millis;
use test_case::test_case;

use crate::support::Bed;

const SLOTS: u32 = 24;

/// Milliseconds for each token.
const STEP: f64 = 23.0;

const MINUTE: u64 = 60_000;

const MINUTES: usize = 60;

/// The lowest class.
const LOWEST: usize = 2;

/// Demand as a multiple of what the slots can do, and each class's part of it.
const LEVEL: f64 = 2.5;
const PARTS: [f64; 3] = [0.2, 0.3, 0.5];

/// Shortest and longest answer of each class.
const LENGTHS: [(u32, u32); 3] = [(16, 64), (24, 120), (60, 360)];

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize),
}

/// An answer that was started.
struct Run {
    class: usize,
    tokens: u32,
    ticket: Option<Ticket<Sent>>,
}

/// A service whose slots all work at one speed, and its callers.
struct Rush {
    bed: Bed,
    draws: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    made: u64,
    runs: Vec<Run>,
    free: u32,
    /// Tokens of whole answers by minute of their end and class.
    tokens: [[u64; 3]; MINUTES],
    /// Live requests that arrived, and that were started.
    live: [u32; 2],
}

fn spec(tier: u8, seconds: u64, floor: f64) -> ClassSpec {
    ClassSpec {
        tier,
        target: Millis::from_secs(seconds),
        patience: Millis::from_secs(seconds),
        floor,
        ..ClassSpec::default()
    }
}

impl Rush {
    fn new(floor: f64, seed: u64) -> Rush {
        let classes = [spec(0, 2, 0.3), spec(1, 3, 0.1), spec(3, 24 * 3600, floor)];
        let mut rush = Rush {
            bed: Bed::new(Settings::default(), &classes, 3),
            draws: seed,
            events: BinaryHeap::new(),
            made: 0,
            runs: Vec::new(),
            free: SLOTS,
            tokens: [[0; 3]; MINUTES],
            live: [0; 2],
        };
        (0..3).for_each(|class| rush.push(1, Event::Arrive(class)));
        rush
    }

    fn push(&mut self, at: u64, event: Event) {
        self.made += 1;
        self.events.push(Reverse((at, self.made, event)));
    }

    /// A seeded draw from 0 to 1 (splitmix64).
    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.draws ^ (self.draws >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= MINUTE * MINUTES as u64 {
                return;
            }
            match event {
                Event::Arrive(class) => self.arrive(class, at),
                Event::End(run) => self.end(run, at),
            }
            self.start(at);
        }
    }

    fn arrive(&mut self, class: usize, at: u64) {
        self.live[0] += u32::from(class == 0);
        let mut arrival = self.bed.arrival(class, class);
        arrival.max_tokens = 4096;
        let _ = self.bed.scheduler.submit(&arrival, Millis(at));
        let (low, high) = LENGTHS[class];
        let mean = f64::from(low + high) / 2.0;
        let rate = f64::from(SLOTS) / STEP * PARTS[class] * LEVEL / mean;
        let gap = -(1.0 - self.draw()).ln() / rate;
        self.push(at + gap.round() as u64, Event::Arrive(class));
    }

    fn end(&mut self, run: usize, at: u64) {
        self.free += 1;
        let Run {
            class,
            tokens,
            ticket,
        } = &mut self.runs[run];
        self.tokens[(at / MINUTE) as usize][*class] += u64::from(*tokens);
        let completion = Completion {
            output: *tokens,
            whole: true,
        };
        let ticket = ticket.take().expect("each run ends once");
        self.bed.scheduler.finish(ticket, completion, Millis(at));
    }

    fn start(&mut self, at: u64) {
        while let Some(action) = self.bed.scheduler.next(Millis(at), self.free) {
            let Action::Dispatch(ticket) = action else {
                continue;
            };
            let key = ticket.class();
            let mut classes = self.bed.classes.iter();
            let class = classes
                .position(|c| c.key == key)
                .expect("a class of the bed");
            self.live[1] += u32::from(class == 0);
            self.free -= 1;
            let (low, high) = LENGTHS[class];
            let tokens = low + (self.draw() * f64::from(high - low + 1)) as u32;
            self.runs.push(Run {
                class,
                tokens,
                ticket: Some(ticket.sent()),
            });
            let end = at + (f64::from(tokens) * STEP) as u64;
            self.push(end, Event::End(self.runs.len() - 1));
        }
    }

    /// The lowest class's share of the tokens of these minutes.
    fn share(&self, minutes: &[[u64; 3]]) -> f64 {
        let of = |class: usize| minutes.iter().map(|minute| minute[class]).sum::<u64>();
        of(LOWEST) as f64 / (of(0) + of(1) + of(LOWEST)) as f64
    }
}

/// For an hour all classes ask for 2.5 times what the slots do, answers vary sixfold in length, and
/// nobody knows their length beforehand. Of the tokens that callers get, the lowest class has its
/// written share over the hour to a tenth of a point, and in each minute no more than one and a half
/// points less: answers in progress and the one that its floor saves up for. Every live request but
/// one in a hundred is started in time beside it.
#[test_case(0.05)]
#[test_case(0.1)]
fn a_floor_holds_through_an_hour_of_rush(floor: f64) {
    let mut rush = Rush::new(floor, 7);
    rush.run();
    // The first answers of all classes start together and end the sooner the shorter they are.
    let minutes = &rush.tokens[1..];
    let hour = rush.share(minutes);
    assert!((hour - floor).abs() < 0.001, "{hour}");
    for minute in minutes {
        let share = rush.share(std::slice::from_ref(minute));
        assert!(share > floor - 0.015, "{share}");
    }
    let [arrived, started] = rush.live;
    assert!(f64::from(started) > 0.99 * f64::from(arrived));
}
