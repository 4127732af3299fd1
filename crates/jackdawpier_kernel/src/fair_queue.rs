//! Start-time fair queue: customers of one class take turns by the work they ask for.
//!
//! Each customer with waiting requests has a tag; the smallest tag is served next and grows by the
//! cost of what was served. A customer that sends a hundred times its share only lengthens its
//! own queue. Every operation takes time logarithmic in the number of customers.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::ids::{CustomerName, Ticket};

/// Virtual time in units of cost.
type Tag = u64;

#[derive(Debug, Default)]
struct Customer {
    tag: Tag,
    waiting: VecDeque<Ticket>,
}

/// The waiting requests of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerName, Customer>,
    order: BTreeSet<(Tag, CustomerName)>,
    virtual_time: Tag,
    len: usize,
}

impl FairQueue {
    /// Waiting requests of all customers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Customers with waiting requests.
    pub fn active_customers(&self) -> usize {
        self.order.len()
    }

    /// Waiting requests of `customer`.
    pub fn backlog(&self, customer: &str) -> usize {
        self.customers.get(customer).map_or(0, |found| found.waiting.len())
    }

    /// Adds a request at the end of its customer's queue.
    pub fn push(&mut self, customer: &CustomerName, ticket: Ticket) {
        let virtual_time = self.virtual_time;
        let entry = self.customers.entry(customer.clone()).or_default();
        if entry.waiting.is_empty() {
            entry.tag = entry.tag.max(virtual_time);
            self.order.insert((entry.tag, customer.clone()));
        }
        entry.waiting.push_back(ticket);
        self.len += 1;
    }

    /// Puts a request back at the head of its customer's queue, for a retry.
    pub fn push_front(&mut self, customer: &CustomerName, ticket: Ticket) {
        self.push(customer, ticket);
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.waiting.rotate_right(1);
        }
    }

    /// The request that is served next.
    pub fn peek(&self) -> Option<Ticket> {
        let (_, name) = self.order.first()?;
        self.customers.get(name)?.waiting.front().copied()
    }

    /// Takes the request that is served next and charges its customer `cost`.
    pub fn pop(&mut self, cost: u64) -> Option<Ticket> {
        let (tag, name) = self.order.pop_first()?;
        self.virtual_time = tag;
        let entry = self.customers.get_mut(&name).expect("an ordered customer has a queue");
        let ticket = entry.waiting.pop_front();
        entry.tag = tag + cost.max(1);
        if !entry.waiting.is_empty() {
            self.order.insert((entry.tag, name));
        }
        self.len -= 1;
        self.sweep();
        ticket
    }

    /// Removes a request that gave up; returns whether it was waiting.
    pub fn remove(&mut self, customer: &CustomerName, ticket: Ticket) -> bool {
        let Some(entry) = self.customers.get_mut(customer) else { return false };
        let Some(at) = entry.waiting.iter().position(|waiting| *waiting == ticket) else {
            return false;
        };
        entry.waiting.remove(at);
        self.len -= 1;
        if entry.waiting.is_empty() {
            self.order.remove(&(entry.tag, customer.clone()));
        }
        true
    }

    /// Drops idle customers whose tag lies in the past: they would start at the virtual time
    /// anyway. Done when their number has doubled, so that memory follows the active ones.
    fn sweep(&mut self) {
        const SWEEP_FLOOR: usize = 64;
        if self.customers.len() > SWEEP_FLOOR + 2 * self.order.len() {
            let now = self.virtual_time;
            self.customers.retain(|_, entry| !entry.waiting.is_empty() || entry.tag > now);
        }
    }
}
