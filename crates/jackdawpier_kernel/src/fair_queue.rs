//! Start-time fair queue: shares the service of one class among its customers by cost.
//!
//! Each customer with waiting requests has a tag. The customer with the smallest tag is served
//! next, and its tag grows by the cost of the request. A customer that sends a hundred times its
//! share only lengthens its own queue. Every operation takes time logarithmic in the number of
//! customers.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::ids::{CustomerName, Ticket};

/// Virtual time, in units of cost.
type Tag = u64;

#[derive(Debug, Default)]
struct Customer {
    tag: Tag,
    waiting: VecDeque<Ticket>,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerName, Customer>,
    order: BTreeSet<(Tag, CustomerName)>,
    virtual_time: Tag,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests of all customers.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of customers with waiting requests.
    pub fn active_customers(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of waiting requests of `customer`.
    pub fn backlog(&self, customer: &str) -> usize {
        self.customers.get(customer).map_or(0, |queue| queue.waiting.len())
    }

    /// Appends a request to its customer's queue.
    pub fn push(&mut self, customer: &CustomerName, ticket: Ticket) {
        let virtual_time = self.virtual_time;
        let state = self.customers.entry(customer.clone()).or_default();
        if state.waiting.is_empty() {
            state.tag = state.tag.max(virtual_time);
            self.order.insert((state.tag, customer.clone()));
        }
        state.waiting.push_back(ticket);
        self.len += 1;
    }

    /// Inserts a request at the head of its customer's queue, for a retry.
    pub fn push_front(&mut self, customer: &CustomerName, ticket: Ticket) {
        self.push(customer, ticket);
        if let Some(state) = self.customers.get_mut(customer) {
            state.waiting.rotate_right(1);
        }
    }

    /// Returns the request to be served next.
    pub fn peek(&self) -> Option<Ticket> {
        let (_, name) = self.order.first()?;
        self.customers.get(name)?.waiting.front().copied()
    }

    /// Removes the request to be served next and charges `cost` to its customer.
    pub fn pop(&mut self, cost: u64) -> Option<Ticket> {
        let (tag, name) = self.order.pop_first()?;
        self.virtual_time = tag;
        let state = self.customers.get_mut(&name).expect("a customer in the order has a queue");
        let ticket = state.waiting.pop_front();
        state.tag = tag + cost.max(1);
        if !state.waiting.is_empty() {
            self.order.insert((state.tag, name));
        }
        self.len -= 1;
        self.remove_idle_customers();
        ticket
    }

    /// Removes a request from its customer's queue; returns whether it was waiting.
    pub fn remove(&mut self, customer: &CustomerName, ticket: Ticket) -> bool {
        let Some(state) = self.customers.get_mut(customer) else { return false };
        let Some(position) = state.waiting.iter().position(|waiting| *waiting == ticket) else {
            return false;
        };
        state.waiting.remove(position);
        self.len -= 1;
        if state.waiting.is_empty() {
            self.order.remove(&(state.tag, customer.clone()));
        }
        true
    }

    /// Removes idle customers whose tags are in the past; they would start at the virtual
    /// time anyway. Runs once there are over twice as many customers as active ones, so memory use
    /// follows the active ones and the cost is amortised.
    fn remove_idle_customers(&mut self) {
        const MIN_KEPT_CUSTOMERS: usize = 64;
        if self.customers.len() > MIN_KEPT_CUSTOMERS + 2 * self.order.len() {
            let now = self.virtual_time;
            self.customers.retain(|_, state| !state.waiting.is_empty() || state.tag > now);
        }
    }
}
