//! The platform's lagging list of live and leaving VMs.

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

use crate::http_call::{HttpAnswer, HttpCaller};
use crate::table::{StoreError, StoreResult};

/// The list is read every 2 s; a later answer is of no use.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The list of the planned 2,110 VMs is about 100 KB.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// The list of VMs. A VM that is not in it is gone, or new.
pub trait VmList {
    /// Reads the list.
    fn read(&self) -> LocalBoxFuture<'_, StoreResult<BTreeMap<VmId, VmState>>>;
}

/// A list that was read, and the tag by which the service knows it.
#[derive(Clone, Debug)]
struct TaggedList {
    tag: String,
    vms: BTreeMap<VmId, VmState>,
}

/// The list as JSON over HTTP.
///
/// Keeps the last list and asks with its `ETag`, so that an unchanged list costs one answer without
/// a body. Clones share the last list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    caller: HttpCaller,
    last: Rc<RefCell<Option<TaggedList>>>,
}

impl HttpVmList {
    /// Reads the list at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        let caller = HttpCaller::new(client, url, CALL_TIMEOUT, MAX_RESPONSE_BYTES);
        Self { caller, last: Rc::default() }
    }

    /// Gives up a call after `timeout`; 2 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.caller.timeout = timeout;
        self
    }

    /// Gives up an answer larger than this; 4 MiB by default.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.caller.max_response_bytes = max_response_bytes;
        self
    }

    async fn fetch(&self) -> StoreResult<BTreeMap<VmId, VmState>> {
        let known = self.last.borrow().clone();
        let tag = known.as_ref().map(|list| ("if-none-match", list.tag.as_str()));
        let answer =
            self.caller.call("vm_list", Method::GET, "", tag.as_slice(), Bytes::new()).await?;
        match (answer.status, known) {
            (200, _) => self.keep(&answer),
            // The list for the tag that was sent, even if another call read a newer one meanwhile.
            (304, Some(list)) => Ok(list.vms),
            (status, _) => {
                Err(Report::new(StoreError::Malformed).attach(format!("status {status}")))
            }
        }
    }

    fn keep(&self, answer: &HttpAnswer) -> StoreResult<BTreeMap<VmId, VmState>> {
        let reply: VmListReply =
            serde_json::from_slice(&answer.body).change_context(StoreError::Malformed)?;
        let vms: BTreeMap<_, _> =
            reply.vms.iter().map(|entry| (VmId::from(&*entry.vm), vm_state(entry))).collect();
        let tag = answer.headers.get("etag").and_then(|value| value.to_str().ok());
        *self.last.borrow_mut() =
            tag.map(|tag| TaggedList { tag: tag.to_owned(), vms: vms.clone() });
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
