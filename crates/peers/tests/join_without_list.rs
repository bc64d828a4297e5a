//! An instance that starts while the platform can't provide the instance list.

use std::collections::VecDeque;

use crocushold_base::Millis;
use crocushold_peers::Action;
use crocushold_peers::Event;
use crocushold_peers::Incarnation;
use crocushold_peers::Instance;
use crocushold_peers::ListedInstance;
use crocushold_peers::Node;
use crocushold_peers::NodeSettings;
use test_case::test_case;

/// Interval between two ticks.
const TICK: Millis = Millis(100);

fn instance(number: usize) -> Instance {
    let address = ([127, 0, 0, 1], 7000 + number as u16).into();
    Instance::new(&format!("entry-{number}"), address, "stgo-a")
}

fn node(number: usize, start: u64, now: Millis) -> Node {
    let incarnation = Incarnation::starting(start);
    Node::new(
        NodeSettings::default(),
        instance(number),
        incarnation,
        start,
        now,
    )
}

/// Nodes whose messages are delivered at once.
struct Group {
    nodes: Vec<Node>,
    now: Millis,
}

impl Group {
    /// Creates nodes that know each other by the platform's list.
    fn met(count: usize) -> Group {
        let now = Millis::from_secs(1);
        let nodes = (0..count).map(|number| node(number, 10, now));
        let mut group = Group {
            nodes: nodes.collect(),
            now,
        };
        let listed = (0..count).map(|number| ListedInstance {
            instance: instance(number),
            leaving: false,
        });
        let listed: Vec<ListedInstance> = listed.collect();
        for at in 0..count {
            group.feed(at, Event::InstanceList(listed.clone()));
        }
        group.run(Millis::from_secs(20));
        group
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for at in 0..self.nodes.len() {
                self.feed(at, Event::Tick);
            }
        }
    }

    /// Passes an event to a node, and delivers the resulting messages until none are left.
    fn feed(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([(at, None, event)]);
        while let Some((at, requester, event)) = events.pop_front() {
            for action in self.nodes[at].handle(event, self.now) {
                let from = instance(at).id;
                match action {
                    Action::Send(to, message) => {
                        let number = (0..self.nodes.len()).find(|&n| instance(n) == to);
                        let number = number.expect("every address belongs to a node");
                        events.push_back((number, Some(at), Event::Message(from, message)));
                    }
                    Action::Reply(message) => {
                        let requester = requester.expect("only a message is answered");
                        events.push_back((requester, None, Event::Message(from, message)));
                    }
                    _ => {}
                }
            }
        }
    }
}

/// An instance is replaced at its address while the platform is down. The new instance has no list;
/// its peers still have one, and call it. If no message contained the sender's address, or if a
/// peer that agrees with another kept both from comparing views with the new instance, it would
/// answer probes forever and never learn the configuration.
#[test_case(2; "one peer")]
#[test_case(3; "two peers that agree")]
#[test_case(8; "seven peers that agree")]
fn a_new_instance_without_a_list_learns_from_the_peers_that_call_it(count: usize) {
    let mut group = Group::met(count);
    for node in &group.nodes {
        assert_eq!(node.member().view().live(), count);
    }
    group.nodes[1] = node(1, 12, group.now);
    group.run(Millis::from_secs(15));
    for node in &group.nodes {
        assert_eq!(node.member().view().live(), count);
    }
}
