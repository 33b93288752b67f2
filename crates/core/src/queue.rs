//! A queue that shares a contended endpoint between customers.
//!
//! Deficit round robin over customers, weighted, counted in tokens; inside one customer the
//! earliest deadline first. A customer that floods the queue delays others by at most one
//! quantum for each of their turns.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::clock::Time;

/// Tokens a customer of weight one may use in one turn.
pub const QUANTUM: u64 = 4_000;

/// One queued item.
#[derive(Clone, Debug)]
struct Item<T> {
    cost: u64,
    value: T,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    weight: u32,
    /// Tokens the customer may still use in this turn.
    deficit: u64,
    /// By deadline, then by arrival.
    items: BTreeMap<(Time, u64), Item<T>>,
}

/// Items of many customers, popped in a fair order.
#[derive(Clone, Debug)]
pub struct Fair<T> {
    flows: BTreeMap<Arc<str>, Flow<T>>,
    /// Customers with items, next turn first. Holds exactly the keys of `flows`.
    ring: VecDeque<Arc<str>>,
    next: u64,
    /// Sum of the costs of all items.
    queued: u64,
}

impl<T> Default for Fair<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), ring: VecDeque::new(), next: 0, queued: 0 }
    }
}

impl<T> Fair<T> {
    /// Adds an item of `cost` tokens that is of no use after `deadline`.
    pub fn push(&mut self, customer: &Arc<str>, weight: u32, deadline: Time, cost: u64, value: T) {
        if !self.flows.contains_key(customer) {
            self.ring.push_back(customer.clone());
        }
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| Flow {
            weight: weight.max(1),
            deficit: 0,
            items: BTreeMap::new(),
        });
        flow.items.insert((deadline, self.next), Item { cost, value });
        self.next += 1;
        self.queued += cost;
    }

    /// Takes the item whose turn it is, if `fits` accepts it; nothing overtakes it otherwise, so
    /// that large items are not starved by small ones.
    pub fn pop(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        loop {
            let customer = self.ring.front()?.clone();
            let flow = self.flows.get_mut(&customer)?;
            let (&key, item) = flow.items.first_key_value()?;
            if item.cost > flow.deficit {
                flow.deficit += QUANTUM * u64::from(flow.weight);
                self.ring.rotate_left(1);
                continue;
            }
            if !fits(&item.value) {
                return None;
            }
            let item = flow.items.remove(&key)?;
            flow.deficit -= item.cost;
            self.queued -= item.cost;
            self.drop_if_empty(&customer);
            return Some(item.value);
        }
    }

    fn drop_if_empty(&mut self, customer: &Arc<str>) {
        if self.flows.get(customer).is_some_and(|flow| flow.items.is_empty()) {
            self.flows.remove(customer);
            self.ring.retain(|name| name != customer);
        }
    }

    /// Removes and returns all items for which `gone` holds.
    pub fn take(&mut self, gone: impl Fn(Time, &T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        let customers: Vec<Arc<str>> = self.flows.keys().cloned().collect();
        for customer in customers {
            let Some(flow) = self.flows.get_mut(&customer) else { continue };
            let keys: Vec<_> = flow
                .items
                .iter()
                .filter(|((deadline, _), item)| gone(*deadline, &item.value))
                .map(|(key, _)| *key)
                .collect();
            for key in keys {
                let Some(item) = flow.items.remove(&key) else { continue };
                self.queued -= item.cost;
                taken.push(item.value);
            }
            self.drop_if_empty(&customer);
        }
        taken
    }

    /// Whether an item for which `holds` is queued.
    pub fn any(&self, holds: impl Fn(&T) -> bool) -> bool {
        self.flows.values().flat_map(|flow| flow.items.values()).any(|item| holds(&item.value))
    }

    /// Tokens queued.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Tokens that would run before a new item of `customer`: its own, and of each other customer
    /// no more than its own fair part.
    pub fn ahead_of(&self, customer: &Arc<str>, cost: u64) -> u64 {
        let own = self.flows.get(customer).map_or(0, flow_cost);
        let bound = own + cost;
        let others = self.flows.iter().filter(|(name, _)| *name != customer);
        own + others.map(|(_, flow)| flow_cost(flow).min(bound)).sum::<u64>()
    }

    /// How many items are queued.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.items.len()).sum()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

fn flow_cost<T>(flow: &Flow<T>) -> u64 {
    flow.items.values().map(|item| item.cost).sum()
}
