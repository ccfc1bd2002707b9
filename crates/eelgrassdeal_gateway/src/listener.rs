//! Listen addresses that are open until a shutdown closes them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{Shutdown, shutdown};

use crate::connection_limit::ConnectionLimit;
use crate::server::{RequestHandler, accept_connections};
use crate::state::GatewayState;

const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// One listen address, whose connections are accepted in the background.
pub(crate) struct OpenListener {
    socket: TcpListener,
    limit: Rc<ConnectionLimit>,
    _accept_task: JoinHandle<()>,
}

impl OpenListener {
    /// Starts to accept the connections of `socket`, as far as `limit` permits.
    pub(crate) fn new<H: RequestHandler>(
        state: &Rc<GatewayState>,
        socket: TcpListener,
        handler: Rc<H>,
        limit: Rc<ConnectionLimit>,
    ) -> Self {
        let accept = accept_connections(state.clone(), socket.clone(), handler, limit.clone());
        Self { socket, limit, _accept_task: compio::runtime::spawn(accept) }
    }

    /// Accepts connections from now on also beyond the limit.
    pub(crate) fn lift_limit(&self) {
        self.limit.lift();
    }

    /// Has the system refuse further connections, once all in its queue are accepted or `deadline` has
    /// passed. Closing a listener resets the connections in its queue, and their requests with them.
    pub(crate) async fn close(self, deadline: Instant) {
        while self.has_queued_connection() && Instant::now() < deadline {
            compio::time::sleep(QUEUE_POLL_INTERVAL).await;
        }
        // Unlike a close, this takes effect also while the accept task uses the socket.
        if let Err(error) = shutdown(&self.socket, Shutdown::Both) {
            log::warn!("event=listener_open reason=\"{error}\"");
        }
    }

    fn has_queued_connection(&self) -> bool {
        let mut sockets = [PollFd::new(&self.socket, PollFlags::IN)];
        poll(&mut sockets, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }
}
