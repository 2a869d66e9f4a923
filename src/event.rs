//! What an instance hears and what it may do.

use crate::id::{AttemptNo, BackendId, ClassId, PeerId, PodId, RequestId, TenantId, TimerId, ZoneId};
use crate::peer_message::Observation;
use crate::settings::{Group, Settings};
use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub enum Event {
    /// The list of backends: all of it, or only what changed.
    ListReceived {
        full: bool,
        listings: Vec<Listing>,
    },
    /// A call for the list failed, or the watch on it ended.
    ListFailed,
    RequestReceived(Request),
    /// The answer of a streamed request has begun; the client holds this attempt from here on.
    ResponseStarted {
        request: RequestId,
        backend: BackendId,
        took: Span,
    },
    AttemptEnded(AttemptEnd),
    /// The last byte of a request that was taken before has come, and its time runs from here.
    RequestComplete {
        request: RequestId,
        deadline: Time,
    },
    /// An answer that had begun broke off, after its request had ended as served.
    ResponseAborted(BackendId),
    /// This machine can't send to a backend for the moment: its silence says nothing of it.
    SendFailed(BackendId),
    /// The client no longer waits; no answer is owed.
    ClientGone(RequestId),
    TimerExpired(TimerId),
    CheckEnded {
        backend: BackendId,
        outcome: Outcome,
        took: Span,
        load: Load,
    },
    /// Staff leave a backend out, or let it serve again, whatever the list says.
    SetDisabled {
        backend: BackendId,
        disabled: bool,
    },
    /// How many instances the tier is to be divided by from here on, and this one's number or name among them. An
    /// adapter that has nothing to tell of it never says so.
    InstancesChanged {
        instances: usize,
        ordinal: usize,
    },
    PeerMessage {
        from: PeerId,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub pod: PodId,
    pub condition: Condition,
    /// When its process last started; `None` is long ago.
    pub started: Option<Time>,
    /// What it can do, to set against other backends' figures.
    pub size: f64,
}

impl Listing {
    /// Whether it drops repeats of what the other has run, for a class with this group.
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
    /// What it is about; requests with one key belong together.
    pub key: Option<u64>,
    /// When the client gives this try up.
    pub deadline: Time,
    /// A rough guess of its work.
    pub cost: Option<Span>,
    /// Its last byte has come; if not, `RequestComplete` follows, and until then nothing runs.
    pub complete: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: AttemptNo,
    pub backend: BackendId,
    pub outcome: Outcome,
    /// The request has its final answer, by this outcome or earlier.
    pub answered: bool,
    /// Its bytes are no longer held, so that it can't be sent again.
    pub body_discarded: bool,
    pub took: Span,
    pub load: Load,
}

impl AttemptEnd {
    /// The latency that counts for it, if any, and whether it was in time. A full answer counts as a time-out, and
    /// both as one that had not waited: guards against the short time-outs of what waited long passing for quick
    /// answers.
    pub fn sample(&self, target: Span) -> Option<(Span, bool)> {
        match self.outcome {
            Outcome::Full | Outcome::TimedOut => Some((target.max(self.took), false)),
            Outcome::Served => Some((self.took, self.took < target)),
            _ => None,
        }
    }

    /// Whether it was sent before the backend's process last started, and so tells nothing of that.
    pub fn precedes(&self, listing: &Listing, now: Time) -> bool {
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
    /// Not sent, since the backend takes nothing new.
    Withdrawn,
    /// A connection that had stood idle broke under it, which says nothing of the backend. It may have run.
    Lost,
    /// The backend says that the request itself can't be used, which no other backend would change.
    Faulted,
}

impl Outcome {
    /// Whether it says neither that the backend does well nor that it fails.
    pub fn is_neutral(self) -> bool {
        use Outcome::{Cancelled, Faulted, Full, Lost, NotSent, Withdrawn};
        matches!(self, Cancelled | Faulted | Full | Lost | NotSent | Withdrawn)
    }

    /// Whether the request may have run, or may run yet. All that asks this asks here.
    pub fn may_have_run(self, settings: &Settings) -> bool {
        match self {
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withdrawn => false,
            Outcome::Full => settings.full_may_have_run,
            _ => true,
        }
    }
}

/// A backend's own report of how many requests it holds and how many of them wait, if it says so.
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
        /// It may not begin from then on: its repeats are dropped no longer.
        start_by: Option<Time>,
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
    /// The attempt that is out has so much more time from here.
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
    /// Call off what is on its way to a backend and of which nothing is written, as never sent.
    Withdraw {
        backend: BackendId,
    },
    /// Tell one peer, or all of them.
    SendToPeer {
        to: Option<PeerId>,
        bytes: Vec<u8>,
    },
    WatchList {
        on: bool,
    },
    FetchList,
    Log(String),
}

/// Why a request gets no backend's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The limit has no room for it, nor for it to wait.
    Overloaded,
    /// No answer can be expected in the time that is left.
    TooLate,
    /// Its time is over.
    OutOfTime,
    /// Staff have disabled every backend.
    AllDisabled,
    /// The proxy itself could not send the attempt.
    NotSent,
    /// An attempt failed which may have run, and the request may run only once.
    MayHaveRun,
    /// An attempt failed, and no further one is allowed or paid for.
    AttemptsSpent,
}

/// What a backend's actor finds in its inbox.
pub(crate) enum BackendNote {
    Listed(Listing),
    Sent,
    /// An answer of its broke off.
    Broke,
    /// What was to be sent to it waits here.
    Unsent,
    Began(Span),
    /// An outcome, and the latency that counts for it, if any: how long, and whether it was in time.
    Ended(AttemptEnd, Option<(Span, bool)>),
    /// How a check ended, and the report that came with it.
    Checked(Outcome, Load),
    /// What another instance saw of it.
    Told(Observation),
    /// It may serve again, after staff had left it out.
    Back,
    Tick,
}

/// What the tier's actor finds in its inbox.
#[derive(Clone)]
pub(crate) enum TierNote {
    /// A latency, whether it is that of an answer in time, and whether it was seen whole.
    Sample(Span, bool, bool),
    /// 1 for what failed, 0 for what did not, and in which zone.
    Verdict(f64, ZoneId),
    /// So much more is in flight at backends that are not out.
    Holds(f64),
    /// How many backends are listed as ready, how many of those are out, and the mean of their reports.
    Tick { ready: f64, out: f64, others: f64, middle: f64, size: f64 },
}
