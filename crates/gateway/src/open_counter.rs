//! Counts what is open at the moment, such as requests or sockets. Each is held by a guard until it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Number of things of one kind that are open.
#[derive(Debug, Default)]
pub struct OpenCounter {
    count: Rc<Cell<usize>>,
}

/// One thing that is open until the guard is dropped.
#[derive(Debug)]
pub struct OpenGuard {
    count: Rc<Cell<usize>>,
}

impl OpenCounter {
    /// How many are open.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts one more as open until the guard is dropped.
    pub fn open(&self) -> OpenGuard {
        self.count.set(self.count.get() + 1);
        OpenGuard { count: self.count.clone() }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}
