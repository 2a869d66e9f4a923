//! What the parts write down as it happens, one JSON object a line. The ledger and the reports read nothing
//! else; `docs/operate/lab.md` lists the fields.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::At;
use crate::scenario::FaultKind;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub t: At,
    #[serde(rename = "part")]
    pub component: String,
    #[serde(flatten)]
    pub kind: RecordKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordKind {
    /// A client wrote the last byte of a request. `due` is when it meant to send the first try.
    Sent {
        id: String,
        intent: u64,
        class: String,
        to: String,
        due: At,
        cut_off: At,
        try_no: u16,
    },
    /// The same request again, since its kept connection was closed before anything of an answer came.
    #[serde(rename = "sent_again")]
    Resent {
        id: String,
    },
    /// A whole answer came.
    #[serde(rename = "answered")]
    ResponseReceived {
        id: String,
        status: u16,
        retry_after_ms: Option<f64>,
    },
    /// The connection ended with no whole answer.
    #[serde(rename = "lost")]
    ConnectionLost {
        id: String,
        how: String,
    },
    /// The client stopped waiting, of its own accord or when its time was up.
    GaveUp {
        id: String,
        own: bool,
    },
    /// The request never went out whole.
    #[serde(rename = "not_taken")]
    SendIncomplete {
        id: String,
        why: String,
    },
    /// Bytes came that no request asked for.
    #[serde(rename = "unasked")]
    UnsolicitedBytes {
        id: String,
        bytes: usize,
    },
    /// An intent of a client is over, with or without an answer that counts.
    #[serde(rename = "over")]
    IntentFinished {
        intent: u64,
        class: String,
        due: At,
        honoured: bool,
        tries: u16,
    },

    /// A backend's process started; cold from now on unless it says warm.
    Started {
        warm: bool,
        life: u32,
    },
    Stopped {
        how: String,
    },
    /// A request came whole; `first` is when its first byte came.
    Arrived {
        id: String,
        first: At,
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
    /// Its caller went away before it ended.
    #[serde(rename = "dropped")]
    CallerGone {
        id: String,
        began: bool,
    },
    /// A backend calls the next tier, through a proxy.
    #[serde(rename = "called")]
    CallSent {
        id: String,
        by: String,
        to: String,
        cut_off: At,
    },
    CallEnded {
        id: String,
        status: u16,
    },
    /// It was pushed over while cold.
    #[serde(rename = "fell")]
    Overloaded {
        offered: f64,
        bearable: f64,
    },

    /// An agent has for a proxy, or wrote to it, what became of a backend: either counts as told.
    #[serde(rename = "told")]
    HealthReported {
        proxy: String,
        host: String,
        health: String,
        seq: u64,
    },

    /// A link was cut or mended, or the connections of a proxy's life ended.
    Cut {
        link: String,
        how: String,
    },
    #[serde(rename = "healed")]
    Restored {
        link: String,
    },
    /// A proxy's process.
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
        #[serde(default)]
        befalls: String,
    },
    /// A connection through a link did not come up on its far side.
    #[serde(rename = "not_up")]
    ConnectFailed,
    /// What a proxy sent to others since it was last told of, and what of that was lost on the way.
    #[serde(rename = "talk")]
    PeerTraffic {
        proxy: String,
        sent: u64,
        bytes: u64,
        lost: u64,
    },
    /// Whom a proxy sees there, itself included, whom it holds dead, and by how many it divides.
    #[serde(rename = "view")]
    MembershipView {
        proxy: String,
        there: Vec<String>,
        dead: Vec<String>,
        counted: u64,
    },
    /// A proxy says that it holds a duty; the answer took so long, in microseconds.
    #[serde(rename = "duty")]
    DutyHeld {
        proxy: String,
        duty: String,
        term: u64,
        took: i64,
    },
    /// A tier's way between proxies ran so late itself that the run tells nothing.
    #[serde(rename = "void")]
    RunInvalid {
        text: String,
    },
    /// The lab's own lateness: how much later than meant its timers ran.
    #[serde(rename = "late")]
    TimerLateness {
        p99_us: i64,
        max_us: i64,
    },
    /// What a proxy used of the processor under load, in microseconds, and what of the memory was its own before
    /// the load and after it, in bytes.
    #[serde(rename = "used")]
    ResourceUsage {
        proxy: String,
        cpu_us: u64,
        memory_before: u64,
        memory: u64,
        /// How often it woke and over how long that and the processor time were taken; what it held then.
        #[serde(default)]
        wakeups: u64,
        #[serde(default)]
        over_us: i64,
        #[serde(default)]
        descriptors: u64,
    },
    /// So many connections stand idle from here on.
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
    /// The request that it speaks of.
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

/// Writes each record at once: guards against losing what a killed part had seen.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<File>,
    part: String,
}

impl Recorder {
    pub fn open(path: &Path, part: &str) -> io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder { file: Arc::new(file), part: part.to_string() })
    }

    pub fn named(&self, part: &str) -> Recorder {
        Recorder { file: self.file.clone(), part: part.to_string() }
    }

    pub fn write(&self, t: At, what: RecordKind) {
        let record = Record { t, component: self.part.clone(), kind: what };
        let Ok(mut line) = serde_json::to_vec(&record) else { return };
        line.push(b'\n');
        // One call a record: lines of several writers do not mix in an appended file.
        if let Err(e) = (&*self.file).write_all(&line) {
            tracing::error!(error = %e, "a record could not be written");
        }
    }
}

/// Reads all records of a file in the order of time. A last line that was cut short is left out.
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
