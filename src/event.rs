//! Events that the decision module takes in, and actions that it asks its host to carry out.

use crate::id::{AttemptNo, BackendId, ClassId, PeerId, PodId, RequestId, TenantId, TimerId, ZoneId};
use crate::peer_message::Observation;
use crate::settings::{Group, Settings};
use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub enum Event {
    /// The list of backends: the full list, or only the entries that changed.
    ListReceived {
        full: bool,
        listings: Vec<Listing>,
    },
    /// Fetching the list failed, or the watch on it ended.
    ListFailed,
    RequestReceived(Request),
    /// The response of a streamed request has started; from here on the client holds this attempt.
    ResponseStarted {
        request: RequestId,
        backend: BackendId,
        took: Span,
    },
    AttemptEnded(AttemptEnd),
    /// The last byte of a request that was received earlier has come; its time runs from here.
    RequestComplete {
        request: RequestId,
        deadline: Time,
    },
    /// A response that had started broke off, after its request had ended as served.
    ResponseAborted(BackendId),
    /// This machine can't send to a backend at the moment, so the backend's silence says nothing about it.
    SendFailed(BackendId),
    /// The client no longer waits; no response is owed.
    ClientGone(RequestId),
    TimerExpired(TimerId),
    CheckEnded {
        backend: BackendId,
        outcome: Outcome,
        took: Span,
        load: Load,
    },
    /// Operators disable a backend or enable it again, whatever the list says.
    SetDisabled {
        backend: BackendId,
        disabled: bool,
    },
    /// How many instances share the tier from here on, and this instance's number among them; in a fleet a hash
    /// of its name. An adapter without this information never sends the event.
    InstancesChanged {
        instances: usize,
        ordinal: usize,
    },
    PeerMessage {
        from: PeerId,
        bytes: Vec<u8>,
    },
}

/// An entry of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub pod: PodId,
    pub condition: Condition,
    /// When its process last started; `None` means long ago.
    pub started: Option<Time>,
    /// Its capacity relative to other backends.
    pub size: f64,
}

impl Listing {
    /// Whether, for a class with this group, this backend drops repeats of requests that the other has run.
    pub fn shares_repeat_group(&self, other: &Listing, group: Group) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == other.zone,
            Group::Pod => self.pod == other.pod,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: TenantId,
    /// Identifies what the request is about; requests with the same key belong together.
    pub key: Option<u64>,
    /// When the client gives this try up.
    pub deadline: Time,
    /// A rough estimate of its work.
    pub cost: Option<Span>,
    /// Whether its last byte has come. If not, `RequestComplete` follows, and until then nothing runs.
    pub complete: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub backend: BackendId,
    pub outcome: Outcome,
    /// The request has its final response, by this outcome or earlier.
    pub answered: bool,
    /// The bytes of the request are no longer buffered, so it can't be sent again.
    pub body_discarded: bool,
    pub took: Span,
    pub load: Load,
}

impl AttemptEnd {
    /// The latency to record for this attempt, if any, and whether it was in time. A full backend's refusal
    /// counts as a time-out, and both count as at least `target` long: requests that had waited long are sent
    /// with a short time-out, which would otherwise pass for a quick response.
    pub fn latency_sample(&self, target: Span) -> Option<(Span, bool)> {
        match self.outcome {
            Outcome::Full | Outcome::TimedOut => Some((target.max(self.took), false)),
            Outcome::Served => Some((self.took, self.took < target)),
            _ => None,
        }
    }

    /// Whether the attempt was sent before the backend's process last started, and so says nothing about that
    /// process.
    pub fn sent_before_start(&self, listing: &Listing, now: Time) -> bool {
        listing.started.is_some_and(|started| started + self.took > now)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Broken,
    Cancelled,
    NotSent,
    /// Not sent, because the backend accepts nothing new.
    Withdrawn,
    /// A connection that had been idle broke under the attempt, which says nothing about the backend. The
    /// attempt may have run.
    Lost,
    /// The backend says that the request itself is unusable, which no other backend would change.
    Faulted,
}

impl Outcome {
    /// Whether the outcome says neither that the backend does well nor that it fails.
    pub fn is_neutral(self) -> bool {
        use Outcome::{Cancelled, Faulted, Full, Lost, NotSent, Withdrawn};
        matches!(self, Cancelled | Faulted | Full | Lost | NotSent | Withdrawn)
    }

    /// Whether the request may have run, or may still run. This is the only place that decides it.
    pub fn may_have_run(self, settings: &Settings) -> bool {
        match self {
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withdrawn => false,
            Outcome::Full => settings.full_may_have_run,
            _ => true,
        }
    }
}

/// A backend's own report of how many requests it has in flight and how many of them are queued, as far as it
/// says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Attempt {
        request: RequestId,
        backend: BackendId,
        timeout: Span,
        /// The last byte must have reached the backend before this time, because repeats are no longer dropped then.
        deliver_by: Option<Time>,
    },
    Refuse {
        request: RequestId,
        backoff: Option<Span>,
        reason: Reason,
    },
    Fail {
        request: RequestId,
        reason: Reason,
    },
    Cancel {
        request: RequestId,
        attempt: AttemptNo,
    },
    /// The running attempt times out this long from now.
    SetTimeout {
        request: RequestId,
        attempt: AttemptNo,
        timeout: Span,
    },
    SetTimer {
        after: Span,
        id: TimerId,
    },
    Check {
        backend: BackendId,
    },
    CloseIdle {
        backend: BackendId,
    },
    /// Cancel attempts at a backend of which nothing is written yet; they count as never sent.
    Withdraw {
        backend: BackendId,
    },
    /// Send a message to one peer, or to all of them.
    SendToPeer {
        to: Option<PeerId>,
        bytes: Vec<u8>,
    },
    /// Start or stop watching the list of backends.
    WatchList {
        on: bool,
    },
    FetchList,
    Log(String),
}

/// Why a request gets no response from a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The concurrency limit allows neither an attempt now nor queueing the request.
    Overloaded,
    /// No response can be expected in the time that is left.
    TooLate,
    /// Its time is over.
    OutOfTime,
    /// The list names no backend as ready.
    NoBackend,
    /// Operators have disabled every backend.
    AllDisabled,
    /// The proxy itself could not send the attempt.
    NotSent,
    /// An attempt that may have run failed, and the request may run only once.
    MayHaveRun,
    /// An attempt failed, and there is no further one: the number of attempts is limited, the retry budget is
    /// spent, or the request's bytes are no longer buffered.
    AttemptsSpent,
}

/// A message in a backend's inbox.
pub(crate) enum BackendMessage {
    Listed(Listing),
    AttemptSent,
    /// A response of this backend broke off.
    ResponseAborted,
    /// This machine could not send to the backend.
    SendFailed,
    ResponseStarted(Span),
    /// How an attempt ended and the latency to record, if any: how long, and whether it was in time.
    AttemptEnded(AttemptEnd, Option<(Span, bool)>),
    /// How a check ended, and the load report that came with it.
    CheckEnded(Outcome, Load),
    /// What another instance observed of the backend.
    PeerObservation(Observation),
    /// Operators enabled the backend again.
    Enabled,
    Tick,
}

/// A message in the tier's inbox.
#[derive(Clone)]
pub(crate) enum TierMessage {
    /// A latency, whether its response came in time, and whether it is exact rather than a lower bound.
    LatencySample(Span, bool, bool),
    /// 1 for a failure, 0 for none, and the zone of the backend.
    FailureSample(f64, ZoneId),
    /// The change in the number of attempts in flight at backends that are not ejected.
    InFlightChanged(f64),
    /// How many backends are listed as ready, how many of those are ejected, the weighted mean and median of
    /// what they report in flight for others, and their mean size.
    Tick { ready: f64, ejected: f64, mean_others: f64, median_others: f64, mean_size: f64 },
}
