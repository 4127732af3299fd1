//! Orders that wait for their turn to be sent to an executor.
//!
//! A task of the runtime that only waits takes some kilobytes, an order some hundred bytes. With thousands of orders for
//! one executor, only those in flight have a task.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::Future,
    rc::Rc,
};

/// Orders of one kind to one executor, in the order in which they are sent.
#[derive(Debug)]
pub(super) struct OrderQueue<T> {
    waiting: RefCell<VecDeque<T>>,
    /// Number of tasks that send orders.
    senders: Cell<usize>,
    max_senders: usize,
}

impl<T: 'static> OrderQueue<T> {
    /// Creates an empty queue of which at most `max_senders` orders are in flight.
    pub(super) fn new(max_senders: usize) -> Self {
        Self { waiting: RefCell::default(), senders: Cell::new(0), max_senders }
    }

    /// Adds an order, to be sent with `send` after those before it.
    pub(super) fn push<F, S>(self: &Rc<Self>, order: T, send: S)
    where
        S: Fn(T) -> F + 'static,
        F: Future<Output = ()>,
    {
        self.waiting.borrow_mut().push_back(order);
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
        let mut waiting = self.waiting.borrow_mut();
        let next = waiting.pop_front();
        if waiting.is_empty() {
            waiting.shrink_to_fit();
        }
        next
    }
}
