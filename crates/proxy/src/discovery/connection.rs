//! One connection to the discovery agent and the response to the request on it.

use std::io;
use std::net::SocketAddr;

use mio::Registry;

use crate::buffered_stream::BufferedStream;
use crate::http::{self, ResponseHead};
use crate::shared::{IoContext, Owner};

const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// How far a connection has come.
pub enum Progress {
    /// The response is not complete.
    Waiting,
    /// A complete response has arrived.
    Complete,
    /// The connection has ended without a complete response.
    Ended(String),
}

/// A complete response.
pub struct ListResponse {
    pub status: u16,
    /// The agent closes the connection after it.
    pub close: bool,
    pub body: Vec<u8>,
}

/// One connection to the agent.
pub struct ListConnection {
    /// The number by which events of earlier connections are recognized.
    pub number: u32,
    stream: BufferedStream,
    head: Option<ResponseHead>,
}

impl ListConnection {
    pub fn connect(agent: SocketAddr, number: u32, registry: &Registry) -> io::Result<ListConnection> {
        let stream = BufferedStream::connect_to(agent, registry, Owner::Discovery(number).token())?;
        Ok(ListConnection { number, stream, head: None })
    }

    pub fn close(self, registry: &Registry) {
        self.stream.close(registry);
    }

    /// Queues a request, which `advance` writes.
    pub fn request(&mut self, text: &str) {
        self.stream.queue(text.as_bytes());
    }

    /// Writes and reads as far as possible now. Fails if what arrives is no response.
    pub fn advance(&mut self) -> Result<Progress, String> {
        if !self.stream.is_established().map_err(|error| error.to_string())? {
            return Ok(Progress::Waiting);
        }
        let sent = self.stream.flush();
        let read = self.stream.fill(MAX_LIST_BYTES);
        let io_error = sent.err().or(read.err());
        if self.is_response_complete()? {
            return Ok(Progress::Complete);
        }
        if let Some(error) = io_error {
            return Ok(Progress::Ended(error.to_string()));
        }
        Ok(if self.stream.ended {
            Progress::Ended("connection ended".to_string())
        } else {
            Progress::Waiting
        })
    }

    /// Schedules a further `advance` where a failed call asks for one.
    pub fn schedule_retry(&mut self, io: &mut IoContext) {
        io.schedule_retry(&mut self.stream, Owner::Discovery(self.number));
    }

    fn is_response_complete(&mut self) -> Result<bool, String> {
        if self.head.is_none() {
            self.head =
                http::parse_response_head(&self.stream.input).map_err(|error| format!("{error:?}"))?;
        }
        let Some(head) = &mut self.head else { return Ok(false) };
        let body = &self.stream.input[head.length..];
        let complete = head.body.parse_buffered(body, self.stream.ended, MAX_LIST_BYTES);
        Ok(complete.map_err(|error| format!("{error:?}"))?.is_some())
    }

    /// Whether nothing of a response has arrived.
    pub fn has_no_input(&self) -> bool {
        self.stream.input.is_empty()
    }

    /// Whether the agent has closed its side.
    pub fn has_ended(&self) -> bool {
        self.stream.ended
    }

    /// Takes the complete response out of the buffer.
    pub fn take_response(&mut self) -> Option<ListResponse> {
        let head = self.head.take()?;
        let message = self.stream.take_input(head.length + head.body.parsed_len());
        let body = head.body.decode(&message[head.length..]);
        Some(ListResponse { status: head.status, close: head.close, body })
    }
}
