//! Interned names of services, halls and regions, which many servers share.

use std::{collections, rc};

/// Stores one copy of each name.
#[derive(Debug, Default)]
pub(super) struct NameInterner {
    names: collections::HashSet<rc::Rc<str>>,
}

impl NameInterner {
    /// The shared copy of `name`.
    pub(super) fn get(&mut self, name: &str) -> rc::Rc<str> {
        if let Some(known) = self.names.get(name) {
            return rc::Rc::clone(known);
        }
        let shared: rc::Rc<str> = name.into();
        self.names.insert(rc::Rc::clone(&shared));
        shared
    }

    /// Drops names that no server uses any more. Store entries may contain arbitrary names, so the
    /// set would grow without bound.
    pub(super) fn remove_unused(&mut self) {
        self.names.retain(|name| rc::Rc::strong_count(name) > 1);
    }
}
