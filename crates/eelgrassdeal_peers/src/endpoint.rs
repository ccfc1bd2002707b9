//! The QUIC endpoint of a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::quic::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use eelgrassdeal_schema::peer::{PeerReply, PeerRequest};
use eelgrassdeal_schema::settings::TlsSettings;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::NodeId;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::counters::CounterTable;
use crate::message::{MessageSender, read_message};
use crate::tls::{TlsConfigs, is_certified};
use crate::{PeerClient, PeerError};

/// Connections of all peers together; the planned size has 410 nodes.
const MAX_CONNECTIONS: usize = 2048;

/// How the endpoint listens and calls.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Certificate of this node for its node id, its key, and the authority of all nodes.
    pub tls: TlsSettings,
    /// Time for a whole call, and lifetime of its reply.
    pub request_timeout: Duration,
    /// Time without any message after which a connection is closed.
    pub idle_timeout: Duration,
}

impl PeerSettings {
    /// Settings with a request timeout of 400 ms, the interval between two reports, and an idle
    /// timeout of 30 s.
    pub fn new(listen: SocketAddr, tls: TlsSettings) -> Self {
        Self {
            listen,
            tls,
            request_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_secs(30),
        }
    }

    /// Sets the time for a whole call.
    pub fn with_request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the time without messages after which a connection is closed.
    pub fn with_idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }
}

/// Listens for peers and calls them, over one UDP socket.
#[derive(Clone)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
    client: PeerClient,
    counters: CounterTable,
    request_timeout: Duration,
}

impl PeerEndpoint {
    /// Binds the socket. Peers are not answered before [`Self::serve`].
    ///
    /// # Errors
    ///
    /// `Settings` for unusable TLS files, `Bind` for an address that is taken.
    pub async fn bind(settings: &PeerSettings) -> Result<Self, Report<PeerError>> {
        let configs = TlsConfigs::read(&settings.tls, settings.idle_timeout)?;
        let mut endpoint = Endpoint::server(settings.listen, configs.server)
            .await
            .change_context(PeerError::Bind)?;
        endpoint.default_client_config = Some(configs.client);
        let counters = CounterTable::default();
        let client = PeerClient::new(endpoint.clone(), settings.request_timeout, counters.clone());
        Ok(Self { endpoint, client, counters, request_timeout: settings.request_timeout })
    }

    /// Address that the endpoint listens on.
    ///
    /// # Errors
    ///
    /// `Bind` when the socket is closed.
    pub fn local_address(&self) -> Result<SocketAddr, Report<PeerError>> {
        self.endpoint.local_addr().change_context(PeerError::Bind)
    }

    /// The calling side, which shares the socket.
    pub fn client(&self) -> PeerClient {
        self.client.clone()
    }

    /// Hands each request to `handler` until [`Self::close`].
    ///
    /// `handler` gets requests only from peers whose certificate is for the node that the request
    /// names. The requests of one peer are handled concurrently.
    pub async fn serve<H, F>(&self, handler: H)
    where
        H: Fn(PeerRequest) -> F + 'static,
        F: Future<Output = PeerReply> + 'static,
    {
        let handler = Rc::new(handler);
        while let Some(incoming) = self.endpoint.wait_incoming().await {
            if self.endpoint.open_connections() > MAX_CONNECTIONS {
                incoming.refuse();
                continue;
            }
            let (endpoint, handler) = (self.clone(), handler.clone());
            compio::runtime::spawn(async move {
                endpoint.serve_connection(incoming, &*handler).await;
            })
            .detach();
        }
    }

    /// Closes all connections; [`Self::serve`] returns.
    pub fn close(&self) {
        self.client.forget_all();
        self.endpoint.close(VarInt::from_u32(0), b"shutdown");
    }

    async fn serve_connection<H, F>(&self, incoming: Incoming, handler: &H)
    where
        H: Fn(PeerRequest) -> F,
        F: Future<Output = PeerReply>,
    {
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => return log::debug!("handshake of a peer failed: {error}"),
        };
        let mut requests = FuturesUnordered::new();
        let mut node: Option<NodeId> = None;
        loop {
            futures_util::select! {
                accepted = connection.accept_bi().fuse() => match accepted {
                    Ok((sender, receiver)) => {
                        requests.push(self.serve_request(&connection, sender, receiver, handler));
                    }
                    Err(error) => {
                        log::debug!("connection of a peer ended: {error}");
                        break;
                    }
                },
                served = requests.select_next_some() => match served {
                    Ok(caller) if node.is_none() => {
                        self.counters.open(&caller, &connection);
                        node = Some(caller);
                    }
                    Ok(_) => {}
                    Err(error) => log::debug!("request of a peer failed: {error:?}"),
                },
            }
        }
        self.counters.close(&connection);
    }

    /// Handles one request and returns who sent it.
    async fn serve_request<H, F>(
        &self,
        connection: &Connection,
        sender: SendStream,
        mut receiver: RecvStream,
        handler: &H,
    ) -> Result<NodeId, Report<PeerError>>
    where
        H: Fn(PeerRequest) -> F,
        F: Future<Output = PeerReply>,
    {
        let mut sender = MessageSender::new(sender);
        // A peer that does not finish its request must not hold a stream for ever.
        let message = compio::time::timeout(self.request_timeout, read_message(&mut receiver))
            .await
            .change_context(PeerError::Timeout)??;
        let request: PeerRequest = decode_message(&message).change_context(PeerError::Malformed)?;
        if !is_certified(connection, &request.node) {
            connection.close(VarInt::from_u32(1), b"wrong node");
            return Err(Report::new(PeerError::WrongNode).attach(request.node));
        }
        let node = NodeId::from(request.node.as_str());
        self.counters.count_received(&node, message.len());
        let reply = encode_message(&handler(request).await);
        self.counters.count_sent(&node, reply.len());
        sender.write(reply).await?;
        Ok(node)
    }
}
