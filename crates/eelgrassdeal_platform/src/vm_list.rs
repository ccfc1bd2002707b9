//! The platform's lagging list of live and leaving VMs.

use std::collections::BTreeMap;
use std::time::Duration;

use cyper::Client;
use eelgrassdeal_schema::engine::VmListReply;
use eelgrassdeal_types::VmId;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::table::{StoreError, StoreResult};
use crate::traffic::{count_control, request_size, response_head_size};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

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

/// The list as JSON over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: Client,
    url: String,
}

impl HttpVmList {
    /// Reads the list at `url`.
    pub fn new(client: Client, url: impl Into<String>) -> Self {
        Self { client, url: url.into() }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> LocalBoxFuture<'_, StoreResult<BTreeMap<VmId, VmState>>> {
        let exchange = async {
            let builder = self.client.get(&self.url).change_context(StoreError::Unreachable)?;
            let response = builder.send().await.change_context(StoreError::Unreachable)?;
            let head = response_head_size(&response);
            let bytes = response.bytes().await.change_context(StoreError::Unreachable)?;
            count_control("vm_list", request_size("/", &[], 0), head + bytes.len());
            let reply: VmListReply =
                serde_json::from_slice(&bytes).change_context(StoreError::Malformed)?;
            Ok(reply.vms.iter().map(|entry| (VmId::from(&*entry.vm), vm_state(entry))).collect())
        };
        compio::time::timeout(CALL_TIMEOUT, exchange)
            .map(|result| result.unwrap_or_else(|_| Err(Report::new(StoreError::Unreachable))))
            .boxed_local()
    }
}

fn vm_state(entry: &eelgrassdeal_schema::engine::VmListEntry) -> VmState {
    match entry.state.as_str() {
        "leaving" => VmState::Leaving,
        _ => VmState::Live,
    }
}
