//! When the next request for the list is due, by how quickly the agent has answered. A state machine without I/O.
//!
//! A request without a response is never given up by a fixed time, since the agent may only be slow. Instead, further
//! requests are sent beside it:
//!
//! - A response that is overdue makes the watch begin anew, since its connection may have died without a word.
//! - Where lists are pushed and an agent that was quick does not respond, requests follow each other until one is
//!   answered, because an agent that is back may answer new requests only.
//! - An agent that is known to be slow gets no more requests than are needed for a change to be told in time: it may
//!   serve them one after the other, so that each delays those behind it.

use sparlug::time::{Span, Time};

use super::concurrency::{Concurrency, ConcurrencyEstimator, ServedRequest};

/// A change counts as told this long after the agent had it.
const TELLING_TIME: Span = Span::from_millis(6_000);
/// What is left of that time for the way there and back, and for a proxy that is held up.
const TELLING_MARGIN: Span = Span::from_millis(250);
/// The longest response time at which one request at a time is enough: a change that one response has just missed
/// is in the next one.
const MAX_SEQUENTIAL_TIME: Span = Span::from_millis(2_850);
/// Long-poll time, which each proxy varies by a quarter up or down: how long the agent may hold a request
/// until it has a newer list. It is short because a connection that dies without being closed shows only by an
/// overdue response.
const LONG_POLL_WAIT: Span = Span::from_millis(1_000);
/// Time for an agent's response beyond the long-poll time.
const PUSHED_GRACE: Span = Span::from_millis(300);
/// Time for the response of a list service beyond the long-poll time. The service handles the requests of all
/// proxies one after the other. A lost request, a pause and the next request have to fit into `TELLING_TIME`: at
/// most 1.25 s of long polling, 2 s of grace and a pause of 1.5 s, which leaves 1.25 s for the response.
const ON_REQUEST_GRACE: Span = Span::from_millis(2_000);
/// The mean pause between requests to a list service that fail. One that is slow gets its requests at the same rate.
const ON_REQUEST_PAUSE: Span = Span::from_millis(1_000);
/// Time between requests while the agent does not respond. It is shorter than the grace for drains, because an agent
/// that is back may respond to new requests only.
const OUTAGE_REQUEST_INTERVAL: Span = Span::from_millis(250);
/// The most requests that wait at a slow agent for which one at a time is enough. The second one is there in case
/// that the connection of the first has died.
const MAX_SEQUENTIAL_REQUESTS: usize = 2;
/// The most requests that wait at a list service that is slow but responds.
const MAX_SLOW_REQUESTS_ON_REQUEST: usize = 3;
/// The most requests that wait at an agent, where lists are pushed, that is slow but responds.
const MAX_SLOW_REQUESTS_PUSHED: usize = 24;
/// A slow agent is silent if it sends nothing for this multiple of the time in which it usually sends a response.
const SILENCE_FACTOR: f64 = 1.25;
/// How much of the longest time without a response, or for one, is remembered with each response.
const MEMORY: f64 = 0.75;

/// What the pacing has to know of a request that has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub at: Time,
    /// How long the agent may hold it until it has a newer list.
    pub poll_wait: Span,
}

/// A response, as far as the pacing is concerned.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTiming {
    pub request: SentRequest,
    /// How many other requests were pending when it was sent.
    pub ahead: usize,
    /// The list was not newer, so that the agent has held the request for the whole long-poll time.
    pub unchanged: bool,
    /// The request that has waited longest, until this response.
    pub oldest_pending: SentRequest,
}

/// How quickly the agent answers, and what follows from that.
pub struct Pacing {
    pushed: bool,
    /// The long-poll time of this proxy's requests.
    long_poll_wait: Span,
    /// The time for a response to a request that was not delayed by others, beyond the long-poll time, if it is more
    /// than the grace: the agent is slow.
    slow_response_time: Option<Span>,
    /// The longest time for which requests were pending and no response came, fading.
    longest_silence: Span,
    last_response_at: Option<Time>,
    concurrency: ConcurrencyEstimator,
    /// Requests have failed since the last response.
    outage: bool,
}

impl Pacing {
    /// `jitter`, from 0 to 1, differs from proxy to proxy, so that they don't all notice a silent agent at once.
    pub fn new(pushed: bool, jitter: f64) -> Pacing {
        Pacing {
            pushed,
            long_poll_wait: LONG_POLL_WAIT.scaled(0.75 + 0.5 * jitter),
            slow_response_time: None,
            longest_silence: Span::ZERO,
            last_response_at: None,
            concurrency: ConcurrencyEstimator::default(),
            outage: false,
        }
    }

    /// Forgets everything, for a new agent.
    pub fn reset(&mut self) {
        self.slow_response_time = None;
        self.longest_silence = Span::ZERO;
        self.last_response_at = None;
        self.concurrency = ConcurrencyEstimator::default();
        self.outage = false;
    }

    pub fn long_poll_wait(&self) -> Span {
        self.long_poll_wait
    }

    /// Whether the agent answers, but takes long.
    pub fn is_slow(&self) -> bool {
        self.slow_response_time.is_some() && !self.outage
    }

    /// Whether requests have failed since the last response.
    pub fn is_outage(&self) -> bool {
        self.outage
    }

    /// How long the agent may hold the next request.
    pub fn next_poll_wait(&self) -> Span {
        match (self.pushed, self.is_slow()) {
            // In an outage a response shows that the agent is back, so it must not wait for a newer list. One that
            // serves a request after the other must not be held up by one that waits.
            (true, slow) if slow || self.outage => Span::ZERO,
            (false, true) => self.slow_wait_on_request(),
            _ => self.long_poll_wait,
        }
    }

    /// Records that a request has failed: its connection has ended, or no response has come in time.
    pub fn record_failure(&mut self) {
        self.outage = true;
    }

    /// Records a response. Returns whether it ends an outage.
    pub fn record_response(&mut self, timing: &ResponseTiming, now: Time) -> bool {
        let silence = now.since(self.silent_since(timing.oldest_pending));
        self.longest_silence = silence.max(self.longest_silence.scaled(MEMORY));
        self.last_response_at = Some(now);
        let served = ServedRequest { requested_at: timing.request.at, answered_at: now, ahead: timing.ahead };
        self.concurrency.record(served, self.slow_response_time);
        self.update_response_time(timing, now);
        std::mem::take(&mut self.outage)
    }

    fn update_response_time(&mut self, timing: &ResponseTiming, now: Time) {
        let took = now.since(timing.request.at);
        let beyond_wait = now.since(timing.request.at + timing.request.poll_wait);
        let was_quick = self.slow_response_time.is_none();
        if beyond_wait <= self.grace() && (timing.unchanged || took <= self.grace() || was_quick) {
            self.slow_response_time = None;
            return;
        }
        // A newer list ends the wait at a time that is not known.
        let response_time = if timing.unchanged { beyond_wait } else { took };
        self.slow_response_time = Some(match self.slow_response_time {
            Some(known) if timing.ahead > 0 => self.response_time_beside_others(known, response_time),
            _ => response_time,
        });
    }

    /// The response time of an agent for which `known` was assumed, after a request that was pending together with
    /// others took `response_time`.
    fn response_time_beside_others(&self, known: Span, response_time: Span) -> Span {
        // The requests to a list service follow each other at the same rate, however long it takes.
        if !self.pushed || self.concurrency.concurrency() == Concurrency::Parallel {
            return response_time.max(known.scaled(MEMORY));
        }
        // The response may have waited for those to other requests.
        known.min(response_time)
    }

    fn grace(&self) -> Span {
        if self.pushed {
            PUSHED_GRACE
        } else {
            ON_REQUEST_GRACE
        }
    }

    /// Since when requests are pending and no response has come.
    fn silent_since(&self, oldest_pending: SentRequest) -> Time {
        // An agent that serves one request after the other has begun this one after its last response.
        let begun_at = self.last_response_at.map_or(oldest_pending.at, |at| at.max(oldest_pending.at));
        begun_at + oldest_pending.poll_wait
    }

    /// When a slow agent that sends nothing has to be taken for silent.
    fn silent_at(&self, oldest_pending: SentRequest) -> Time {
        let shortest = self.long_poll_wait + self.grace();
        let response_time = self.slow_response_time.unwrap_or_default().min(MAX_SEQUENTIAL_TIME);
        let usual = self.longest_silence.max(response_time);
        let patience = usual.scaled(SILENCE_FACTOR).max(shortest).min(TELLING_TIME);
        self.silent_since(oldest_pending) + patience
    }

    /// Whether a further request that is due means that the pending ones have failed.
    pub fn is_silent(&self, pending: &[SentRequest], now: Time) -> bool {
        let (Some(oldest), Some(newest)) = (pending.first(), pending.last()) else { return false };
        if self.is_slow() {
            return now >= self.silent_at(*oldest);
        }
        self.outage || now >= self.overdue_at(*newest)
    }

    fn overdue_at(&self, request: SentRequest) -> Time {
        request.at + request.poll_wait + self.grace()
    }

    /// When the next request is due although these, the oldest first, have no response; `None` if there are none.
    pub fn next_request_at(&self, pending: &[SentRequest]) -> Option<Time> {
        let (oldest, newest) = (pending.first()?, pending.last()?);
        if self.outage && self.pushed {
            return Some(newest.at + OUTAGE_REQUEST_INTERVAL);
        }
        let slow_response_time = self.slow_response_time.filter(|_| !self.outage);
        Some(match (self.pushed, slow_response_time) {
            (true, Some(response_time)) => {
                self.next_pushed_at(*oldest, *newest, pending.len(), response_time)
            }
            (true, None) => self.overdue_at(*newest),
            (false, Some(_)) => self.next_on_request_at(*oldest, *newest, pending.len()),
            // One that was sent while the service was slow may be held for longer.
            (false, None) => self.overdue_at(*newest).min(newest.at + self.slow_interval_on_request()),
        })
    }

    /// When a slow agent gets the next request, where lists are pushed.
    fn next_pushed_at(
        &self,
        oldest: SentRequest,
        newest: SentRequest,
        pending: usize,
        response_time: Span,
    ) -> Time {
        let silent_at = self.silent_at(oldest);
        let interval = self.slow_interval(response_time);
        let most = match self.concurrency.concurrency() {
            Concurrency::Parallel => MAX_SLOW_REQUESTS_PUSHED,
            Concurrency::Serial => MAX_SEQUENTIAL_REQUESTS,
            Concurrency::Unknown => most_requests(response_time, interval),
        };
        if pending < most {
            (newest.at + interval).min(silent_at.max(newest.at))
        } else {
            silent_at
        }
    }

    /// When a slow list service gets the next request.
    fn next_on_request_at(&self, oldest: SentRequest, newest: SentRequest, pending: usize) -> Time {
        let interval_end = newest.at + self.slow_interval_on_request();
        if pending < MAX_SLOW_REQUESTS_ON_REQUEST {
            interval_end
        } else {
            interval_end.max(self.silent_at(oldest))
        }
    }

    /// Time between requests at a slow list service.
    fn slow_interval_on_request(&self) -> Span {
        self.long_poll_wait + ON_REQUEST_GRACE + ON_REQUEST_PAUSE
    }

    /// How long a slow list service may hold a request. A change that comes between two requests, or that the response
    /// to one has just missed, is told by the next one: the longer the service takes, the longer it has to hold a
    /// request that waits for a change.
    fn slow_wait_on_request(&self) -> Span {
        let interval = self.slow_interval_on_request();
        let response_time = self.slow_response_time.unwrap_or_default();
        let missed = interval.ms() + response_time.ms() + TELLING_MARGIN.ms() - TELLING_TIME.ms();
        // A response that comes sooner than the next request is due would bring that forward.
        let shortest = self.long_poll_wait + ON_REQUEST_PAUSE;
        Span::from_ms(missed.max(0.0)).max(shortest).min(interval)
    }

    /// Time between requests at a slow agent where lists are pushed. A change that one response has just missed is in
    /// that of the next request, which has to come within the telling time.
    fn slow_interval(&self, response_time: Span) -> Span {
        let reopened_after = self.long_poll_wait + PUSHED_GRACE;
        let left = TELLING_TIME.ms() - TELLING_MARGIN.ms() - response_time.ms();
        if left <= 0.0 || self.concurrency.concurrency() == Concurrency::Serial {
            return reopened_after;
        }
        Span::from_ms(left).min(reopened_after).max(OUTAGE_REQUEST_INTERVAL)
    }
}

/// How many requests may be pending at a slow agent where lists are pushed.
fn most_requests(response_time: Span, interval: Span) -> usize {
    if response_time <= MAX_SEQUENTIAL_TIME {
        return MAX_SEQUENTIAL_REQUESTS;
    }
    let overlapping = (response_time.ms() / interval.ms()).ceil() as usize;
    overlapping.clamp(MAX_SEQUENTIAL_REQUESTS, MAX_SLOW_REQUESTS_PUSHED)
}

#[cfg(test)]
mod tests;
