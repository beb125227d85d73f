//! Weighted fair queueing over teams, with costs in tokens.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::TeamName;

#[derive(Debug)]
struct QueuedItem<T> {
    /// Position in order of arrival, which breaks ties.
    serial: u64,
    /// Tokens charged to the team.
    cost: u64,
    item: T,
}

#[derive(Debug)]
struct TeamQueue<T> {
    weight: u32,
    /// Virtual time at which the last popped item is finished.
    virtual_finish: f64,
    items: VecDeque<QueuedItem<T>>,
}

impl<T> TeamQueue<T> {
    fn cost(&self) -> u64 {
        self.items.iter().map(|queued| queued.cost).sum()
    }

    /// Upper estimate of the cost of the items that start by the virtual time `until`.
    fn cost_until(&self, until: f64, virtual_time: f64) -> u64 {
        let start = self.virtual_finish.max(virtual_time);
        let Some(head) = self.items.front().filter(|_| start <= until) else {
            return 0;
        };
        let fair_cost = (until - start) * f64::from(self.weight);
        self.cost().min(fair_cost as u64 + head.cost)
    }
}

/// Start-time fair queue: the team with the earliest virtual start time goes first.
///
/// A team that was idle starts at the current virtual time: its unused share has gone to the
/// others, and it gets its share again from its next item on.
///
/// ```
/// use plantainnotch::ids::TeamName;
/// use plantainnotch::ledger::fair_queue::FairQueue;
/// let mut queue = FairQueue::default();
/// queue.push(&TeamName::new("a"), 1, 100, "a1");
/// queue.push(&TeamName::new("a"), 1, 100, "a2");
/// queue.push(&TeamName::new("b"), 1, 100, "b1");
/// let popped: Vec<_> = (0..3).filter_map(|_| queue.pop_where(|_| true)).collect();
/// assert_eq!(popped, ["a1", "b1", "a2"]);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    teams: BTreeMap<TeamName, TeamQueue<T>>,
    virtual_time: f64,
    next_serial: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            teams: BTreeMap::new(),
            virtual_time: 0.0,
            next_serial: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Appends an item to its team's queue; `weight` applies to the whole queue from now on.
    pub fn push(&mut self, team: &TeamName, weight: u32, cost: u64, item: T) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let queue = self.teams.entry(team.clone()).or_insert(TeamQueue {
            weight: 1,
            virtual_finish: 0.0,
            items: VecDeque::new(),
        });
        queue.weight = weight.max(1);
        queue.items.push_back(QueuedItem { serial, cost, item });
    }

    /// Removes the first item that `accept` takes and charges its team. Tries the head of each
    /// team's queue, in fair order; a head that is not accepted blocks only its own team.
    pub fn pop_where(&mut self, mut accept: impl FnMut(&T) -> bool) -> Option<T> {
        let mut fair_order: Vec<(f64, u64, TeamName)> = self
            .teams
            .iter()
            .filter_map(|(team, queue)| {
                let head = queue.items.front()?;
                Some((
                    queue.virtual_finish.max(self.virtual_time),
                    head.serial,
                    team.clone(),
                ))
            })
            .collect();
        fair_order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (start, _, team) in fair_order {
            let queue = self.teams.get_mut(&team)?;
            if !queue.items.front().is_some_and(|head| accept(&head.item)) {
                continue;
            }
            let head = queue.items.pop_front()?;
            self.virtual_time = start;
            queue.virtual_finish = start + head.cost as f64 / f64::from(queue.weight);
            self.drop_idle_teams();
            return Some(head.item);
        }
        None
    }

    /// Cost of the items that would be popped before a new item of `team`: all items of the team,
    /// and of each other team its fair share until then.
    pub fn cost_ahead(&self, team: &TeamName, weight: u32) -> u64 {
        let own = self.teams.get(team);
        let own_cost = own.map_or(0, TeamQueue::cost);
        let own_start = own
            .map_or(0.0, |queue| queue.virtual_finish)
            .max(self.virtual_time);
        let start = own_start + own_cost as f64 / f64::from(weight.max(1));
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let ahead = others.map(|(_, queue)| queue.cost_until(start, self.virtual_time));
        own_cost + ahead.sum::<u64>()
    }

    /// Removes the items that match and returns them in no particular order; their teams are not
    /// charged.
    pub fn remove_where(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.teams.values_mut() {
            let items = std::mem::take(&mut queue.items);
            for queued in items {
                if matches(&queued.item) {
                    removed.push(queued.item);
                } else {
                    queue.items.push_back(queued);
                }
            }
        }
        self.drop_idle_teams();
        removed
    }

    /// All items in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        let queues = self.teams.values();
        queues.flat_map(|queue| queue.items.iter().map(|queued| &queued.item))
    }

    /// Number of items of all teams.
    pub fn len(&self) -> usize {
        self.teams.values().map(|queue| queue.items.len()).sum()
    }

    /// Whether no team has an item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops teams without items whose last item is finished in virtual time.
    fn drop_idle_teams(&mut self) {
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|_, queue| !queue.items.is_empty() || queue.virtual_finish > virtual_time);
    }
}
