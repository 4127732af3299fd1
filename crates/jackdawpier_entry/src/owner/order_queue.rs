//! Orders that wait for their turn to be sent to an executor.
//!
//! A task of the runtime that only waits takes some kilobytes, an order some hundred bytes. With thousands of orders for
//! one executor, only those in flight have a task. Jobs take turns, so that the few orders of one don't wait behind the
//! thousands of another.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    future::Future,
    rc::Rc,
};

use jackdawpier_kernel::ids::JobId;

/// The waiting orders. A job is in `turns` as long as it has orders.
#[derive(Debug)]
struct Waiting<T> {
    by_job: HashMap<JobId, VecDeque<T>>,
    turns: VecDeque<JobId>,
}

impl<T> Default for Waiting<T> {
    fn default() -> Self {
        Self { by_job: HashMap::new(), turns: VecDeque::new() }
    }
}

impl<T> Waiting<T> {
    fn push(&mut self, job: JobId, order: T) {
        let orders = self.by_job.entry(job.clone()).or_default();
        if orders.is_empty() {
            self.turns.push_back(job);
        }
        orders.push_back(order);
    }

    fn pop(&mut self) -> Option<T> {
        let job = self.turns.pop_front()?;
        let orders = self.by_job.get_mut(&job)?;
        let order = orders.pop_front();
        if orders.is_empty() {
            self.by_job.remove(&job);
        } else {
            self.turns.push_back(job);
        }
        order
    }
}

/// Orders of one kind to one executor.
#[derive(Debug)]
pub(super) struct OrderQueue<T> {
    waiting: RefCell<Waiting<T>>,
    /// Number of tasks that send orders.
    senders: Cell<usize>,
    max_senders: usize,
}

impl<T: 'static> OrderQueue<T> {
    /// Creates an empty queue of which at most `max_senders` orders are in flight.
    pub(super) fn new(max_senders: usize) -> Self {
        Self { waiting: RefCell::default(), senders: Cell::new(0), max_senders }
    }

    /// Adds an order of a job, to be sent with `send` after the job's earlier ones.
    pub(super) fn push<F, S>(self: &Rc<Self>, job: JobId, order: T, send: S)
    where
        S: Fn(T) -> F + 'static,
        F: Future<Output = ()>,
    {
        self.waiting.borrow_mut().push(job, order);
        if self.senders.get() >= self.max_senders {
            return;
        }
        self.senders.set(self.senders.get() + 1);
        let queue = self.clone();
        tokio::task::spawn_local(async move {
            while let Some(order) = queue.next() {
                send(order).await;
            }
            queue.senders.set(queue.senders.get() - 1);
        });
    }

    fn next(&self) -> Option<T> {
        self.waiting.borrow_mut().pop()
    }
}
