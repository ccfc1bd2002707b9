//! QUIC endpoint of a node: accepts connections of peers and handles their requests.

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
use crate::tls::{TlsConfigs, has_certificate_for};
use crate::{PeerClient, PeerError};

/// Maximum number of open connections of the endpoint, in both directions. Above it, incoming
/// connections are refused. A fleet of the planned size has 410 nodes.
const MAX_CONNECTIONS: usize = 2048;

/// Address, certificates and timeouts of a [`PeerEndpoint`].
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// PEM files: the certificate of this node, issued for its node id, the private key, and the
    /// certificate authority that signs the certificates of all nodes.
    pub tls: TlsSettings,
    /// Timeout of a complete call, and for receiving a complete request of a peer.
    pub request_timeout: Duration,
    /// Time without traffic after which a connection is closed.
    pub idle_timeout: Duration,
}

impl PeerSettings {
    /// Creates settings with a request timeout of 400 ms and an idle timeout of 30 s. The request
    /// timeout equals the interval at which a node sends slot reports to a peer.
    pub fn new(listen: SocketAddr, tls: TlsSettings) -> Self {
        Self {
            listen,
            tls,
            request_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_secs(30),
        }
    }

    /// Sets the timeout of a complete call and for receiving a complete request.
    pub fn with_request_timeout(mut self, timeout: Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the time without traffic after which a connection is closed.
    pub fn with_idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }
}

/// Accepts connections of peers and calls peers, both over one UDP socket.
#[derive(Clone)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
    client: PeerClient,
    counters: CounterTable,
    request_timeout: Duration,
}

impl PeerEndpoint {
    /// Binds the socket. Incoming connections are accepted only once [`Self::serve`] runs.
    ///
    /// # Errors
    ///
    /// [`PeerError::InvalidSettings`] if the TLS files or the idle timeout are not usable, and
    /// [`PeerError::Bind`] if the address cannot be bound.
    pub async fn bind(settings: &PeerSettings) -> Result<Self, Report<PeerError>> {
        let configs = TlsConfigs::load(&settings.tls, settings.idle_timeout)?;
        let mut endpoint = Endpoint::server(settings.listen, configs.server)
            .await
            .change_context(PeerError::Bind)?;
        endpoint.default_client_config = Some(configs.client);
        let counters = CounterTable::default();
        let client = PeerClient::new(endpoint.clone(), settings.request_timeout, counters.clone());
        Ok(Self { endpoint, client, counters, request_timeout: settings.request_timeout })
    }

    /// Address that the endpoint listens on, with the actual port if the settings have port 0.
    ///
    /// # Errors
    ///
    /// [`PeerError::Bind`] if the socket does not report its address.
    pub fn local_address(&self) -> Result<SocketAddr, Report<PeerError>> {
        self.endpoint.local_addr().change_context(PeerError::Bind)
    }

    /// Returns a client that calls peers over this endpoint's socket.
    pub fn client(&self) -> PeerClient {
        self.client.clone()
    }

    /// Accepts connections and replies to each request with the result of `handler`. Returns after
    /// [`Self::close`].
    ///
    /// `handler` is called only if the peer's certificate is for the node that the request names.
    /// The requests of one peer are handled concurrently.
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

    /// Closes all connections and makes [`Self::serve`] return.
    pub fn close(&self) {
        self.client.remove_all_peers();
        self.endpoint.close(VarInt::from_u32(0), b"shutdown");
    }

    async fn serve_connection<H, F>(&self, incoming: Incoming, handler: &H)
    where
        H: Fn(PeerRequest) -> F,
        F: Future<Output = PeerReply>,
    {
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => return log::debug!("handshake with a peer failed: {error}"),
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
                        log::debug!("connection from a peer closed: {error}");
                        break;
                    }
                },
                served = requests.select_next_some() => match served {
                    Ok(peer) if node.is_none() => {
                        self.counters.add_connection(&peer, &connection);
                        node = Some(peer);
                    }
                    Ok(_) => {}
                    Err(error) => log::debug!("request from a peer failed: {error:?}"),
                },
            }
        }
        self.counters.remove_connection(&connection);
    }

    /// Handles one request and returns the node that sent it.
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
        // Without a timeout, a peer that never completes its request would occupy a stream forever.
        let message = compio::time::timeout(self.request_timeout, read_message(&mut receiver))
            .await
            .change_context(PeerError::Timeout)??;
        let request: PeerRequest = decode_message(&message).change_context(PeerError::Malformed)?;
        if !has_certificate_for(connection, &request.node) {
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
