//! Which connections stay open when there are too many.

use std::collections::BTreeMap;

use yuccaseam_base::Millis;

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Since when it has no request. `None` while it has one.
    idle_since: Option<Millis>,
    has_had_requests: bool,
    is_closing: bool,
}

/// Open connections, and a limit of their number.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    open: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a connection, unless there are too many.
    pub fn open(&mut self, now: Millis) -> Option<ConnectionId> {
        if self.open.len() >= self.limit {
            return None;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            idle_since: Some(now),
            has_had_requests: false,
            is_closing: false,
        };
        self.open.insert(id, connection);
        Some(id)
    }

    /// Selects an idle connection to close for a new one: first those that never had a request, then those
    /// that have been idle for the longest time. `None` if one is being closed, or all have requests.
    pub fn select_for_close(&mut self) -> Option<ConnectionId> {
        let mut open = self.open.iter();
        if open.any(|(_, connection)| connection.is_closing) {
            return None;
        }
        let idle = self.open.iter_mut().filter_map(|(id, connection)| {
            let since = connection.idle_since?;
            Some((connection.has_had_requests, since, *id, connection))
        });
        let (_, _, id, connection) = idle.min_by_key(|(had, since, id, _)| (*had, *since, *id))?;
        connection.is_closing = true;
        Some(id)
    }

    /// Whether a selected connection may be closed. One that has got a request since stays open.
    pub fn confirm_close(&mut self, id: ConnectionId) -> bool {
        match self.open.get_mut(&id) {
            Some(connection) if connection.idle_since.is_none() => {
                connection.is_closing = false;
                false
            }
            _ => true,
        }
    }

    /// Records that the head of a request has been read.
    pub fn record_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.idle_since = None;
            connection.has_had_requests = true;
        }
    }

    /// Records that a response is complete.
    pub fn record_idle(&mut self, id: ConnectionId, now: Millis) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.idle_since = Some(now);
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}
