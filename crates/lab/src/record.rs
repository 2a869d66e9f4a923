//! The event records that the lab's components write, one JSON object per line. The rule checks and the
//! reports read nothing else; `docs/operate/lab.md` lists the fields.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::scenario::FaultKind;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub t: Timestamp,
    #[serde(rename = "part")]
    pub component: String,
    #[serde(flatten)]
    pub kind: RecordKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordKind {
    /// A client wrote the last byte of a request. `due` is the planned time of its first
    /// attempt.
    Sent {
        id: String,
        intent: u64,
        class: String,
        to: String,
        due: Timestamp,
        #[serde(rename = "cut_off")]
        deadline: Timestamp,
        /// 0 for the first attempt.
        #[serde(rename = "try_no")]
        retry_number: u16,
    },
    /// The same request is sent again, since its kept-alive connection closed before any byte of a response.
    #[serde(rename = "sent_again")]
    Resent {
        id: String,
    },
    /// A complete response arrived.
    #[serde(rename = "answered")]
    ResponseReceived {
        id: String,
        status: u16,
        retry_after_ms: Option<f64>,
    },
    /// The connection ended without a complete response.
    #[serde(rename = "lost")]
    ConnectionLost {
        id: String,
        how: String,
    },
    /// The client stopped waiting, of its own accord (`own`) or when its deadline passed.
    GaveUp {
        id: String,
        own: bool,
    },
    /// The request was never sent completely.
    #[serde(rename = "not_taken")]
    SendIncomplete {
        id: String,
        why: String,
    },
    /// Bytes arrived that belong to no request's response.
    #[serde(rename = "unasked")]
    UnsolicitedBytes {
        id: String,
        bytes: usize,
    },
    /// A client's intent (a planned request with its retries) ended, served or not.
    #[serde(rename = "over")]
    IntentFinished {
        intent: u64,
        class: String,
        due: Timestamp,
        #[serde(rename = "honoured")]
        served: bool,
        #[serde(rename = "tries")]
        attempts: u16,
    },

    /// A backend's process started, cold unless `warm` is set.
    Started {
        warm: bool,
        #[serde(rename = "life")]
        generation: u32,
    },
    Stopped {
        how: String,
    },
    /// A complete request arrived; `first` is when its first byte arrived.
    Arrived {
        id: String,
        first: Timestamp,
        class: String,
    },
    #[serde(rename = "began")]
    ProcessingStarted {
        id: String,
    },
    Refused {
        id: String,
        why: String,
    },
    #[serde(rename = "done")]
    Finished {
        id: String,
        status: u16,
    },
    /// The client went away before the request ended.
    #[serde(rename = "dropped")]
    CallerGone {
        id: String,
        began: bool,
    },
    /// A backend calls the next tier through a proxy.
    #[serde(rename = "called")]
    CallSent {
        id: String,
        by: String,
        to: String,
        #[serde(rename = "cut_off")]
        deadline: Timestamp,
    },
    CallEnded {
        id: String,
        status: u16,
    },
    /// The backend was overloaded while cold.
    #[serde(rename = "fell")]
    Overloaded {
        offered: f64,
        bearable: f64,
    },

    /// An agent has a backend's new state ready for a proxy or has written it to the proxy; either counts as
    /// announced.
    #[serde(rename = "told")]
    HealthReported {
        proxy: String,
        host: String,
        health: String,
        seq: u64,
    },

    /// A link was cut or restored, or the connections of a proxy process ended.
    Cut {
        link: String,
        how: String,
    },
    #[serde(rename = "healed")]
    Restored {
        link: String,
    },
    /// A proxy's process started or resumed.
    ProxyUp {
        proxy: String,
    },
    ProxyDown {
        proxy: String,
        how: String,
    },

    Fault {
        text: String,
        on: bool,
        #[serde(default)]
        fault: Option<FaultKind>,
        /// The affected component, or the pattern of the affected components.
        #[serde(default, rename = "befalls")]
        affected: String,
    },
    /// A connection through a link could not be established on its far side.
    #[serde(rename = "not_up")]
    ConnectFailed,
    /// Datagrams and bytes that a proxy sent to others since the last such record, and the datagrams lost on
    /// the way.
    #[serde(rename = "talk")]
    PeerTraffic {
        proxy: String,
        sent: u64,
        bytes: u64,
        lost: u64,
    },
    /// The members that a proxy sees present, itself included, those that it considers dead, and the member
    /// count by which it divides.
    #[serde(rename = "view")]
    MembershipView {
        proxy: String,
        #[serde(rename = "there")]
        present: Vec<String>,
        dead: Vec<String>,
        #[serde(rename = "counted")]
        member_count: u64,
    },
    /// A proxy reported that it holds a duty; its response took `took` microseconds.
    #[serde(rename = "duty")]
    DutyHeld {
        proxy: String,
        duty: String,
        term: u64,
        took: i64,
    },
    /// A tier's simulated network between proxies ran so late that the run is invalid.
    #[serde(rename = "void")]
    RunInvalid {
        text: String,
    },
    /// Lateness of the lab's own timers.
    #[serde(rename = "late")]
    TimerLateness {
        p99_us: i64,
        max_us: i64,
    },
    /// A proxy's processor time under load, in microseconds, and its private memory before and after the
    /// load, in bytes.
    #[serde(rename = "used")]
    ResourceUsage {
        proxy: String,
        cpu_us: u64,
        memory_before: u64,
        memory: u64,
        /// Number of wakeups; the time over which they and the processor time were measured, in microseconds;
        /// and the open descriptors at the end.
        #[serde(default)]
        wakeups: u64,
        #[serde(default)]
        over_us: i64,
        #[serde(default)]
        descriptors: u64,
    },
    /// This many connections are idle from now on.
    #[serde(rename = "idle")]
    IdleConnections {
        open: usize,
        refused: usize,
    },
    Note {
        text: String,
    },
}

impl RecordKind {
    /// The request that the record concerns, if any.
    pub fn id(&self) -> Option<&str> {
        use RecordKind::*;
        match self {
            Sent { id, .. }
            | Resent { id }
            | ResponseReceived { id, .. }
            | ConnectionLost { id, .. }
            | GaveUp { id, .. } => Some(id),
            SendIncomplete { id, .. }
            | UnsolicitedBytes { id, .. }
            | Arrived { id, .. }
            | ProcessingStarted { id } => Some(id),
            Refused { id, .. } | Finished { id, .. } | CallerGone { id, .. } | CallSent { id, .. } => {
                Some(id)
            }
            CallEnded { id, .. } => Some(id),
            _ => None,
        }
    }
}

/// Writes each record immediately, so that the records of a killed component are not lost.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<File>,
    component: String,
}

impl Recorder {
    pub fn open(path: &Path, component: &str) -> io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder { file: Arc::new(file), component: component.to_string() })
    }

    pub fn named(&self, component: &str) -> Recorder {
        Recorder { file: self.file.clone(), component: component.to_string() }
    }

    pub fn write(&self, t: Timestamp, kind: RecordKind) {
        let record = Record { t, component: self.component.clone(), kind };
        let Ok(mut line) = serde_json::to_vec(&record) else { return };
        line.push(b'\n');
        // One write call per record: lines of several writers do not mix in a file opened for appending.
        if let Err(e) = (&*self.file).write_all(&line) {
            tracing::error!(error = %e, "cannot write a record");
        }
    }
}

/// Reads all records of a file, sorted by time. A truncated last line is skipped.
pub fn read(path: &Path) -> Result<Vec<Record>, String> {
    let file = File::open(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let mut records = Vec::new();
    for (number, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|e| format!("{}:{}: {e}", path.display(), number + 1))?;
        match serde_json::from_str::<Record>(&line) {
            Ok(record) => records.push(record),
            Err(e) if e.is_eof() => {}
            Err(e) => return Err(format!("{}:{}: no record: {e}", path.display(), number + 1)),
        }
    }
    records.sort_by_key(|record| record.t);
    Ok(records)
}
