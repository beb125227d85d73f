//! Ordered collection with a summary of each subtree, for sums over ranges and for searches that skip
//! ranges in which nothing can match.

use std::ops::Add;

/// Summary of neighbouring entries, such as sums and minima; the default is that of no entries.
pub trait RangeSummary: Copy + Default {
    /// Amount that is summed up ahead of a position.
    type Amount: Copy + Default + Add<Output = Self::Amount>;

    /// Summary of the entries of `self` and of those of `behind`, which follow them.
    fn followed_by(&self, behind: &Self) -> Self;

    /// Sum of the amounts of the entries.
    fn amount(&self) -> Self::Amount;
}

/// Place of an entry, valid until the entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntrySlot(usize);

impl EntrySlot {
    /// The slot before all others.
    pub const FIRST: Self = Self(0);
}

/// Entries that a search is asked about.
#[derive(Debug, Clone, Copy)]
pub struct SearchRange<'a, S: RangeSummary> {
    /// Summary of the entries of the range.
    pub entries: &'a S,
    /// Amount ahead of the first entry of the range.
    pub ahead_of_first: S::Amount,
    /// Amount ahead of the last entry, or up to and including it.
    pub ahead_of_last: S::Amount,
}

type Link = Option<usize>;

#[derive(Debug)]
struct TreeNode<K, S> {
    key: K,
    /// Random; a node's children have lower ones, which keeps the tree balanced.
    priority: u64,
    own: S,
    subtree: S,
    left: Link,
    right: Link,
}

/// Values by unique keys, each with a summary. An operation on one entry takes a time that grows with
/// the logarithm of their number.
///
/// ```
/// use plantainnotch::policy::summary_tree::{RangeSummary, SummaryTree};
///
/// #[derive(Debug, Clone, Copy, Default)]
/// struct Total(u32);
///
/// impl RangeSummary for Total {
///     type Amount = u32;
///
///     fn followed_by(&self, behind: &Self) -> Self {
///         Self(self.0 + behind.0)
///     }
///
///     fn amount(&self) -> u32 {
///         self.0
///     }
/// }
///
/// let mut tree = SummaryTree::default();
/// tree.insert(2, Total(20), "second");
/// tree.insert(1, Total(10), "first");
/// let (slot, ahead) = tree.find_after(None, |range| range.entries.0 >= 20).expect("an entry");
/// assert_eq!((*tree.value(slot), ahead), ("second", 10));
/// ```
#[derive(Debug)]
pub struct SummaryTree<K, V, S> {
    nodes: Vec<TreeNode<K, S>>,
    /// Values by slot, apart from the nodes so that a search reads less memory.
    values: Vec<Option<V>>,
    free: Vec<usize>,
    root: Link,
    insertions: u64,
}

impl<K, V, S> Default for SummaryTree<K, V, S> {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            values: Vec::new(),
            free: Vec::new(),
            root: None,
            insertions: 0,
        }
    }
}

impl<K: Copy + Ord, V, S: RangeSummary> SummaryTree<K, V, S> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.root.is_none()
    }

    /// Adds an entry under a key that no other entry has.
    pub fn insert(&mut self, key: K, own: S, value: V) -> EntrySlot {
        self.insertions += 1;
        let node = TreeNode {
            key,
            priority: scrambled(self.insertions),
            own,
            subtree: own,
            left: None,
            right: None,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.nodes[index] = node;
                self.values[index] = Some(value);
                index
            }
            None => {
                self.nodes.push(node);
                self.values.push(Some(value));
                self.nodes.len() - 1
            }
        };
        self.root = Some(self.link(self.root, index));
        EntrySlot(index)
    }

    /// Removes an entry.
    ///
    /// # Panics
    ///
    /// If the entry was removed before.
    pub fn remove(&mut self, slot: EntrySlot) -> V {
        let value = self.values[slot.0].take().expect("an entry of the tree");
        self.root = self.unlink(self.root, self.nodes[slot.0].key);
        self.free.push(slot.0);
        value
    }

    /// Replaces the key and the summary of an entry.
    pub fn update(&mut self, slot: EntrySlot, key: K, own: S) {
        self.root = self.unlink(self.root, self.nodes[slot.0].key);
        let node = &mut self.nodes[slot.0];
        (node.key, node.own, node.subtree) = (key, own, own);
        (node.left, node.right) = (None, None);
        self.root = Some(self.link(self.root, slot.0));
    }

    /// Key of an entry.
    pub fn key(&self, slot: EntrySlot) -> K {
        self.nodes[slot.0].key
    }

    /// Value of an entry.
    ///
    /// # Panics
    ///
    /// If the entry was removed.
    pub fn value(&self, slot: EntrySlot) -> &V {
        self.values[slot.0].as_ref().expect("an entry of the tree")
    }

    /// Mutable value of an entry.
    ///
    /// # Panics
    ///
    /// If the entry was removed.
    pub fn value_mut(&mut self, slot: EntrySlot) -> &mut V {
        self.values[slot.0].as_mut().expect("an entry of the tree")
    }

    /// All entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = (EntrySlot, &V)> {
        let entries = self.values.iter().enumerate();
        entries.filter_map(|(index, value)| Some((EntrySlot(index), value.as_ref()?)))
    }

    /// The first entry behind the key `after` for which `may_match` holds, with the amount ahead
    /// of it. `may_match` must hold for each range that contains such an entry.
    pub fn find_after(
        &self,
        after: Option<K>,
        mut may_match: impl FnMut(SearchRange<S>) -> bool,
    ) -> Option<(EntrySlot, S::Amount)> {
        self.find_in(self.root, after, S::Amount::default(), &mut may_match)
    }

    fn find_in(
        &self,
        link: Link,
        after: Option<K>,
        ahead: S::Amount,
        may_match: &mut impl FnMut(SearchRange<S>) -> bool,
    ) -> Option<(EntrySlot, S::Amount)> {
        let index = link?;
        let node = &self.nodes[index];
        let range = SearchRange {
            entries: &node.subtree,
            ahead_of_first: ahead,
            ahead_of_last: ahead + node.subtree.amount(),
        };
        if !may_match(range) {
            return None;
        }
        let ahead_of_node = ahead + self.subtree(node.left).amount();
        if after.is_none_or(|after| after < node.key) {
            if let Some(found) = self.find_in(node.left, after, ahead, may_match) {
                return Some(found);
            }
            let single = SearchRange {
                entries: &node.own,
                ahead_of_first: ahead_of_node,
                ahead_of_last: ahead_of_node,
            };
            if may_match(single) {
                return Some((EntrySlot(index), ahead_of_node));
            }
        }
        let ahead_of_right = ahead_of_node + node.own.amount();
        self.find_in(node.right, after, ahead_of_right, may_match)
    }

    fn subtree(&self, link: Link) -> S {
        link.map_or_else(S::default, |index| self.nodes[index].subtree)
    }

    fn refresh(&mut self, index: usize) {
        let node = &self.nodes[index];
        let ahead = self.subtree(node.left).followed_by(&node.own);
        self.nodes[index].subtree = ahead.followed_by(&self.subtree(node.right));
    }

    /// Adds a node without children to the tree at `root`, and returns its new root.
    fn link(&mut self, root: Link, index: usize) -> usize {
        let Some(top) = root else {
            self.refresh(index);
            return index;
        };
        let key = self.nodes[index].key;
        if self.nodes[index].priority > self.nodes[top].priority {
            let (left, right) = self.split(root, key);
            (self.nodes[index].left, self.nodes[index].right) = (left, right);
            self.refresh(index);
            return index;
        }
        if key < self.nodes[top].key {
            let left = self.link(self.nodes[top].left, index);
            self.nodes[top].left = Some(left);
        } else {
            let right = self.link(self.nodes[top].right, index);
            self.nodes[top].right = Some(right);
        }
        self.refresh(top);
        top
    }

    /// Takes the node with `key` out of the tree at `root`, and returns its new root.
    fn unlink(&mut self, root: Link, key: K) -> Link {
        let top = root?;
        let node = &self.nodes[top];
        if key == node.key {
            return self.join(node.left, node.right);
        }
        if key < node.key {
            self.nodes[top].left = self.unlink(node.left, key);
        } else {
            self.nodes[top].right = self.unlink(node.right, key);
        }
        self.refresh(top);
        Some(top)
    }

    /// Splits the tree at `root` into the entries before `key` and the others.
    fn split(&mut self, root: Link, key: K) -> (Link, Link) {
        let Some(top) = root else {
            return (None, None);
        };
        let parts = if self.nodes[top].key < key {
            let (left, right) = self.split(self.nodes[top].right, key);
            self.nodes[top].right = left;
            (Some(top), right)
        } else {
            let (left, right) = self.split(self.nodes[top].left, key);
            self.nodes[top].left = right;
            (left, Some(top))
        };
        self.refresh(top);
        parts
    }

    /// Joins two trees, all entries of `left` being before those of `right`.
    fn join(&mut self, left: Link, right: Link) -> Link {
        let (Some(first), Some(second)) = (left, right) else {
            return left.or(right);
        };
        let top = if self.nodes[first].priority > self.nodes[second].priority {
            self.nodes[first].right = self.join(self.nodes[first].right, right);
            first
        } else {
            self.nodes[second].left = self.join(left, self.nodes[second].left);
            second
        };
        self.refresh(top);
        Some(top)
    }
}

/// Evenly distributed number for a counter: the output function of the SplitMix64 generator, so that
/// the shape of a tree is the same in each run.
fn scrambled(counter: u64) -> u64 {
    let mut bits = counter.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
