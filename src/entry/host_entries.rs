//! The entries of entry hosts in the store: each host writes its own, and those of hosts that have
//! been silent for long are removed.

use std::{rc, time};

use serde_json::json;

use super::follow;
use super::host::EntryHost;
use super::store::{ObjectStore, StoreFault};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// Hosts that have been silent are looked for this often.
const SWEEP: time::Duration = time::Duration::from_secs(5);

/// Starts the tasks that write and remove entries.
pub(super) fn spawn<W: WireProtocol, S: ObjectStore>(
    host: &rc::Rc<EntryHost<W>>,
    store: &rc::Rc<S>,
) {
    tokio::task::spawn_local(register(rc::Rc::clone(host), rc::Rc::clone(store)));
    tokio::task::spawn_local(sweep(rc::Rc::clone(host), rc::Rc::clone(store)));
}

/// Writes this host's own entry, by which the others meet it.
async fn register<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    let mut pause_ms = follow::FIRST_PAUSE_MS;
    while !host.is_leaving() {
        let record = host.record();
        let call = tokio::time::timeout(follow::CALL_LIMIT, store.put_host(&record));
        if matches!(call.await, Ok(Ok(()))) {
            return;
        }
        follow::pause_up_to(&host, pause_ms).await;
        pause_ms = (pause_ms * 2).min(follow::MAX_PAUSE_MS);
    }
}

/// Removes the entries of hosts that have been silent for long. One host does it for each entry:
/// the live one whose name comes first.
async fn sweep<W: WireProtocol, S: ObjectStore>(host: rc::Rc<EntryHost<W>>, store: rc::Rc<S>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = host.now();
        let own = host.record();
        if host.is_leaving() || !host.peers.borrow().is_first_alive(&own, now) {
            continue;
        }
        let silent = host.peers.borrow().removable(&own.region, now);
        for name in silent {
            let call = tokio::time::timeout(follow::CALL_LIMIT, store.delete_host(&name, None));
            if matches!(call.await, Ok(Ok(()) | Err(StoreFault::Absent))) {
                host.peers.borrow_mut().on_removed(&name);
                host.note(EventCode::MemberDied, json!({ "peer": name }));
            }
        }
    }
}
