//! The platform's list of VMs. It lags behind the actual state of the VMs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use eelgrassdeal_schema::engine::{VmListEntry, VmListReply};
use eelgrassdeal_types::VmId;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::Method;

use crate::bounded_client::{BoundedClient, BufferedResponse};
use crate::table::{StoreError, StoreResult};

/// Default timeout of a call. The list is read every 2 s, so a later response would already be
/// outdated.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The list of the planned 2,110 VMs is assumed to be about 100 KB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// State of a VM according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM is in operation. Any state other than `leaving` is read as this one.
    Live,
    /// The platform will remove the VM.
    Leaving,
}

/// The list of VMs. A VM that is not in the list was removed, or is too new to be listed.
pub trait VmList {
    /// Reads the state of every listed VM.
    fn read(&self) -> LocalBoxFuture<'_, StoreResult<BTreeMap<VmId, VmState>>>;
}

/// The list from the last complete response, with the `ETag` of that response.
#[derive(Clone, Debug)]
struct CachedList {
    tag: String,
    vms: BTreeMap<VmId, VmState>,
}

/// The list of VMs as JSON over HTTP.
///
/// Caches the last list and sends its `ETag` with `If-None-Match`, so that an unchanged list costs
/// only a 304 response without a body. Clones share the cached list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    http_client: BoundedClient,
    cached: Rc<RefCell<Option<CachedList>>>,
}

impl HttpVmList {
    /// Uses the list at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        let http_client = BoundedClient::new(client, url, CALL_TIMEOUT, MAX_RESPONSE_BYTES);
        Self { http_client, cached: Rc::default() }
    }

    /// Sets the timeout of a call; 2 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.http_client.timeout = timeout;
        self
    }

    /// Sets the largest response body that is read; 4 MiB by default.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.http_client.max_response_bytes = max_response_bytes;
        self
    }

    async fn fetch(&self) -> StoreResult<BTreeMap<VmId, VmState>> {
        let cached = self.cached.borrow().clone();
        let tag = cached.as_ref().map(|list| ("if-none-match", list.tag.as_str()));
        let response =
            self.http_client.call("vm_list", Method::GET, "", tag.as_slice(), Bytes::new()).await?;
        match (response.status, cached) {
            (200, _) => self.cache_list(&response),
            // This is the list whose tag was sent, even if another call has cached a newer one
            // since.
            (304, Some(list)) => Ok(list.vms),
            (status, _) => {
                Err(Report::new(StoreError::Malformed).attach(format!("status {status}")))
            }
        }
    }

    fn cache_list(&self, response: &BufferedResponse) -> StoreResult<BTreeMap<VmId, VmState>> {
        let reply: VmListReply =
            serde_json::from_slice(&response.body).change_context(StoreError::Malformed)?;
        let vms: BTreeMap<_, _> =
            reply.vms.iter().map(|entry| (VmId::from(&*entry.vm), vm_state(entry))).collect();
        let tag = response.headers.get("etag").and_then(|value| value.to_str().ok());
        *self.cached.borrow_mut() =
            tag.map(|tag| CachedList { tag: tag.to_owned(), vms: vms.clone() });
        Ok(vms)
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> LocalBoxFuture<'_, StoreResult<BTreeMap<VmId, VmState>>> {
        self.fetch().boxed_local()
    }
}

fn vm_state(entry: &VmListEntry) -> VmState {
    match entry.state.as_str() {
        "leaving" => VmState::Leaving,
        _ => VmState::Live,
    }
}
