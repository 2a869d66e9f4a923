use super::*;
use crate::event::Load;
use crate::id::{ClassId, PodId, TenantId, ZoneId};
use crate::peer_message::Observation;
use crate::settings::{Class, SlowStart};

const START: Time = Time::ORIGIN;

fn ms(ms: i64) -> Span {
    Span::from_millis(ms)
}

fn id(n: u8) -> BackendId {
    BackendId { address: [10, 0, 0, n], port: 80 }
}

fn listing(n: u8) -> Listing {
    let (zone, pod) = (ZoneId(n.into()), PodId((n / 2).into()));
    Listing { backend: id(n), zone, pod, condition: Condition::Ready, started: None, size: 1.0 }
}

fn class(effect: Effect) -> Class {
    Class::new(ms(200), ms(500), effect)
}

/// A balancer with this class and `backends` ready backends, its limit known.
fn balancer(effect: Effect, backends: u8) -> Balancer {
    let mut balancer = Balancer::new(Settings::for_classes(vec![class(effect)]), 1, START, &mut Vec::new());
    for n in 0..backends {
        balancer.backends.insert(id(n), Backend { listing: listing(n), heard: START, ..Backend::default() });
    }
    balancer.tier.limit = 10.0;
    balancer.tier.ready_and_out = (backends.into(), 0.0);
    balancer.now = START;
    balancer
}

fn request(n: u32) -> Request {
    let (class, tenant) = (ClassId(0), TenantId(0));
    let (id, key, deadline) = (RequestId(n.into()), None, START + ms(500));
    Request { id, class, tenant, key, deadline, cost: None, complete: true }
}

fn held(effect: Effect) -> Held {
    let (target, due) = (START + ms(200), START + ms(200));
    let (arrived, class) = (START, class(effect));
    Held::new(class, arrived, target, due, false)
}

/// A request that has been forwarded once, to backend 0.
fn forwarded(effect: Effect) -> Held {
    Held { sent: 1, out: Some((listing(0), START)), ..held(effect) }
}

fn ended(outcome: Outcome) -> AttemptEnd {
    let (attempt, took) = (AttemptNo(0), ms(50));
    let (request, backend) = (RequestId(1), id(0));
    AttemptEnd {
        request,
        attempt,
        backend,
        outcome,
        answered: false,
        body_discarded: false,
        took,
        load: Load::default(),
    }
}

fn by_pod() -> Effect {
    Effect::Keyed { group: Group::Pod, window: ms(1000) }
}

/// What a backend is told of its surroundings, with everything it says thrown away.
fn around<'a>(
    b: &'a Balancer,
    inbox: &'a mut Vec<TierNote>,
    out: &'a mut Vec<Action>,
    now: Time,
) -> Around<'a> {
    Around { now, tier: &b.tier, settings: &b.settings, chance: 0.5, tier_inbox: inbox, out }
}

fn first_pick(b: &mut Balancer) -> Option<BackendId> {
    b.pick(RequestId(1)).map(|two| two[0])
}

#[test]
fn at_most_once_is_failed_after_an_outcome_that_may_have_run() {
    let (mut b, mut out) = (balancer(Effect::AtMostOnce, 4), Vec::new());
    b.desk.held.insert(RequestId(1), forwarded(Effect::AtMostOnce));
    b.ended(ended(Outcome::Error), &mut out);
    assert_eq!(out, [Action::Fail { request: RequestId(1), reason: Reason::MayHaveRun }]);
}

#[test]
fn at_most_once_goes_again_after_an_outcome_that_proves_it_never_ran() {
    let mut b = balancer(Effect::AtMostOnce, 4);
    b.desk.held.insert(RequestId(1), forwarded(Effect::AtMostOnce));
    b.ended(ended(Outcome::Full), &mut Vec::new());
    assert_eq!(b.desk.further, [RequestId(1)]);
}

#[test]
fn at_most_once_is_not_refused_while_an_attempt_is_out() {
    let (mut b, mut out) = (balancer(Effect::AtMostOnce, 4), Vec::new());
    b.desk.held.insert(RequestId(1), forwarded(Effect::AtMostOnce));
    b.give_up(RequestId(1), Reason::OutOfTime, &mut out);
    let cancel = Action::Cancel { request: RequestId(1), attempt: AttemptNo(0) };
    assert_eq!(out, [cancel, Action::Fail { request: RequestId(1), reason: Reason::OutOfTime }]);
}

#[test]
fn a_keyed_repeat_stays_in_its_group() {
    let mut b = balancer(by_pod(), 6);
    b.desk.held.insert(RequestId(1), Held { ran: Some((listing(2), START)), ..held(by_pod()) });
    let picked: Vec<_> = (0..50).filter_map(|_| first_pick(&mut b)).collect();
    assert!(picked.contains(&id(2)) && picked.contains(&id(3)));
    assert!(picked.iter().all(|backend| *backend == id(2) || *backend == id(3)));
}

#[test]
fn a_keyed_repeat_is_not_sent_after_its_window() {
    let mut b = balancer(by_pod(), 6);
    b.desk.held.insert(RequestId(1), Held { ran: Some((listing(2), START)), ..held(by_pod()) });
    b.now = START + ms(1000);
    assert_eq!(first_pick(&mut b), None);
}

#[test]
fn a_draining_backend_gets_nothing() {
    let mut b = balancer(Effect::Safe, 2);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.backends.get_mut(&id(0)).unwrap().listing.condition = Condition::Draining;
    assert!((0..20).all(|_| first_pick(&mut b) == Some(id(1))));
}

#[test]
fn a_backend_that_a_whole_list_leaves_out_is_gone() {
    let mut b = balancer(Effect::Safe, 2);
    b.handle(START, Event::ListReceived { full: true, listings: vec![listing(1)] }, &mut Vec::new());
    assert_eq!(b.backends[&id(0)].listing.condition, Condition::Gone);
    assert_eq!(b.backends[&id(1)].listing.condition, Condition::Ready);
}

/// How long it waits, each time, until it asks for the list again.
fn watch_waits(out: &[Action]) -> Vec<Span> {
    let wait = |action: &Action| match action {
        Action::SetTimer { after, id: MARK_WATCH } => Some(*after),
        _ => None,
    };
    out.iter().filter_map(wait).collect()
}

#[test]
fn a_lost_watch_is_asked_for_again_later_each_time() {
    let (mut b, mut out) = (balancer(Effect::Safe, 1), Vec::new());
    (0..4).for_each(|_| b.handle(START, Event::ListFailed, &mut out));
    let waits = watch_waits(&out);
    assert_eq!(waits.len(), 4);
    assert!(waits[3] > waits[0]);
}

/// What discovery has to tell counts as told 6 s later. A call that is lost may have taken 3.25 s of them, and the next
/// one is to have 1.25 s for its answer.
#[test]
fn a_lost_watch_is_asked_for_again_while_a_drain_can_still_be_heard_in_time() {
    let (mut b, mut out) = (balancer(Effect::Safe, 1), Vec::new());
    (0..500).for_each(|_| b.handle(START, Event::ListFailed, &mut out));
    let longest = watch_waits(&out).into_iter().max().unwrap().ms();
    assert!((1250.0..=1500.0).contains(&longest), "{longest}");
}

#[test]
fn the_limit_holds_what_is_above_it() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    b.tier.in_flight = 10.0;
    b.handle(START, Event::RequestReceived(request(1)), &mut out);
    assert_eq!(b.desk.first, [RequestId(1)]);
    assert!(!out.iter().any(|action| matches!(action, Action::Attempt { .. })));
}

#[test]
fn past_three_limits_all_are_refused_at_once() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    b.tier.in_flight = 30.0;
    b.taken(request(1), &mut out);
    assert!(matches!(out.last(), Some(Action::Refuse { request: RequestId(1), backoff: Some(_), .. })));
}

#[test]
fn within_the_refusal_band_what_is_beyond_a_share_goes_first() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    b.tier.in_flight = 30.0;
    b.desk.held.insert(RequestId(7), Held { beyond_share: true, ..held(Effect::Safe) });
    b.desk.first.push(RequestId(7));
    b.taken(request(1), &mut out);
    assert_eq!(b.desk.first, [RequestId(1)]);
}

#[test]
fn a_request_that_waited_too_long_is_refused_and_not_sent() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.desk.first.push(RequestId(1));
    b.tier.latency.add(100.0, 1.0);
    b.now = START + ms(120);
    assert!(!b.serve(&mut out));
    assert!(matches!(out[..], [Action::Refuse { request: RequestId(1), .. }]));
}

/// Guards against failing, for the slow refusal of one backend, what its caller may not repeat.
#[test]
fn what_may_run_only_once_goes_on_while_a_usual_answer_can_be_in_time() {
    for (effect, attempts) in [(Effect::AtMostOnce, 1), (Effect::Safe, 0)] {
        let (mut b, mut out) = (balancer(effect, 4), Vec::new());
        b.tier.took.add(40.0, 1.0);
        b.tier.latency.add(150.0, 1.0);
        b.desk.held.insert(RequestId(1), Held { sent: 1, ..held(effect) });
        b.desk.further.push(RequestId(1));
        b.now = START + ms(50);
        b.serve(&mut out);
        let sent = out.iter().filter(|action| matches!(action, Action::Attempt { .. })).count();
        assert_eq!(sent, attempts, "{out:?}");
    }
}

#[test]
fn first_attempts_are_served_before_further_ones() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    for n in [1, 2] {
        b.desk.held.insert(RequestId(n), held(Effect::Safe));
    }
    (b.desk.further, b.desk.first) = (vec![RequestId(1)], vec![RequestId(2)]);
    b.serve(&mut out);
    assert!(matches!(out[..], [Action::Attempt { request: RequestId(2), .. }]));
}

#[test]
fn without_a_retry_budget_what_may_have_run_is_not_sent_again() {
    let (mut b, mut out) = (balancer(Effect::Safe, 3), Vec::new());
    b.desk.held.insert(RequestId(1), forwarded(Effect::Safe));
    b.desk.retry_budget = 0.5;
    b.ended(ended(Outcome::Error), &mut out);
    assert!(matches!(out[..], [Action::Refuse { .. }]));
}

#[test]
fn the_time_out_ends_before_the_target_and_the_stand_in_timer_after_it() {
    let (mut b, mut out) = (balancer(Effect::Safe, 1), Vec::new());
    b.handle(START, Event::RequestReceived(request(1)), &mut out);
    let Action::SetTimer { after, .. } = out[0] else { panic!("{out:?}") };
    let Action::Attempt { timeout: time_out, .. } = out[1] else { panic!("{out:?}") };
    assert!(time_out < after && after < ms(200));
}

#[test]
fn a_stream_that_has_begun_is_left_to_the_client() {
    let (mut b, mut out) = (balancer(Effect::Safe, 1), Vec::new());
    b.handle(START, Event::RequestReceived(request(1)), &mut Vec::new());
    b.handle(START, Event::ResponseStarted { request: RequestId(1), backend: id(0), took: ms(5) }, &mut out);
    b.handle(START + ms(500), Event::TimerExpired(TimerId(1)), &mut out);
    assert_eq!(out, []);
}

#[test]
fn a_backend_goes_out_on_failures_that_its_peers_do_not_share() {
    let (b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    let mut backend = Backend { in_flight: 2.0, ..Backend::default() };
    let mut around = around(&b, &mut inbox, &mut out, START);
    backend.ended(&ended(Outcome::Error), None, &mut around);
    assert_eq!(backend.out, None);
    backend.ended(&ended(Outcome::Error), None, &mut around);
    assert!(backend.out.is_some());
}

#[test]
fn failures_that_all_share_are_no_backends_fault() {
    let (mut b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    b.tier.failing = 0.5;
    let mut backend = Backend { in_flight: 9.0, ..Backend::default() };
    let mut around = around(&b, &mut inbox, &mut out, START);
    (0..9).for_each(|_| backend.ended(&ended(Outcome::Error), None, &mut around));
    assert_eq!(backend.out, None);
}

/// Guards against a backend that fails quickly, and so looks idle, drawing picks at each of many instances until
/// each has learnt of it anew.
#[test]
fn a_backend_that_fails_more_than_its_tier_is_passed_over_from_the_first_failure_on() {
    let mut b = balancer(Effect::Safe, 2);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.tier.took.add(50.0, 1.0);
    for n in [0, 1] {
        b.tell(id(n), BackendNote::Sent);
        let outcome = if n == 0 { Outcome::Error } else { Outcome::Served };
        let end = AttemptEnd { backend: id(n), request: RequestId(2), ..ended(outcome) };
        b.handle(START, Event::AttemptEnded(end), &mut Vec::new());
    }
    assert!(b.backends[&id(0)].out.is_none());
    assert!((0..20).all(|_| first_pick(&mut b) == Some(id(1))));
    // What it did is forgotten with time.
    (0..400).for_each(|_| b.handle(START, Event::TimerExpired(MARK_TICK), &mut Vec::new()));
    assert!((0..40).any(|_| first_pick(&mut b) == Some(id(0))));
}

/// Guards against each backend of a lost zone being met, and lost a request to, before it is known.
#[test]
fn backends_that_fail_tell_of_others_in_their_zone_and_shared_failures_of_none() {
    let mut b = balancer(Effect::Safe, 4);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    let zone = |n: u16| ZoneId(n / 2);
    b.backends.values_mut().zip(0u16..).for_each(|(backend, n)| backend.listing.zone = zone(n));
    let fail = |b: &mut Balancer, n| {
        b.tell(id(n), BackendNote::Checked(Outcome::ConnectFailed, Load::default()));
        b.handle(START, Event::ClientGone(RequestId(9)), &mut Vec::new());
    };
    (0..3).for_each(|_| fail(&mut b, 0));
    assert!(b.load_of(id(1)) > 1.2 * b.load_of(id(2)));
    (0..60).for_each(|n| fail(&mut b, n % 4));
    assert!(b.load_of(id(1)) < 1.2 * b.load_of(id(2)));
}

#[test]
fn a_backend_that_a_check_does_not_reach_is_out_and_no_request_waits_for_it() {
    let mut b = asking();
    b.tier.ready_and_out = (9.0, 0.0);
    b.backends.get_mut(&id(1)).unwrap().others = Some((START + ms(1), 3.0));
    let (outcome, took, load) = (Outcome::ConnectFailed, ms(1), Load::default());
    let mut out = Vec::new();
    b.handle(START + ms(2), Event::CheckEnded { backend: id(0), outcome, took, load }, &mut out);
    assert!(out.iter().any(|action| matches!(action, Action::Attempt { backend, .. } if *backend == id(1))));
}

#[test]
fn no_more_than_a_part_of_the_ready_is_out() {
    let (mut b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    b.tier.ready_and_out = (4.0, 1.0);
    let mut backend = Backend::default();
    backend.put_out("failing", &mut around(&b, &mut inbox, &mut out, START));
    assert_eq!(backend.out, None);
}

#[test]
fn a_silent_backend_goes_out_and_its_attempts_leave_the_limit() {
    let (mut b, mut out) = (balancer(Effect::Safe, 4), Vec::new());
    b.tier.latency.add(100.0, 1.0);
    let hung = b.backends.get_mut(&id(0)).unwrap();
    (hung.in_flight, hung.counted, b.tier.in_flight) = (3.0, 3.0, 3.0);
    b.handle(START + ms(400), Event::TimerExpired(MARK_TICK), &mut out);
    assert!(b.backends[&id(0)].out.is_some());
    assert_eq!(b.tier.in_flight, 0.0);
}

#[test]
fn a_backend_that_is_out_says_nothing_to_the_limit_and_returns_with_an_answer() {
    let (b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    let mut backend = Backend { in_flight: 1.0, out: Some(START), ..Backend::default() };
    let mut around = around(&b, &mut inbox, &mut out, START);
    backend.ended(&ended(Outcome::Served), Some((ms(50), true)), &mut around);
    assert!(!inbox.iter().any(|note| matches!(note, TierNote::Sample(..))));
    assert_eq!((backend.out, backend.cap), (None, Some(1.0)));
}

#[test]
fn an_attempt_given_up_counts_as_in_flight_until_its_work_is_likely_done() {
    let (b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    let mut backend = Backend { in_flight: 1.0, ..Backend::default() };
    backend.ended(&ended(Outcome::TimedOut), None, &mut around(&b, &mut inbox, &mut out, START));
    assert_eq!(backend.holds(), 1.0);
    backend.tick(&mut around(&b, &mut inbox, &mut out, START + ms(110)));
    assert_eq!(backend.holds(), 0.0);
}

/// Guards against a dead backend drawing all picks, since it is never busy, where no further one may be out.
#[test]
fn a_backend_that_refuses_connections_rests_also_where_it_may_not_go_out() {
    let (mut b, mut out) = (balancer(Effect::Safe, 2), Vec::new());
    b.tier.took.add(60.0, 1.0);
    b.tier.ready_and_out = (2.0, 1.0);
    let mut backend = Backend { in_flight: 1.0, listing: listing(0), ..Backend::default() };
    let note = BackendNote::Ended(ended(Outcome::ConnectFailed), None);
    backend.act(note, &mut around(&b, &mut Vec::new(), &mut out, START));
    assert!(backend.out.is_none());
    assert!(!backend.ready(START + ms(20), &b.settings) && backend.ready(START + ms(100), &b.settings));
}

#[test]
fn a_full_backend_rests() {
    let (mut b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    b.tier.took.add(40.0, 1.0);
    let mut backend = Backend { in_flight: 1.0, ..Backend::default() };
    backend.ended(&ended(Outcome::Full), None, &mut around(&b, &mut inbox, &mut out, START));
    assert!(!backend.ready(START, &b.settings));
    assert!(backend.ready(START + ms(40), &b.settings));
}

#[test]
fn a_cold_backend_waits_for_credit_and_gets_one_at_a_time() {
    let (b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    let mut backend = Backend { listing: listing(0), ..Backend::default() };
    let cold = Listing { started: Some(START), ..listing(0) };
    backend.act(BackendNote::Listed(cold), &mut around(&b, &mut inbox, &mut out, START));
    assert!(!backend.ready(START, &b.settings));
    backend.credit = 1.0;
    assert!(backend.ready(START, &b.settings));
    backend.in_flight = 1.0;
    assert!(!backend.ready(START, &b.settings));
}

#[test]
fn a_cold_backends_credit_grows_slower_than_what_it_bears() {
    let (mut b, mut inbox, mut out) = (balancer(Effect::Safe, 4), Vec::new(), Vec::new());
    let cold =
        SlowStart { initial_share: 0.2, ramp: ms(10_000), overload_ratio: 3.0, overload_window: ms(2000) };
    (b.settings.slow_start, b.tier.rate) = (cold, 10.0);
    let mut backend =
        Backend { listing: Listing { started: Some(START), ..listing(0) }, ..Backend::default() };
    backend.tick(&mut around(&b, &mut inbox, &mut out, START));
    assert!(backend.credit > 0.0 && backend.credit < 0.2 * 3.0 * 10.0 / TICKS_PER_S);
}

/// Guards against the attempt that an answer ends passing for one that others hold there.
#[test]
fn the_report_that_comes_with_an_answer_counts_the_attempt_it_ends() {
    let b = balancer(Effect::Safe, 1);
    let mut backend = Backend { in_flight: 2.0, ..Backend::default() };
    let load = Load { in_flight: Some(5.0), queued: None };
    let end = AttemptEnd { load, ..ended(Outcome::Served) };
    backend.act(BackendNote::Ended(end, None), &mut around(&b, &mut Vec::new(), &mut Vec::new(), START));
    assert_eq!((backend.in_flight, backend.others), (1.0, Some((START, 3.0))));
}

/// Guards against a restarted backend being put out, or thought busy, for what its last run did.
#[test]
fn what_was_sent_before_a_start_tells_nothing_of_the_backend() {
    let b = balancer(Effect::Safe, 1);
    let restarted = Listing { started: Some(START + ms(10)), ..listing(0) };
    let mut backend = Backend { in_flight: 2.0, listing: restarted, ..Backend::default() };
    for (now, strikes) in [(START + ms(50), 0.0), (START + ms(70), 1.0)] {
        let end = AttemptEnd { load: Load { in_flight: Some(5.0), queued: None }, ..ended(Outcome::Broken) };
        backend.act(BackendNote::Ended(end, None), &mut around(&b, &mut Vec::new(), &mut Vec::new(), now));
        assert_eq!((backend.strikes, backend.others.is_some()), (strikes, strikes > 0.0));
    }
    assert_eq!(backend.in_flight, 0.0);
}

#[test]
fn the_pick_takes_the_one_with_less_to_do() {
    let mut b = balancer(Effect::Safe, 2);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.backends.get_mut(&id(0)).unwrap().others = Some((START, 5.0));
    b.backends.get_mut(&id(1)).unwrap().in_flight = 2.0;
    b.backends.get_mut(&id(1)).unwrap().others = Some((START, 0.0));
    assert!((0..20).all(|_| first_pick(&mut b) == Some(id(1))));
}

/// A tier with a full window of samples that took `ms` each.
fn tier(took: i64) -> Tier {
    let mut tier = Tier { limit: 20.0, ..Tier::default() };
    (0..60).for_each(|n| tier.samples.add(START + ms(n * 40), ms(took).ms(), true));
    tier
}

#[test]
fn the_limit_rises_without_a_queue_and_falls_with_one() {
    let mut calm = tier(100);
    calm.update(START + ms(2400), 20.0);
    assert!(calm.limit > 20.0);
    let mut jammed = tier(1000);
    jammed.baseline.add(100.0, 1.0);
    jammed.update(START + ms(2400), 20.0);
    assert!(jammed.limit < 20.0);
}

#[test]
fn much_lateness_lowers_the_limit_where_a_queue_shows_at_all() {
    let mut late = Tier { late: Mean::of(0.3), ..tier(100) };
    late.baseline.add(85.0, 1.0);
    late.update(START + ms(2400), 20.0);
    assert!(late.limit < 20.0);
    let mut heavy = Tier { late: Mean::of(0.3), ..tier(100) };
    heavy.update(START + ms(2400), 20.0);
    assert!(heavy.limit > 20.0);
}

#[test]
fn a_baseline_set_in_a_jam_comes_down_with_the_latency() {
    let mut tier = tier(100);
    tier.baseline.add(1000.0, 1.0);
    tier.update(START + ms(2400), 20.0);
    assert_eq!(tier.baseline.known(), Some(100.0));
}

#[test]
fn a_limit_that_nothing_judges_rises_back_to_its_start() {
    let mut tier = Tier { limit: 4.0, ..Tier::default() };
    (0..200).for_each(|_| tier.update(START, 20.0));
    assert_eq!(tier.limit, 20.0);
}

#[test]
fn a_backend_that_is_out_gets_one_trial_after_its_rest() {
    let b = balancer(Effect::Safe, 4);
    let mut backend = Backend { out: Some(START + ms(1000)), ..Backend::default() };
    assert!(!backend.ready(START + ms(999), &b.settings));
    assert!(backend.ready(START + ms(1000), &b.settings));
    backend.in_flight = 1.0;
    assert!(!backend.ready(START + ms(1000), &b.settings));
}

#[test]
fn shares_are_those_of_the_first_tier() {
    let own = |tier| {
        let settings = Settings { tier, tenant_quotas: vec![8.0], ..Settings::for_classes(Vec::new()) };
        Balancer::new(settings, 1, START, &mut Vec::new()).desk.shares
    };
    assert_eq!((own(0), own(1)), (vec![8.0], vec![]));
}

#[test]
fn who_names_no_tenant_has_no_share_and_without_tenants_there_are_no_shares() {
    let desk = |allowances| {
        let settings = Settings { tenant_quotas: allowances, ..Settings::for_classes(Vec::new()) };
        Balancer::new(settings, 1, START, &mut Vec::new()).desk
    };
    let (mut shared, mut free) = (desk(vec![8.0]), desk(Vec::new()));
    assert!(!shared.goes_beyond(TenantId(0)) && shared.goes_beyond(TenantId::NONE));
    assert!(!free.goes_beyond(TenantId::NONE));
}

/// A balancer that asks the two it drew, with request 1 waiting for their reports.
fn asking() -> Balancer {
    let mut b = balancer(Effect::Safe, 2);
    (b.settings.report_price, b.settings.instances) = (Some(0.001), 9);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.desk.first.push(RequestId(1));
    assert!(b.serve(&mut Vec::new()));
    b
}

#[test]
fn where_instances_outnumber_backends_the_two_drawn_are_asked_first() {
    let (mut b, mut out) = (balancer(Effect::Safe, 2), Vec::new());
    (b.settings.report_price, b.settings.instances) = (Some(0.001), 9);
    b.handle(START, Event::RequestReceived(request(1)), &mut out);
    assert_eq!(out.iter().filter(|action| matches!(action, Action::Check { .. })).count(), 2);
    assert!(!out.iter().any(|action| matches!(action, Action::Attempt { .. })));
}

#[test]
fn the_less_busy_of_the_two_asked_gets_the_request() {
    let mut b = asking();
    let at = START + ms(1);
    b.backends.get_mut(&id(0)).unwrap().others = Some((at, 3.0));
    b.backends.get_mut(&id(1)).unwrap().others = Some((at, 0.0));
    assert_eq!(b.answered(RequestId(1)), Some(id(1)));
}

#[test]
fn a_backend_that_does_not_say_what_it_holds_is_not_waited_for_long() {
    let mut b = asking();
    b.backends.get_mut(&id(1)).unwrap().others = Some((START + ms(1), 3.0));
    b.now = START + ms(2);
    assert_eq!(b.answered(RequestId(1)), None);
    b.now = START + ms(20);
    assert_eq!(b.answered(RequestId(1)), Some(id(1)));
}

#[test]
fn a_backend_asked_and_then_forgotten_is_not_sent_to() {
    let mut b = asking();
    b.backends.remove(&id(0));
    b.sampler = BackendSampler::default();
    b.now = START + ms(20);
    assert_eq!(b.answered(RequestId(1)), Some(id(1)));
}

/// Draws from 12 backends, of which those below 3 are nearby, with only backend 7 open.
fn draws(width: usize, near: bool, through_all: bool) -> usize {
    let all = (0..12).map(|n| Listing { zone: ZoneId(n / 3), ..listing(n as u8) });
    let (sampler, mut rng) = (BackendSampler::new(all, ZoneId(0), width as f64, 0), Rand32::new(1));
    (0..20).filter_map(|_| sampler.draw(&mut rng, near, through_all, |b| b == id(7))).count()
}

#[test]
fn a_draw_finds_the_one_that_is_open_outside_its_own_part_too() {
    assert!(draws(12, false, false) > 10 && draws(3, false, false) > 10);
    assert_eq!((draws(3, false, true), draws(3, true, false)), (20, 0));
}

#[test]
fn of_many_instances_each_keeps_to_a_part_of_the_backends_and_all_are_kept_to() {
    let mut kept = std::collections::BTreeMap::<_, usize>::new();
    for ordinal in 0..100 {
        let mut b = balancer(Effect::Safe, 20);
        (b.settings.instances, b.settings.ordinal) = (100, ordinal);
        b.desk.held.insert(RequestId(1), held(Effect::Safe));
        let own: std::collections::BTreeSet<_> = (0..200).filter_map(|_| first_pick(&mut b)).collect();
        assert!(own.len() <= PART_LEAST as usize);
        own.into_iter().for_each(|id| *kept.entry(id).or_default() += 1);
    }
    assert!(kept.len() == 20 && kept.values().all(|kept| *kept < 60), "{kept:?}");
}

/// Guards against a backend that leaves moving what the others remember, or are connected to.
#[test]
fn what_leaves_the_list_moves_only_what_was_there() {
    let homes = |without: Option<u8>, key| {
        let all = (0..12).filter(|n| Some(*n) != without).map(listing);
        BackendSampler::new(all, ZoneId(0), 3.0, 0).homes(key, 2, |_| true)
    };
    for key in 1..200 {
        let (before, after) = (homes(None, key), homes(Some(7), key));
        let kept: Vec<_> = before.iter().filter(|home| **home != id(7)).collect();
        assert!(kept.iter().all(|home| after.contains(home)), "{key}: {before:?} {after:?}");
    }
}

fn keyed(key: u64, backends: u8) -> Balancer {
    let mut b = balancer(Effect::Safe, backends);
    b.settings.key_affinity = true;
    b.desk.held.insert(RequestId(1), Held { key: Some(key), ..held(Effect::Safe) });
    b
}

#[test]
fn a_key_has_one_home_until_it_is_busy_and_more_where_it_is_much_of_the_traffic() {
    let mut b = keyed(5, 20);
    (100..160).for_each(|other| b.desk.keys.add(other));
    let homes =
        |b: &mut Balancer| (0..100).filter_map(|_| first_pick(b)).collect::<std::collections::BTreeSet<_>>();
    let home = homes(&mut b);
    assert_eq!(home.len(), 1);
    b.backends.get_mut(home.first().unwrap()).unwrap().in_flight = 9.0;
    assert!(homes(&mut b).is_disjoint(&home));
    let mut b = keyed(5, 20);
    (0..30).for_each(|n| b.desk.keys.add(if n % 3 == 0 { 5 } else { n }));
    assert!(homes(&mut b).len() > 3);
}

#[test]
fn a_further_attempt_goes_elsewhere_than_the_last() {
    let mut b = keyed(5, 20);
    let home = first_pick(&mut b);
    b.desk.held.get_mut(&RequestId(1)).unwrap().last = home;
    assert!(first_pick(&mut b) != home);
    (1..20).for_each(|n| drop(b.backends.remove(&id(n))));
    b.sampler = BackendSampler::default();
    assert!(first_pick(&mut b) == Some(id(0)));
}

#[test]
fn of_two_idle_backends_the_larger_is_picked() {
    let mut b = balancer(Effect::Safe, 2);
    b.tier.size = 2.0;
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    b.backends.get_mut(&id(0)).unwrap().listing.size = 3.0;
    assert!((0..20).all(|_| first_pick(&mut b) == Some(id(0))));
}

#[test]
fn what_is_nearby_and_busy_is_weighed_against_the_unseen_load_far_away() {
    let mut b = balancer(Effect::Safe, 2);
    (b.settings.cross_zone_priced, b.tier.in_flight) = (true, 4.0);
    b.sampler = BackendSampler::new([listing(0), listing(1)].into_iter(), ZoneId(0), 2.0, 0);
    let mut prefers_near = |near| {
        b.backends.get_mut(&id(0)).unwrap().in_flight = near;
        b.load_of(id(0)) < b.load_of(id(1))
    };
    assert!(prefers_near(2.0) && !prefers_near(3.0));
}

#[test]
fn attempts_that_are_lost_lower_the_limit_only_where_answers_show_a_queue() {
    let lossy = |took: i64| {
        let mut tier = tier(took);
        (0..12).for_each(|n| tier.samples.add(START + ms(2390 + n), 1200.0, false));
        tier.baseline.add(100.0, 1.0);
        tier.update(START + ms(2410), 20.0);
        tier.limit
    };
    assert!(lossy(100) > 20.0 && lossy(300) < 20.0);
}

#[test]
fn a_larger_backend_is_drawn_more_often() {
    let all = [listing(0), Listing { size: 3.0, ..listing(1) }].into_iter();
    let (sampler, mut rng) = (BackendSampler::new(all, ZoneId(0), 2.0, 0), Rand32::new(1));
    let large = (0..400).filter(|_| sampler.draw(&mut rng, false, false, |_| true) == Some(id(1))).count();
    assert!((260..340).contains(&large));
}

#[test]
fn what_staff_bar_gets_nothing_until_it_is_called_back_and_then_starts_cold() {
    let mut balancer = balancer(Effect::Safe, 2);
    let (mut out, mut now) = (Vec::new(), START);
    let bar = |barred| Event::SetDisabled { backend: id(0), disabled: barred };
    balancer.handle(now, bar(true), &mut out);
    assert_eq!(out, [Action::Withdraw { backend: id(0) }]);
    // Nothing but the call back lifts it: not a list, and not one that told of a restart.
    let restarted = Listing { started: Some(START), ..listing(0) };
    balancer.handle(now, Event::ListReceived { full: true, listings: vec![restarted, listing(1)] }, &mut out);
    // How many of these are sent to it; each is served at once.
    let sent = |balancer: &mut Balancer, now, numbers: std::ops::Range<u32>| {
        let to = numbers.map(|n| {
            let mut out = Vec::new();
            let taken = Request { deadline: now + ms(500), ..request(n) };
            balancer.handle(now, Event::RequestReceived(taken), &mut out);
            let attempt = out.iter().find_map(|action| match action {
                Action::Attempt { backend, .. } => Some(*backend),
                _ => None,
            });
            let backend = attempt.expect("one of the two is open");
            let done = AttemptEnd {
                request: RequestId(n.into()),
                backend,
                answered: true,
                ..ended(Outcome::Served)
            };
            balancer.handle(now, Event::AttemptEnded(done), &mut out);
            backend
        });
        to.filter(|backend| *backend == id(0)).count()
    };
    assert_eq!(sent(&mut balancer, now, 0..50), 0);
    assert_eq!(balancer.excluded_count(), 1);
    balancer.handle(now, bar(true), &mut out);
    balancer.handle(now, bar(false), &mut out);
    assert_eq!((balancer.excluded_count(), out.last()), (0, Some(&Action::CloseIdle { backend: id(0) })));
    let back = &balancer.backends[&id(0)];
    assert_eq!((back.started(), back.cap, back.ready(now, &balancer.settings)), (Some(now), Some(1.0), true));
    for _ in 0..20 {
        now = now + TICK;
        balancer.handle(now, Event::TimerExpired(MARK_TICK), &mut out);
    }
    assert!(sent(&mut balancer, now, 50..100) > 0);
}

#[test]
fn with_all_backends_barred_what_waits_is_refused_at_once() {
    let mut balancer = balancer(Effect::Safe, 1);
    let mut out = Vec::new();
    balancer.handle(START, Event::SetDisabled { backend: id(0), disabled: true }, &mut out);
    balancer.handle(START, Event::RequestReceived(request(1)), &mut out);
    assert!(matches!(out.last(), Some(Action::Refuse { .. })), "{out:?}");
}

#[test]
fn a_request_that_is_not_whole_counts_nowhere_and_its_time_begins_with_its_last_byte() {
    let mut balancer = balancer(Effect::AtMostOnce, 1);
    let (mut out, later) = (Vec::new(), START + ms(3000));
    balancer.handle(START, Event::RequestReceived(Request { complete: false, ..request(1) }), &mut out);
    assert!(matches!(out.last(), Some(Action::Attempt { .. })), "{out:?}");
    assert_eq!((balancer.backends[&id(0)].in_flight, balancer.tier.in_flight), (0.0, 0.0));
    // Its own timer comes long before its last byte, and ends nothing.
    out.clear();
    balancer.handle(START + ms(250), Event::TimerExpired(TimerId(1)), &mut out);
    assert_eq!(out, []);
    balancer.handle(
        later,
        Event::RequestComplete { request: RequestId(1), deadline: later + ms(500) },
        &mut out,
    );
    let more = |action: &Action| matches!(action, Action::SetTimeout { timeout, .. } if *timeout > ms(150));
    assert!(out.iter().any(more), "{out:?}");
    assert_eq!(balancer.tier.in_flight, 1.0);
    balancer.handle(
        later,
        Event::AttemptEnded(AttemptEnd { answered: true, ..ended(Outcome::Served) }),
        &mut out,
    );
    assert_eq!(balancer.tier.in_flight, 0.0);
}

#[test]
fn what_ends_before_it_is_whole_leaves_no_trace_in_flight() {
    for left in [true, false] {
        let mut balancer = balancer(Effect::AtMostOnce, 1);
        let mut out = Vec::new();
        balancer.handle(START, Event::RequestReceived(Request { complete: false, ..request(1) }), &mut out);
        if left {
            balancer.handle(START, Event::ClientGone(RequestId(1)), &mut out);
        }
        // Its bytes are gone: it is refused, and not sent again.
        out.clear();
        balancer.handle(
            START,
            Event::AttemptEnded(AttemptEnd { body_discarded: true, ..ended(Outcome::Withdrawn) }),
            &mut out,
        );
        assert_eq!(out.iter().any(|action| matches!(action, Action::Refuse { .. })), !left, "{out:?}");
        assert!(!out.iter().any(|action| matches!(action, Action::Attempt { .. })), "{out:?}");
        assert_eq!((balancer.backends[&id(0)].in_flight, balancer.tier.in_flight), (0.0, 0.0));
    }
}

#[test]
fn an_answer_that_breaks_off_counts_against_its_backend() {
    let mut balancer = balancer(Effect::Safe, 2);
    balancer.handle(START, Event::ResponseAborted(id(0)), &mut Vec::new());
    assert!(
        balancer.backends[&id(0)].burden(START, &balancer.tier, false, (PRIOR, WORD_FADE))
            > balancer.backends[&id(1)].burden(START, &balancer.tier, false, (PRIOR, WORD_FADE))
    );
}

#[test]
fn what_may_have_run_goes_on_only_as_its_effect_and_the_settings_allow() {
    use Outcome::*;
    let never = [ConnectFailed, NotSent, Withdrawn];
    let all = [Error, Full, TimedOut, ConnectFailed, Broken, Cancelled, NotSent, Withdrawn, Lost, Faulted];
    for (outcome, proves_nothing) in all.into_iter().flat_map(|outcome| [(outcome, false), (outcome, true)]) {
        let ran = !never.contains(&outcome) && (outcome != Full || proves_nothing);
        for effect in [Effect::Safe, by_pod(), Effect::AtMostOnce] {
            let mut balancer = balancer(effect, 4);
            balancer.settings.full_may_have_run = proves_nothing;
            assert_eq!(outcome.may_have_run(&balancer.settings), ran, "{outcome:?}");
            balancer.desk.held.insert(RequestId(1), forwarded(effect));
            let mut out = Vec::new();
            balancer.handle(START + ms(1), Event::AttemptEnded(ended(outcome)), &mut out);
            let to = out.iter().find_map(|action| match action {
                Action::Attempt { backend, .. } => Some(*backend),
                _ => None,
            });
            // The pod of backend 0 holds backend 1 as well.
            let inside = to.is_none_or(|to| [id(0), id(1)].contains(&to));
            let turned = out.iter().any(|action| matches!(action, Action::Refuse { .. }));
            let case = format!("{outcome:?} {effect:?} {proves_nothing}: {out:?}");
            match effect {
                Effect::AtMostOnce if ran => assert!(to.is_none() && !turned, "{case}"),
                Effect::Keyed { .. } if ran => assert!(inside && !turned, "{case}"),
                _ => assert!(to.is_some() || turned, "{case}"),
            }
        }
    }
}

/// Guards against a limit of whole calls that can't bind where an instance's even part is less than one.
#[test]
fn where_instances_outnumber_backends_what_these_report_turns_requests_back() {
    let taken = |held: f64, instances: usize| {
        let mut b = balancer(Effect::Safe, 4);
        b.settings.instances = instances;
        b.backends.values_mut().for_each(|b| b.others = Some((START, held)));
        let mut out = Vec::new();
        b.handle(START, Event::TimerExpired(MARK_TICK), &mut out);
        b.handle(START, Event::RequestReceived(request(1)), &mut out);
        !out.iter().any(|action| matches!(action, Action::Refuse { .. }))
    };
    assert!(taken(30.0, 1) && taken(1.0, 40));
    assert!(!taken(30.0, 40));
}

#[test]
fn an_old_report_counts_for_little_in_the_mean_of_all() {
    let mut b = balancer(Effect::Safe, 2);
    b.backends.get_mut(&id(0)).unwrap().others = Some((START, 40.0));
    let now = START + ms(20_000);
    b.backends.get_mut(&id(1)).unwrap().others = Some((now, 2.0));
    let TierNote::Tick { others, .. } = census(b.backends.values(), now) else { panic!() };
    assert!(others < 2.0, "{others}");
}

/// Two instances of many; the first saw backend 0 fail and hold much, and tells the other.
#[test]
fn what_a_peer_saw_turns_picks_away_until_it_is_old() {
    let mut b = balancer(Effect::Safe, 2);
    (b.settings.peer_messages, b.settings.instances, b.tier.crowd) = (true, 8, 4.0);
    b.desk.held.insert(RequestId(1), held(Effect::Safe));
    let word = |age| Observation { backend: id(0), age, in_flight: Some(0.0), failure_ratio: 1.0 };
    let bytes = encode(&Default::default(), [word(ms(100)), word(ms(4000))].into_iter());
    b.handle(START + ms(5000), Event::PeerMessage { from: PeerId(3), bytes }, &mut Vec::new());
    assert!((0..20).all(|_| first_pick(&mut b) == Some(id(1))));
    b.now = START + ms(60_000);
    assert!((0..60).any(|_| first_pick(&mut b) == Some(id(0))));
}

#[test]
fn an_instance_tells_one_other_what_it_saw_and_only_where_peers_may() {
    for (peers, instances, told) in [(true, 5, 1), (true, 1, 0), (false, 5, 0)] {
        let mut b = balancer(Effect::Safe, 2);
        (b.settings.peer_messages, b.settings.instances, b.settings.ordinal) = (peers, instances, 3);
        b.backends.get_mut(&id(1)).unwrap().others = Some((START, 2.0));
        b.desk.keys.add(7);
        let mut out = Vec::new();
        b.handle(START, Event::TimerExpired(MARK_TICK), &mut out);
        assert!(!out.iter().any(|action| matches!(action, Action::SendToPeer { .. })), "nothing was taken");
        b.desk.met = true;
        b.handle(START, Event::TimerExpired(MARK_TICK), &mut out);
        let tells: Vec<_> = out
            .iter()
            .filter_map(|action| match action {
                Action::SendToPeer { to, bytes } => {
                    Some((to.unwrap(), decode(bytes).0.count(), decode(bytes).1.count()))
                }
                _ => None,
            })
            .collect();
        assert_eq!(tells.len(), told);
        assert!(tells.iter().all(|(to, keys, words)| to.0 != 3 && to.0 < 5 && (*keys, *words) == (1, 1)));
    }
}
