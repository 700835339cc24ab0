//! The compact encoding of a long list of backend servers that hosts send each other.
//!
//! A starting host needs the whole list before it can serve, and hundreds may start at once. Names
//! of services and halls, which most servers share, are written only once.

use super::server::{ServerObject, ServerRecord, ServerState};
use crate::rollout::spec::VersionTag;

/// A list of servers that refer to services and halls by index.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct PackedServers {
    names: Vec<String>,
    servers: Vec<PackedServer>,
}

#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
struct PackedServer {
    id: String,
    born: Option<u64>,
    service: u32,
    address: std::net::SocketAddr,
    hall: u32,
    version: VersionTag,
    slots: u32,
    state: ServerState,
    cold_ms: u64,
    sequence: Option<u64>,
    revision: u64,
}

impl PackedServers {
    /// Packs servers.
    ///
    /// ```
    /// use ledgespool::entry::packed_servers::PackedServers;
    /// assert_eq!(PackedServers::from_objects([]).objects().count(), 0);
    /// ```
    pub fn from_objects(objects: impl IntoIterator<Item = ServerObject>) -> Self {
        let mut packed = Self::default();
        for object in objects {
            let record = object.record;
            let server = PackedServer {
                service: packed.index_of(&record.service),
                hall: packed.index_of(&record.hall),
                id: record.id,
                born: record.born,
                address: record.address,
                version: record.version,
                slots: record.slots,
                state: record.state,
                cold_ms: record.cold_ms,
                sequence: record.sequence,
                revision: object.revision,
            };
            packed.servers.push(server);
        }
        packed
    }

    /// The servers. A server whose service or hall index is out of range, which only a faulty
    /// sender writes, is skipped.
    pub fn objects(&self) -> impl Iterator<Item = ServerObject> {
        self.servers.iter().filter_map(|server| {
            let record = ServerRecord {
                id: server.id.clone(),
                born: server.born,
                service: self.name_at(server.service)?,
                address: server.address,
                hall: self.name_at(server.hall)?,
                version: server.version,
                slots: server.slots,
                state: server.state,
                cold_ms: server.cold_ms,
                sequence: server.sequence,
            };
            Some(ServerObject {
                record,
                revision: server.revision,
            })
        })
    }

    /// There are only a few services and halls, so a linear search is fastest.
    fn index_of(&mut self, name: &str) -> u32 {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    fn name_at(&self, index: u32) -> Option<String> {
        self.names.get(index as usize).cloned()
    }
}
