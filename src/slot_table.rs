//! A table of values by key with small stable indices: an index stays valid as long as its value is
//! in the table.

use std::collections;
use std::hash;

/// The index of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotIndex(usize);

/// A table whose slots are reused only after [`SlotTable::retain`] has removed their value.
#[derive(Debug)]
pub struct SlotTable<K, V> {
    index: collections::HashMap<K, usize>,
    slots: Vec<Option<(K, V)>>,
    free: Vec<usize>,
}

impl<K, V> Default for SlotTable<K, V> {
    fn default() -> Self {
        Self {
            index: collections::HashMap::new(),
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + hash::Hash, V> SlotTable<K, V> {
    /// Returns the slot of a key; a new key gets a value from `make`.
    ///
    /// ```
    /// use ledgespool::slot_table;
    /// let mut table = slot_table::SlotTable::default();
    /// let slot = table.ensure(&"a", || 1);
    /// assert_eq!(table.ensure(&"a", || 2), slot);
    /// assert_eq!(table.get(slot), Some(&1));
    /// ```
    pub fn ensure(&mut self, key: &K, make: impl FnOnce() -> V) -> SlotIndex {
        if let Some(&position) = self.index.get(key) {
            return SlotIndex(position);
        }
        let entry = Some((key.clone(), make()));
        let position = if let Some(position) = self.free.pop() {
            self.slots[position] = entry;
            position
        } else {
            self.slots.push(entry);
            self.slots.len() - 1
        };
        self.index.insert(key.clone(), position);
        SlotIndex(position)
    }

    /// The slot of a key, if it has one.
    #[must_use]
    pub fn slot_of(&self, key: &K) -> Option<SlotIndex> {
        self.index.get(key).copied().map(SlotIndex)
    }

    /// The key of a slot.
    #[must_use]
    pub fn key_of(&self, slot: SlotIndex) -> Option<&K> {
        self.slots.get(slot.0)?.as_ref().map(|(key, _)| key)
    }

    /// The value in a slot.
    #[must_use]
    pub fn get(&self, slot: SlotIndex) -> Option<&V> {
        self.slots.get(slot.0)?.as_ref().map(|(_, value)| value)
    }

    /// The value in a slot, for modification.
    pub fn get_mut(&mut self, slot: SlotIndex) -> Option<&mut V> {
        self.slots.get_mut(slot.0)?.as_mut().map(|(_, value)| value)
    }

    /// Iterates over all values with their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.slots
            .iter_mut()
            .flatten()
            .map(|(key, value)| (&*key, value))
    }

    /// Removes the values for which `keep` returns false and frees their slots.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        for (position, slot) in self.slots.iter_mut().enumerate() {
            let dropped = slot.take_if(|(key, value)| !keep(key, value));
            if let Some((key, _)) = dropped {
                self.index.remove(&key);
                self.free.push(position);
            }
        }
    }
}
