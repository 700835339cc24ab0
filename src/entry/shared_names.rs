//! Names that many servers share: those of services, halls and regions.

use std::{collections, rc};

/// One copy of each name.
#[derive(Debug, Default)]
pub(super) struct SharedNames {
    names: collections::HashSet<rc::Rc<str>>,
}

impl SharedNames {
    /// The one copy of `name`.
    pub(super) fn get(&mut self, name: &str) -> rc::Rc<str> {
        if let Some(known) = self.names.get(name) {
            return rc::Rc::clone(known);
        }
        let shared: rc::Rc<str> = name.into();
        self.names.insert(rc::Rc::clone(&shared));
        shared
    }

    /// Forgets names that no server has any more: entries may name anything.
    pub(super) fn forget_unused(&mut self) {
        self.names.retain(|name| rc::Rc::strong_count(name) > 1);
    }
}
