//! Applies the lists and changes that a host reads from the store.

use serde_json::json;

use super::announcements;
use super::expiry_retention::MissingSource;
use super::fleet_change::ChangeSpan;
use super::gossip;
use super::host::EntryHost;
use super::host_gossip;
use super::peer_message::{GoneHost, HostUpdate};
use super::store::{ChangeBatch, ObjectChange, ObjectContent, ObjectKind, StoredObject};
use super::wire::WireProtocol;
use crate::event::EventCode;

/// The revision of a fleet that is not complete. Other hosts never ask for such a state.
const NO_REVISION: u64 = 0;

/// Applies a whole list of a kind, current up to `revision`.
pub(super) fn on_list<W: WireProtocol>(
    host: &EntryHost<W>,
    kind: ObjectKind,
    objects: &[StoredObject],
    revision: u64,
) {
    match kind {
        ObjectKind::Configuration => {
            for object in objects {
                on_configuration(host, object);
            }
        }
        ObjectKind::Servers => {
            host.on_server_list(objects, revision, MissingSource::Store, "store");
        }
        ObjectKind::Evacuations => {
            let halls = objects.iter().map(|object| object.name.clone()).collect();
            host.on_evacuation_list(halls, revision);
        }
        ObjectKind::Rollouts => host.on_rollout_list(objects, revision),
        ObjectKind::Hosts => {
            let records = objects.iter().filter_map(|object| match &object.content {
                ObjectContent::Host(record) => Some(record.clone()),
                _ => None,
            });
            let records: Vec<_> = records.collect();
            host_gossip::add_hosts(host, &records);
            host.peers.borrow_mut().on_entries(&records);
            check_own_entry(host, objects);
        }
        // Not followed: `quarantine_role` reads it once.
        ObjectKind::Quarantine => {}
    }
    announcements::announce_start(host);
}

/// Applies the readable part of a list. Servers that are not in it may be in the rest, so none is
/// removed. The fleet is not current up to any revision then.
pub(super) fn on_incomplete_list<W: WireProtocol>(
    host: &EntryHost<W>,
    kind: ObjectKind,
    objects: &[StoredObject],
) {
    if kind != ObjectKind::Servers || objects.is_empty() {
        return;
    }
    if !host.fleet.borrow().is_listed() {
        host.on_server_list(objects, NO_REVISION, MissingSource::Store, "store");
        return;
    }
    let changes = objects.iter().map(|object| ObjectChange {
        object: object.clone(),
        deleted: false,
    });
    let changes: Vec<ObjectChange> = changes.collect();
    let span = ChangeSpan {
        until: host.fleet.borrow().revision(),
        contiguous: false,
    };
    host.on_server_changes(&changes, span, MissingSource::Store, "store");
}

/// Checks the own entry: a store that returned from an older backup may have lost it, or may hold
/// it at another revision.
fn check_own_entry<W: WireProtocol>(host: &EntryHost<W>, objects: &[StoredObject]) {
    if host.own_entry_revision.get().is_none() {
        return;
    }
    let own_name = &host.settings().name;
    let own = objects.iter().find(|object| object.name == *own_name);
    match own {
        Some(own) => host.own_entry_revision.set(Some(own.revision)),
        None => host.on_own_entry_gone(host.run),
    }
}

/// Applies the changes that a watch reported, and forwards them to the other hosts.
pub(super) fn on_changes<W: WireProtocol>(
    host: &EntryHost<W>,
    kind: ObjectKind,
    batch: &ChangeBatch,
) {
    match kind {
        ObjectKind::Configuration => {
            for change in batch.changes.iter().filter(|change| !change.deleted) {
                on_configuration(host, &change.object);
            }
            announcements::announce_configuration(host);
        }
        ObjectKind::Servers => on_servers(host, batch),
        ObjectKind::Evacuations => {
            for change in &batch.changes {
                let hall = &change.object.name;
                host.on_evacuation_change(hall, change.deleted, batch.revision);
            }
            announcements::announce(host);
        }
        ObjectKind::Rollouts => host.on_rollout_changes(batch),
        ObjectKind::Hosts => on_hosts(host, batch),
        ObjectKind::Quarantine => {}
    }
}

fn on_servers<W: WireProtocol>(host: &EntryHost<W>, batch: &ChangeBatch) {
    let since = host.fleet.borrow().changed();
    let span = ChangeSpan {
        until: batch.revision,
        contiguous: true,
    };
    host.on_server_changes(&batch.changes, span, MissingSource::Store, "store");
    gossip::send_fleet_update(host, since, batch.revision, &batch.changes);
}

fn on_hosts<W: WireProtocol>(host: &EntryHost<W>, batch: &ChangeBatch) {
    let mut update = HostUpdate::default();
    for change in &batch.changes {
        if change.deleted {
            let removed = removed_host(host, &change.object);
            let mut peers = host.peers.borrow_mut();
            peers.on_entry_gone(&removed.name, removed.run);
            drop(peers);
            host_gossip::on_host_gone(host, &removed);
            update.gone.push(removed);
        } else if let ObjectContent::Host(record) = &change.object.content {
            host.peers.borrow_mut().on_entry(record);
            update.joined.push(record.clone());
        }
    }
    host_gossip::add_hosts(host, &update.joined);
    host_gossip::send_host_update(host, update);
}

/// The run whose entry was deleted: the one that the store reports, or else the one that is known.
fn removed_host<W: WireProtocol>(host: &EntryHost<W>, object: &StoredObject) -> GoneHost {
    let run = match &object.content {
        ObjectContent::Host(record) => record.run,
        // The table of peers does not contain the host itself.
        _ if object.name == host.settings().name => host.run,
        _ => host.peers.borrow().run_of(&object.name),
    };
    GoneHost {
        name: object.name.clone(),
        run,
    }
}

fn on_configuration<W: WireProtocol>(host: &EntryHost<W>, object: &StoredObject) {
    match &object.content {
        ObjectContent::Configuration(configuration) => {
            host.install_configuration(configuration, "store");
        }
        ObjectContent::Unreadable(reason) => host.log_event(
            EventCode::ConfigRejected,
            json!({ "object": object.name, "reason": reason }),
        ),
        _ => {}
    }
}
