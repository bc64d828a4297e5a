//! An instance that starts while the platform can't tell it who its peers are.

use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_peers::Action;
use crocushold_peers::Event;
use crocushold_peers::Incarnation;
use crocushold_peers::Instance;
use crocushold_peers::Listed;
use crocushold_peers::Node;
use crocushold_peers::NodeSettings;

/// Time between two ticks.
const TICK: Millis = Millis(100);

fn instance(number: usize) -> Instance {
    let address = ([127, 0, 0, 1], 7000 + number as u16).into();
    Instance::new(&format!("entry-{number}"), address, "stgo-a")
}

fn node(number: usize, start: u64, now: Millis) -> Node {
    let life = Incarnation::starting(start);
    Node::new(NodeSettings::default(), instance(number), life, start, now)
}

/// Two nodes and the messages between them, which arrive at once.
struct Pair {
    nodes: [Node; 2],
    now: Millis,
}

impl Pair {
    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for at in 0..2 {
                self.feed(at, Event::Tick);
            }
        }
    }

    /// Gives an event to a node, and carries its messages until all are answered.
    fn feed(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([(at, event)]);
        while let Some((at, event)) = events.pop_front() {
            for action in self.nodes[at].handle(event, self.now) {
                let from = instance(at).id;
                match action {
                    Action::Send(to, message) if to == instance(1 - at) => {
                        events.push_back((1 - at, Event::Message(from, message)));
                    }
                    Action::Reply(message) => {
                        events.push_back((1 - at, Event::Message(from, message)));
                    }
                    _ => {}
                }
            }
        }
    }
}

/// An instance is replaced at its old address while the platform is down. The newcomer has no list;
/// its peer still has one, and calls. If the call didn't say where the peer can be reached, the
/// newcomer would answer probes for ever and never learn the configuration.
#[test]
fn a_newcomer_without_a_list_learns_from_the_peer_that_calls_it() {
    let now = Millis::from_secs(1);
    let mut pair = Pair {
        nodes: [node(0, 10, now), node(1, 11, now)],
        now,
    };
    let listed = [0, 1].map(|number| Listed {
        instance: instance(number),
        leaving: false,
    });
    pair.feed(0, Event::InstanceList(listed.to_vec()));
    pair.run(Millis::from_secs(5));
    assert_eq!(pair.nodes[1].member().view().live(), 2);

    pair.nodes[1] = node(1, 12, pair.now);
    pair.feed(0, Event::Replaced(instance(1).id));
    pair.run(Millis::from_secs(15));
    for node in &pair.nodes {
        assert_eq!(node.member().view().live(), 2);
    }
}
