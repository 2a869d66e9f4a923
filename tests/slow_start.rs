//! Simulates many instances that send to backends in slow start. Whatever the instances know, all of them
//! together must not overload a backend: within the configured window it may get N + 2 * sqrt(N) + 2
//! requests, where N is the load that it can handle, a multiple of its present capacity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use oorandom::Rand32;
use sparlug::event::{Action, AttemptEnd, Condition, Event, Listing, Load, Outcome, Request};
use sparlug::id::{AttemptNo, BackendId, ClassId, PodId, RequestId, TenantId, TimerId, ZoneId};
use sparlug::policy::Balancer;
use sparlug::settings::{Class, Effect, Settings, SlowStart};
use sparlug::time::{Span, Time};

const BACKENDS: u8 = 12;
/// The time that a request takes at a warm backend, which handles one at a time.
const REQUEST_S: f64 = 0.05;
/// The part of all backends' capacity that the requests need.
const LOAD_RATIO: f64 = 0.75;
/// When backends start; by then the instances know their traffic.
const START_S: f64 = 6.0;
const END_S: f64 = 18.0;
const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.25,
    ramp: Span::from_millis(8_000),
    overload_ratio: 2.0,
    overload_window: Span::from_millis(2_000),
};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// One new backend starts.
    NewBackend,
    /// A third of the backends, all of one zone, stops and starts again two seconds later.
    ZoneReturns,
    /// The same, and half a second later a third of the instances restart and no longer know what they sent.
    InstancesRestart,
    /// One backend starts again while a quarter of all attempts fail and are retried elsewhere.
    Retries,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Arrival,
    /// The instance, its incarnation and the timer.
    Timer(usize, u32, u64),
    /// The instance, its incarnation, the request and the backend.
    AttemptEnded(usize, u32, u64, u8),
    /// The list changes; true once the backends have started again.
    ListChanged(bool),
    Restart,
}

fn backend(number: u8) -> BackendId {
    BackendId { address: [10, 0, 0, number], port: 80 }
}

struct Simulation {
    rng: Rand32,
    scenario: Scenario,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, SimulatedEvent)>>,
    /// The number of events so far, which orders those of the same time.
    event_count: u64,
    /// Each with its incarnation.
    instances: Vec<(u32, Balancer)>,
    request_count: u64,
    /// When each backend in slow start started, and when attempts were sent to it since then, in seconds.
    started: BTreeMap<u8, f64>,
    sent: BTreeMap<u8, Vec<f64>>,
}

impl Simulation {
    fn new(scenario: Scenario, count: usize, seed: u64) -> Simulation {
        let (rng, now, event_count, request_count) = (Rand32::new(seed), 0.0, 0, 0);
        let (events, instances, started, sent) = Default::default();
        let mut simulation =
            Simulation { rng, scenario, now, events, event_count, instances, request_count, started, sent };
        for number in 0..count {
            let balancer = simulation.start_instance(number, count, 0);
            simulation.instances.push(balancer);
        }
        simulation.schedule(0.0, SimulatedEvent::Arrival);
        simulation.schedule(START_S - 2.0, SimulatedEvent::ListChanged(false));
        simulation.schedule(START_S, SimulatedEvent::ListChanged(true));
        if scenario == Scenario::InstancesRestart {
            simulation.schedule(START_S + 0.5, SimulatedEvent::Restart);
        }
        simulation
    }

    /// The backends that start during the simulation.
    fn starting_backends(&self) -> std::ops::Range<u8> {
        match self.scenario {
            Scenario::NewBackend | Scenario::Retries => 0..1,
            Scenario::ZoneReturns | Scenario::InstancesRestart => 0..BACKENDS / 3,
        }
    }

    fn listing(&self, number: u8) -> Listing {
        let (started, before_removal) = (self.started.get(&number), self.now < START_S - 2.0);
        let is_absent = self.starting_backends().contains(&number) && started.is_none();
        Listing {
            backend: backend(number),
            zone: ZoneId(u16::from(number) * 3 / u16::from(BACKENDS)),
            pod: PodId(0),
            condition: if is_absent && !(before_removal && self.scenario != Scenario::NewBackend) {
                Condition::Gone
            } else {
                Condition::Ready
            },
            started: started.map(|s| Time::from_ms(s * 1000.0)),
            size: 1.0,
        }
    }

    fn start_instance(&mut self, number: usize, count: usize, incarnation: u32) -> (u32, Balancer) {
        let class = Class::new(Span::from_millis(600), Span::from_millis(1_500), Effect::Safe);
        let defaults = Settings::for_classes(vec![class]);
        let settings = Settings {
            instances: count,
            ordinal: number,
            slow_start: SLOW_START,
            max_attempts: 4,
            ..defaults
        };
        let (mut actions, now, seed) = (Vec::new(), self.time(), u64::from(self.rng.rand_u32()));
        let mut balancer = Balancer::new(settings, seed, now, &mut actions);
        let listings = (0..BACKENDS).map(|number| self.listing(number)).collect();
        balancer.handle(now, Event::ListReceived { full: true, listings }, &mut actions);
        self.carry_out(number, incarnation, actions);
        (incarnation, balancer)
    }

    fn time(&self) -> Time {
        Time::from_ms(self.now * 1000.0)
    }

    fn schedule(&mut self, at: f64, event: SimulatedEvent) {
        self.event_count += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.event_count, event)));
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.rand_float())
    }

    /// The part of a warm backend's capacity that a backend has at a time in seconds.
    fn capacity(&self, number: u8, at: f64) -> f64 {
        let ramp = SLOW_START.ramp.ms() / 1000.0;
        let ratio = |started: &f64| {
            SLOW_START.initial_share + (1.0 - SLOW_START.initial_share) * (at - started) / ramp
        };
        self.started.get(&number).map_or(1.0, ratio).min(1.0)
    }

    fn carry_out(&mut self, number: usize, incarnation: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SetTimer { after, id } => {
                    self.schedule(
                        self.now + after.ms() / 1000.0,
                        SimulatedEvent::Timer(number, incarnation, id.0),
                    );
                }
                Action::Attempt { request, backend, .. } => {
                    let (to, now) = (backend.address[3], self.now);
                    if self.started.contains_key(&to) {
                        self.sent.entry(to).or_default().push(now);
                    }
                    let took = REQUEST_S * (0.6 + 0.8 * self.random()) / self.capacity(to, now);
                    self.schedule(
                        now + took,
                        SimulatedEvent::AttemptEnded(number, incarnation, request.0, to),
                    );
                }
                _ => {}
            }
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let (mut actions, now) = (Vec::new(), self.time());
        let (incarnation, balancer) = &mut self.instances[number];
        let incarnation = *incarnation;
        balancer.handle(now, event, &mut actions);
        self.carry_out(number, incarnation, actions);
    }

    fn handle_simulated(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Arrival => {
                let rate = f64::from(BACKENDS) * LOAD_RATIO / REQUEST_S;
                let wait = -(1.0 - self.random()).ln() / rate;
                self.schedule(self.now + wait, SimulatedEvent::Arrival);
                // Some instances get several times as many requests as others.
                let number = self.random().powi(2) * self.instances.len() as f64;
                self.request_count += 1;
                let (id, deadline) = (RequestId(self.request_count), self.time() + Span::from_millis(1_500));
                let (class, tenant, key, cost) = (ClassId(0), TenantId(0), None, None);
                let request = Request { id, class, tenant, key, deadline, cost, complete: true };
                self.handle(number as usize, Event::RequestReceived(request));
            }
            SimulatedEvent::Timer(number, incarnation, timer) if self.instances[number].0 == incarnation => {
                self.handle(number, Event::TimerExpired(TimerId(timer)));
            }
            SimulatedEvent::AttemptEnded(number, incarnation, request, to)
                if self.instances[number].0 == incarnation =>
            {
                let failed = self.scenario == Scenario::Retries && self.random() < 0.25;
                let outcome = if failed { Outcome::Error } else { Outcome::Served };
                let (request, attempt, took) =
                    (RequestId(request), AttemptNo(0), Span::from_ms(REQUEST_S * 1000.0));
                let (backend, answered, body_discarded, load) =
                    (backend(to), !failed, false, Load::default());
                let end =
                    AttemptEnd { request, attempt, backend, outcome, answered, body_discarded, took, load };
                self.handle(number, Event::AttemptEnded(end));
            }
            SimulatedEvent::Timer(..) | SimulatedEvent::AttemptEnded(..) => {}
            SimulatedEvent::ListChanged(have_started) => {
                if have_started {
                    self.started = self.starting_backends().map(|number| (number, self.now)).collect();
                }
                let listings: Vec<_> = self.starting_backends().map(|number| self.listing(number)).collect();
                for number in 0..self.instances.len() {
                    self.handle(number, Event::ListReceived { full: false, listings: listings.clone() });
                }
            }
            SimulatedEvent::Restart => {
                let count = self.instances.len();
                for number in (0..count).step_by(3) {
                    let incarnation = self.instances[number].0 + 1;
                    self.instances[number] = self.start_instance(number, count, incarnation);
                }
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > END_S {
                return;
            }
            self.handle_simulated(event);
        }
    }

    /// The attempts in the worst window of any backend, as a multiple of those that overload it.
    fn worst_overload_ratio(&self) -> f64 {
        let window = SLOW_START.overload_window.ms() / 1000.0;
        let worst_window = |(number, times): (&u8, &Vec<f64>)| {
            let ratio = |from: &f64| {
                let sent = times.iter().filter(|at| (*from..from + window).contains(*at)).count() as f64;
                let capacity = SLOW_START.overload_ratio * self.capacity(*number, *from) * window / REQUEST_S;
                sent / (capacity + 2.0 * capacity.sqrt() + 2.0)
            };
            times.iter().map(ratio).fold(0.0, f64::max)
        };
        self.sent.iter().map(worst_window).fold(0.0, f64::max)
    }

    /// The attempts sent to each starting backend, as a multiple of an even part of the requests since its
    /// start.
    fn even_part_ratio(&self) -> f64 {
        let attempts =
            self.sent.values().map(Vec::len).sum::<usize>() as f64 / self.starting_backends().len() as f64;
        attempts / (self.request_count as f64 * (END_S - START_S) / END_S / f64::from(BACKENDS))
    }
}

fn assert_backends_not_overloaded(scenario: Scenario) {
    for count in [5, 25, 50, 300] {
        for seed in 1..=3 {
            let mut simulation = Simulation::new(scenario, count, seed);
            simulation.run();
            let (overload_ratio, part_ratio) =
                (simulation.worst_overload_ratio(), simulation.even_part_ratio());
            println!(
                "{scenario:?}, {count} instances, seed {seed}: {overload_ratio:.2} of the load that overloads, \
                 {part_ratio:.2} of an even part"
            );
            assert!(
                overload_ratio < 1.0,
                "{scenario:?}, {count} instances, seed {seed}: {overload_ratio:.2} of the load that overloads"
            );
            // A starting backend must get some of the load, or the others have to carry it.
            assert!(
                part_ratio > 0.2,
                "{scenario:?}, {count} instances, seed {seed}: {part_ratio:.2} of an even part"
            );
        }
    }
}

#[test]
fn a_new_backend_is_not_overloaded_by_all_instances_together() {
    assert_backends_not_overloaded(Scenario::NewBackend);
}

#[test]
fn a_returning_zone_is_not_overloaded_by_all_instances_together() {
    assert_backends_not_overloaded(Scenario::ZoneReturns);
}

#[test]
fn a_returning_zone_is_not_overloaded_when_instances_restart() {
    assert_backends_not_overloaded(Scenario::InstancesRestart);
}

#[test]
fn a_returning_backend_is_not_overloaded_by_retries() {
    assert_backends_not_overloaded(Scenario::Retries);
}
