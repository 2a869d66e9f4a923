//! The one account of descriptors for connections. Clients and backends draw on the same total, so that neither side's
//! growth can take the process over its limit; each has a share that the other cannot use up.

/// The backends' share is at most this part of all.
const SHARES: usize = 8;

/// The open connections and how many there may be.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBudget {
    clients: usize,
    backends: usize,
    /// Connections of discovery beyond those that descriptors are reserved for.
    extra: usize,
    /// The most connections of all kinds together.
    total: usize,
    /// Connections to backends that are possible however many clients there are. As many stay free for new clients
    /// when backends use more than this.
    backend_share: usize,
}

impl ConnectionBudget {
    pub fn new(total: usize, backend_share: usize) -> ConnectionBudget {
        let backend_share = backend_share.min(total / SHARES).max(1);
        ConnectionBudget { clients: 0, backends: 0, extra: 0, total, backend_share }
    }

    /// Changes the limits; open connections stay.
    pub fn set_limits(&mut self, total: usize, backend_share: usize) {
        let limits = ConnectionBudget::new(total, backend_share);
        (self.total, self.backend_share) = (limits.total, limits.backend_share);
    }

    /// Sets the number of connections beyond the reserved descriptors that are neither clients' nor to backends.
    pub fn set_extra(&mut self, extra: usize) {
        self.extra = extra;
    }

    /// Whether one more client may be accepted.
    pub fn has_client_room(&self) -> bool {
        self.clients + self.backends.max(self.backend_share) + self.extra < self.total
    }

    /// Whether one more connection to a backend may be opened.
    pub fn has_backend_room(&self) -> bool {
        self.backends < self.backend_share || self.open() + self.extra + self.backend_share < self.total
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
