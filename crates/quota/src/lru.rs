//! A map by name with least-recently-used order.

use compact_str::CompactString;
use std::collections::HashMap;

const NIL: u32 = u32::MAX;

/// A generational handle: it no longer resolves after its entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Handle {
    index: u32,
    generation: u32,
}

#[derive(Clone, Debug)]
struct Node<V> {
    name: CompactString,
    value: Option<V>,
    generation: u32,
    newer: u32,
    older: u32,
}

/// A map by name whose entries form a list in order of use. Callers bound its size.
#[derive(Clone, Debug)]
pub(crate) struct LruMap<V> {
    by_name: HashMap<CompactString, u32>,
    nodes: Vec<Node<V>>,
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
}

impl<V> LruMap<V> {
    pub(crate) fn new() -> LruMap<V> {
        LruMap { by_name: HashMap::new(), nodes: Vec::new(), free: Vec::new(), newest: NIL, oldest: NIL }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(crate) fn find(&self, name: &str) -> Option<Handle> {
        self.by_name.get(name).map(|index| self.handle(*index))
    }

    pub(crate) fn get(&self, handle: Handle) -> Option<(&CompactString, &V)> {
        let node = self.nodes.get(handle.index as usize)?;
        (node.generation == handle.generation).then_some(())?;
        Some((&node.name, node.value.as_ref()?))
    }

    pub(crate) fn get_mut(&mut self, handle: Handle) -> Option<&mut V> {
        let node = self.nodes.get_mut(handle.index as usize)?;
        (node.generation == handle.generation).then_some(())?;
        node.value.as_mut()
    }

    /// The least recently used entry.
    pub(crate) fn oldest(&self) -> Option<Handle> {
        (self.oldest != NIL).then(|| self.handle(self.oldest))
    }

    /// Adds an entry as the most recently used. The name must not exist yet.
    pub(crate) fn insert(&mut self, name: CompactString, value: V) -> Handle {
        let index = self.free.pop().unwrap_or_else(|| self.grow());
        let node = &mut self.nodes[index as usize];
        node.name = name.clone();
        node.value = Some(value);
        self.by_name.insert(name, index);
        self.link_newest(index);
        self.handle(index)
    }

    pub(crate) fn remove(&mut self, handle: Handle) -> Option<V> {
        self.get(handle)?;
        self.unlink(handle.index);
        let node = &mut self.nodes[handle.index as usize];
        node.generation = node.generation.wrapping_add(1);
        let name = std::mem::take(&mut node.name);
        let value = node.value.take();
        self.by_name.remove(&name);
        self.free.push(handle.index);
        value
    }

    /// Marks an entry as the most recently used.
    pub(crate) fn touch(&mut self, handle: Handle) {
        if self.newest != handle.index && self.get(handle).is_some() {
            self.unlink(handle.index);
            self.link_newest(handle.index);
        }
    }

    fn handle(&self, index: u32) -> Handle {
        Handle { index, generation: self.nodes[index as usize].generation }
    }

    fn grow(&mut self) -> u32 {
        let name = CompactString::default();
        self.nodes.push(Node { name, value: None, generation: 0, newer: NIL, older: NIL });
        u32::try_from(self.nodes.len() - 1).expect("fewer than 2^32 entries")
    }

    fn link_newest(&mut self, index: u32) {
        let previous = self.newest;
        self.nodes[index as usize].older = previous;
        self.nodes[index as usize].newer = NIL;
        match self.nodes.get_mut(previous as usize) {
            Some(node) => node.newer = index,
            None => self.oldest = index,
        }
        self.newest = index;
    }

    fn unlink(&mut self, index: u32) {
        let (newer, older) = (self.nodes[index as usize].newer, self.nodes[index as usize].older);
        match self.nodes.get_mut(newer as usize) {
            Some(node) => node.older = older,
            None => self.newest = older,
        }
        match self.nodes.get_mut(older as usize) {
            Some(node) => node.newer = newer,
            None => self.oldest = newer,
        }
    }
}
