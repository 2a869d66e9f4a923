//! The cost of a decision, by the number of listed backends and of pending requests.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use sparlug::event::{Action, AttemptEnd, Condition, Event, Listing, Load, Outcome, Request};
use sparlug::id::{AttemptNo, BackendId, ClassId, PodId, RequestId, TenantId, ZoneId};
use sparlug::policy::Balancer;
use sparlug::settings::{Class, Effect, Settings};
use sparlug::time::{Span, Time};

fn listing(n: u32) -> Listing {
    let [_, a, b, c] = n.to_be_bytes();
    Listing {
        backend: BackendId { address: [10, a, b, c], port: 80 },
        zone: ZoneId(0),
        pod: PodId((n / 6) as u16),
        condition: Condition::Ready,
        started: None,
        size: 1.0,
    }
}

/// A balancer with this many listed backends and pending requests, and the time by then. Requests that it
/// refuses for lack of capacity are not pending, so it is offered more until enough are.
fn balancer(backends: u32, pending: usize) -> (Balancer, Time) {
    let class = |effect| Class::new(Span::from_millis(210), Span::from_millis(530), effect);
    let classes = vec![class(Effect::Safe), class(Effect::AtMostOnce)];
    let (start, mut actions) = (Time::from_ms(1000.0), Vec::new());
    let mut balancer = Balancer::new(Settings::for_classes(classes), 7, start, &mut actions);
    let timers = std::mem::take(&mut actions);
    let listings = (0..backends).map(listing).collect();
    balancer.handle(start, Event::ListReceived { full: true, listings }, &mut actions);
    // The first tick sets the limit according to the list.
    let mut start = start;
    for timer in timers {
        if let Action::SetTimer { after, id } = timer {
            start = start + after;
            balancer.handle(start, Event::TimerExpired(id), &mut actions);
        }
    }
    let (mut accepted, mut id) = (0, 0);
    while accepted < pending {
        assert!(id < 4 * pending as u32, "only {accepted} requests are pending, wanted {pending}");
        actions.clear();
        receive(&mut balancer, start, id, &mut actions);
        id += 1;
        accepted += 1 - actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count();
    }
    (balancer, start)
}

fn receive(balancer: &mut Balancer, now: Time, id: u32, actions: &mut Vec<Action>) {
    let (class, deadline) = (ClassId((id % 2) as u16), now + Span::from_millis(530));
    let request = Request {
        id: RequestId(id.into()),
        class,
        tenant: TenantId(0),
        key: None,
        deadline,
        cost: None,
        complete: true,
    };
    balancer.handle(now, Event::RequestReceived(request), actions);
}

/// Handles one request from its arrival to its response.
fn request(balancer: &mut Balancer, now: Time, id: u32, actions: &mut Vec<Action>) {
    receive(balancer, now, id, actions);
    let sent = std::mem::take(actions);
    for action in sent {
        let Action::Attempt { request, backend, .. } = action else { continue };
        let (outcome, took, load) = (Outcome::Served, Span::from_millis(20), Load::default());
        let (attempt, answered) = (AttemptNo(0), true);
        let end =
            AttemptEnd { request, attempt, backend, outcome, answered, body_discarded: false, took, load };
        balancer.handle(now, Event::AttemptEnded(end), actions);
    }
    actions.clear();
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("exchange");
    for backends in [10, 100, 1000] {
        group.bench_function(BenchmarkId::new("backends", backends), |b| {
            let ((mut balancer, now), mut actions, mut id) = (balancer(backends, 0), Vec::new(), 1_000_000);
            b.iter(|| {
                id += 1;
                request(&mut balancer, now, id, &mut actions);
            });
        });
    }
    // Lists enough backends for the limit to allow all requests.
    for pending in [10, 1000, 10_000] {
        group.bench_function(BenchmarkId::new("held", pending), |b| {
            b.iter_batched_ref(
                || (balancer(4000, pending), Vec::new()),
                |((balancer, now), actions)| receive(balancer, *now, 1_000_000, actions),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
