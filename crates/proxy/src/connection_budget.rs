//! The one account of descriptors for connections. Clients and backends draw on the same total, so that neither side's
//! growth can take the process over its limit; each has a share that the other cannot use up.

/// The open connections and how many there may be.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBudget {
    clients: usize,
    backends: usize,
    /// The most connections of both kinds together.
    total: usize,
    /// Connections to backends that are possible however many clients there are. As many stay free for new clients
    /// when backends use more than this.
    backend_share: usize,
}

impl ConnectionBudget {
    pub fn new(total: usize, backend_share: usize) -> ConnectionBudget {
        ConnectionBudget { clients: 0, backends: 0, total, backend_share }
    }

    /// Changes the limits; open connections stay.
    pub fn set_limits(&mut self, total: usize, backend_share: usize) {
        (self.total, self.backend_share) = (total, backend_share);
    }

    /// Whether one more client may be accepted.
    pub fn has_client_room(&self) -> bool {
        self.clients + self.backends.max(self.backend_share) < self.total
    }

    /// Whether one more connection to a backend may be opened.
    pub fn has_backend_room(&self) -> bool {
        self.backends < self.backend_share || self.open() + self.backend_share < self.total
    }

    /// Whether backends use descriptors that new clients need.
    pub fn is_client_room_borrowed(&self) -> bool {
        self.backends > self.backend_share && !self.has_client_room()
    }

    /// Number of open connections of both kinds.
    pub fn open(&self) -> usize {
        self.clients + self.backends
    }

    pub fn client_opened(&mut self) {
        self.clients += 1;
    }

    pub fn client_closed(&mut self) {
        self.clients -= 1;
    }

    pub fn backend_opened(&mut self) {
        self.backends += 1;
    }

    pub fn backend_closed(&mut self) {
        self.backends -= 1;
    }
}
