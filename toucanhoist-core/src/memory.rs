/*!
Budgets of memory.

What callers send and are sent is held out of one [`Budget`] of bytes, whoever they are and however many. A
[`Share`] of it is given back when it is dropped, which is when the bytes that it stands for are.
*/

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that a host may hold at the same time.
#[derive(Debug)]
pub struct Budget {
    held: AtomicUsize,
    max: usize,
}

/// Bytes that are held, until dropped.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of which nothing is held.
    pub fn new(max: usize) -> Arc<Budget> {
        Arc::new(Budget { held: AtomicUsize::new(0), max })
    }

    /// Takes a share; `None` if less is left.
    pub fn take(self: &Arc<Budget>, bytes: usize) -> Option<Share> {
        let grow = |held: usize| held.checked_add(bytes).filter(|held| *held <= self.max);
        let taken = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        taken.is_ok().then(|| Share { budget: Arc::clone(self), bytes })
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

impl Share {
    /// Returns the size of the share.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
