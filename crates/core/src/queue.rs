//! Fair queue that shares an endpoint between customers.
//!
//! Customers are served by weighted deficit round robin, with token counts as costs; the items of
//! one customer are ordered by deadline. A customer that floods the queue therefore delays the
//! others by at most its quantum per round.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::clock::Time;

/// Tokens added per round to the deficit of a customer with weight one.
pub const QUANTUM_TOKENS: u64 = 4_000;

#[derive(Clone, Debug)]
struct Item<T> {
    cost: u64,
    value: T,
}

#[derive(Clone, Debug)]
struct Flow<T> {
    weight: u32,
    /// Tokens that the customer may still use in this round.
    deficit: u64,
    /// Keyed by deadline, then by order of arrival.
    items: BTreeMap<(Time, u64), Item<T>>,
}

/// A fair queue over customers.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<Arc<str>, Flow<T>>,
    /// Customers in round-robin order. Contains exactly the keys of `flows`.
    ring: VecDeque<Arc<str>>,
    next_sequence: u64,
    queued_tokens: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), ring: VecDeque::new(), next_sequence: 0, queued_tokens: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Adds an item of `cost` tokens, ordered by `deadline` within its customer.
    pub fn push(&mut self, customer: &Arc<str>, weight: u32, deadline: Time, cost: u64, value: T) {
        if !self.flows.contains_key(customer) {
            self.ring.push_back(customer.clone());
        }
        let flow = self.flows.entry(customer.clone()).or_insert_with(|| Flow {
            weight: weight.max(1),
            deficit: 0,
            items: BTreeMap::new(),
        });
        flow.items.insert((deadline, self.next_sequence), Item { cost, value });
        self.next_sequence += 1;
        self.queued_tokens += cost;
    }

    /// Removes and returns the next item if `fits` accepts it. Otherwise returns `None` rather than
    /// a later item, so that small items cannot starve large ones.
    pub fn pop(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        loop {
            let customer = self.ring.front()?.clone();
            let flow = self.flows.get_mut(&customer)?;
            let (&key, item) = flow.items.first_key_value()?;
            if item.cost > flow.deficit {
                flow.deficit += QUANTUM_TOKENS * u64::from(flow.weight);
                self.ring.rotate_left(1);
                continue;
            }
            if !fits(&item.value) {
                return None;
            }
            let item = flow.items.remove(&key)?;
            flow.deficit -= item.cost;
            self.queued_tokens -= item.cost;
            self.remove_if_empty(&customer);
            return Some(item.value);
        }
    }

    fn remove_if_empty(&mut self, customer: &Arc<str>) {
        if self.flows.get(customer).is_some_and(|flow| flow.items.is_empty()) {
            self.flows.remove(customer);
            self.ring.retain(|name| name != customer);
        }
    }

    /// Removes and returns the items that `matches` selects by deadline and value.
    pub fn remove_where(&mut self, matches: impl Fn(Time, &T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        let customers: Vec<Arc<str>> = self.flows.keys().cloned().collect();
        for customer in customers {
            let Some(flow) = self.flows.get_mut(&customer) else { continue };
            let keys: Vec<_> = flow
                .items
                .iter()
                .filter(|((deadline, _), item)| matches(*deadline, &item.value))
                .map(|(key, _)| *key)
                .collect();
            for key in keys {
                let Some(item) = flow.items.remove(&key) else { continue };
                self.queued_tokens -= item.cost;
                removed.push(item.value);
            }
            self.remove_if_empty(&customer);
        }
        removed
    }

    /// Returns whether `matches` selects a queued item.
    pub fn any(&self, matches: impl Fn(&T) -> bool) -> bool {
        self.flows.values().flat_map(|flow| flow.items.values()).any(|item| matches(&item.value))
    }

    /// Returns the sum of the costs of all items, tokens.
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Returns the tokens that would run before a new item of `customer`: all of its own items, and
    /// of each other customer at most as many as its own including the new item.
    pub fn tokens_ahead(&self, customer: &Arc<str>, cost: u64) -> u64 {
        let own = self.flows.get(customer).map_or(0, flow_cost);
        let bound = own + cost;
        let others = self.flows.iter().filter(|(name, _)| *name != customer);
        own + others.map(|(_, flow)| flow_cost(flow).min(bound)).sum::<u64>()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.items.len()).sum()
    }

    /// Returns whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

fn flow_cost<T>(flow: &Flow<T>) -> u64 {
    flow.items.values().map(|item| item.cost).sum()
}
