//! Runs a state machine against the fake platform on a virtual clock.

use crocushold_base::Millis;
use crocushold_platform::Action;
use crocushold_platform::Call;
use crocushold_platform::CallId;
use crocushold_platform::Event;
use crocushold_platform::InstancePoller;
use crocushold_platform::Machine;
use crocushold_platform::PollerSettings;
use crocushold_platform::Report;
use crocushold_platform::Update;
use crocushold_platform::wire::InstanceList;

use crate::fake::LATENCY;
use crate::fake::Platform;

/// A call that was started.
#[derive(Clone, Debug)]
pub(crate) struct Started {
    pub(crate) id: CallId,
    pub(crate) call: Call,
    pub(crate) at: Millis,
}

/// A state machine, its platform, and a record of calls and updates.
pub(crate) struct Driver<M> {
    pub(crate) machine: M,
    pub(crate) platform: Platform,
    pub(crate) now: Millis,
    pub(crate) pending: Vec<Started>,
    pub(crate) started: Vec<Started>,
    pub(crate) published: Vec<Update>,
}

/// Creates a driver of a poller with default settings.
pub(crate) fn poller(platform: Platform) -> Driver<InstancePoller> {
    let settings = PollerSettings {
        seed: 7,
        ..PollerSettings::default()
    };
    Driver::new(InstancePoller::new(settings), platform)
}

impl<M: Machine> Driver<M> {
    pub(crate) fn new(machine: M, platform: Platform) -> Driver<M> {
        let mut driver = Driver {
            machine,
            platform,
            now: Millis::from_secs(100),
            pending: Vec::new(),
            started: Vec::new(),
            published: Vec::new(),
        };
        driver.feed(Event::Tick);
        driver
    }

    /// Passes an event to the machine at the current time.
    pub(crate) fn feed(&mut self, event: Event) {
        for action in self.machine.step(event, self.now) {
            match action {
                Action::Start { id, call } => self.start(id, call),
                Action::Cancel { id } => self.pending.retain(|c| c.id != id),
                Action::Publish(update) => self.published.push(update),
            }
        }
        let wake = self.machine.next_wake();
        assert!(
            wake > self.now,
            "the next wake-up is not in the future at {}",
            self.now
        );
    }

    fn start(&mut self, id: CallId, call: Call) {
        let at = self.now;
        let started = Started { id, call, at };
        self.pending.push(started.clone());
        self.started.push(started);
    }

    /// Advances the clock by `span`, answering calls and waking the machine on time.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            if self.deliver() {
                continue;
            }
            let wake = self.machine.next_wake();
            self.now = self.next_answer().min(wake).min(end);
            if self.now >= wake && wake <= end {
                self.feed(Event::Tick);
            }
        }
    }

    /// Advances the clock while the process is suspended.
    pub(crate) fn sleep(&mut self, span: Millis) {
        self.now += span;
    }

    /// Delivers one answer that is ready; returns whether there was one.
    fn deliver(&mut self) -> bool {
        let mut answers = self
            .pending
            .iter()
            .enumerate()
            .filter_map(|(position, call)| {
                let answer = self.platform.answer(&call.call, self.now.since(call.at))?;
                Some((position, answer))
            });
        let Some((position, answer)) = answers.next() else {
            return false;
        };
        let call = self.pending.remove(position).id;
        self.feed(match answer {
            Ok(answer) => Event::Answered { call, answer },
            Err(failure) => Event::Failed { call, failure },
        });
        true
    }

    /// Returns the earliest time at which a further answer may be ready.
    fn next_answer(&self) -> Millis {
        let times = self.pending.iter().map(|c| c.at + LATENCY);
        let next = times.filter(|at| *at > self.now).min();
        next.unwrap_or(Millis::MAX)
    }

    /// Returns the number of calls started since `from`.
    pub(crate) fn calls_since(&self, from: Millis) -> usize {
        self.started.iter().filter(|s| s.at >= from).count()
    }

    pub(crate) fn reports(&self) -> Vec<&Report> {
        let reports = self.published.iter().filter_map(|update| match update {
            Update::Report(report) => Some(report),
            _ => None,
        });
        reports.collect()
    }

    pub(crate) fn lists(&self) -> Vec<&InstanceList> {
        let lists = self.published.iter().filter_map(|update| match update {
            Update::Instances(list) => Some(list),
            _ => None,
        });
        lists.collect()
    }
}

/// A duration in seconds.
pub(crate) fn secs(secs: u64) -> Millis {
    Millis::from_secs(secs)
}
