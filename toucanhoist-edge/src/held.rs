/*!
Bodies in memory, within a budget.

A body is held in segments of bounded size, so that it grows without being copied and each part is given back as
soon as it has been sent.
*/

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use {
    bytes::{Bytes, BytesMut},
    http_body::{Frame, SizeHint},
    toucanhoist_core::memory::{Budget, Share},
};

/// Size of the largest segment; it bounds what a connection holds of an answer that is not read.
const SEGMENT_BYTES_MAX: usize = 16 * 1_024;
/// Size of the first segment of a body of unknown length.
const SEGMENT_BYTES_MIN: usize = 1_024;
/// Bytes of each body that are held whatever is left of the budget, so that ordinary requests are served when it
/// is used up. The memory of a connection covers them.
const FREE_BYTES: usize = 2 * 1_024;

/// The budget is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted {
    /// Bytes that were held before.
    pub taken: usize,
}

/// Bytes with their share of a budget.
struct Owned {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that give a share back when the last reference to them is dropped.
pub fn with_share(bytes: Bytes, share: Share) -> Bytes {
    Bytes::from_owner(Owned { bytes, _share: share })
}

/// Collects a body.
#[derive(Debug)]
pub struct Collector {
    budget: Arc<Budget>,
    full: Vec<Bytes>,
    last: BytesMut,
    last_share: Option<Share>,
    /// Size of all segments.
    capacity: usize,
    length: usize,
}

impl Collector {
    /// Creates a collector for a body of which the length is known to be `expected`, or 0 if it is not known.
    pub fn new(budget: &Arc<Budget>, expected: usize) -> Collector {
        let mut collector = Collector {
            budget: Arc::clone(budget),
            full: Vec::new(),
            last: BytesMut::new(),
            last_share: None,
            capacity: 0,
            length: 0,
        };
        // The length that a caller states is not held before it has sent the bytes, beyond the free ones.
        if (1..=FREE_BYTES).contains(&expected) {
            collector.last.reserve(expected);
            collector.capacity = collector.last.capacity();
        }
        collector
    }

    /// Returns the number of bytes so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The budget is used up; the error says how many of the bytes were appended.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), Exhausted> {
        let before = self.length;
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() && !self.add_segment(bytes.len()) {
                return Err(Exhausted { taken: self.length - before });
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    /// Appends bytes that the budget does not cover.
    pub fn push_uncounted(&mut self, bytes: Bytes) {
        self.seal();
        self.length += bytes.len();
        self.full.push(bytes);
    }

    /// Adds an empty segment; returns whether the budget had room for it.
    fn add_segment(&mut self, needed: usize) -> bool {
        let size = needed.max(self.capacity).clamp(SEGMENT_BYTES_MIN, SEGMENT_BYTES_MAX);
        let is_free = self.capacity + size <= FREE_BYTES;
        let share = if is_free { None } else { self.budget.take(size) };
        if share.is_none() && !is_free {
            return false;
        }
        self.seal();
        self.last = BytesMut::with_capacity(size);
        self.last_share = share;
        self.capacity += size;
        true
    }

    fn seal(&mut self) {
        let bytes = std::mem::take(&mut self.last).freeze();
        let bytes = match self.last_share.take() {
            Some(share) => with_share(bytes, share),
            None => bytes,
        };
        if !bytes.is_empty() {
            self.full.push(bytes);
        }
    }

    /// Returns the body.
    pub fn finish(mut self) -> Content {
        self.seal();
        Content { length: self.length, segments: self.full.into() }
    }
}

/// A body in memory, as a message body of known length. Clones share the bytes.
#[derive(Clone, Debug, Default)]
pub struct Content {
    segments: VecDeque<Bytes>,
    length: usize,
}

impl Content {
    /// Returns the number of bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns the segments.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &**segment)
    }

    /// Returns the bytes in one piece.
    ///
    /// # Errors
    ///
    /// The budget has no room for the copy.
    pub fn into_bytes(mut self, budget: &Arc<Budget>) -> Result<Bytes, Exhausted> {
        if self.segments.len() <= 1 {
            return Ok(self.take_next().unwrap_or_default());
        }
        let share = budget.take(self.length).ok_or(Exhausted { taken: 0 })?;
        let mut bytes = BytesMut::with_capacity(self.length);
        while let Some(segment) = self.take_next() {
            bytes.extend_from_slice(&segment);
        }
        Ok(with_share(bytes.freeze(), share))
    }

    /// Takes the next segment; `None` if all have been taken.
    pub fn take_next(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        self.length -= segment.len();
        Some(segment)
    }
}

impl From<Bytes> for Content {
    fn from(bytes: Bytes) -> Content {
        let length = bytes.len();
        let segments = if bytes.is_empty() { VecDeque::new() } else { [bytes].into() };
        Content { segments, length }
    }
}

impl http_body::Body for Content {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.take_next().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
