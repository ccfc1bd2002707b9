//! Tasks of the process, and what follows when one of them panics: it is logged and counted, and
//! neither the process nor the other tasks end.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

/// Delay before a task that panicked starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Logs and counts each panic of the process.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let reason = panic.to_string().replace('\n', " ");
        log::error!("event=panic reason=\"{reason}\"");
        metrics::counter!("eelgrassdeal_panics_total").increment(1);
    }));
}

/// Runs a task until it returns. It starts again if it panics.
pub async fn run_restarting<F: Future<Output = ()>>(
    name: &'static str,
    mut start: impl FnMut() -> F,
) {
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        log::error!("event=task_restarted task={name}");
        compio::time::sleep(RESTART_DELAY).await;
    }
}

/// Runs a task in the background with [`run_restarting`].
pub(crate) fn spawn_restarting<F: Future<Output = ()> + 'static>(
    name: &'static str,
    start: impl FnMut() -> F + 'static,
) {
    compio::runtime::spawn(run_restarting(name, start)).detach();
}
