//! Content of requests, answers and stream lines.
//!
//! Sender and receiver compute the content from its identifiers. The receiver thus
//! detects an answer or line that belongs to a different request or flow, mixes
//! several, or is truncated.

use jacinthhinge::packet::MAX_PART_BYTES;
use jacinthhinge::prelude::*;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1_024;

/// Size of one line of a stream.
const LINE_BYTES: usize = 64;

/// Returns the answer to a request. Its size is given by the first two bytes of the request.
pub fn answer_content(service: Id, key: FlowKey, request: u64, content: &[u8]) -> Bytes {
    let seed = key.hash() ^ service.0.rotate_left(17) ^ request.rotate_left(34);
    let size = match content {
        [low, high, ..] => usize::from(u16::from_le_bytes([*low, *high])),
        _ => LINE_BYTES,
    };
    seeded_bytes(
        xxh3_64_with_seed(content, seed),
        size.clamp(8, MAX_ANSWER_BYTES),
    )
}

/// Returns the line with number `seq` of a stream, in either direction.
pub fn line_content(service: Id, key: FlowKey, seq: u64) -> Bytes {
    seeded_bytes(
        key.hash() ^ service.0.rotate_left(17) ^ seq.rotate_left(34),
        LINE_BYTES,
    )
}

/// Returns `size` pseudorandom bytes derived from a seed.
pub fn seeded_bytes(seed: u64, size: usize) -> Bytes {
    let mut word = seed;
    let mut bytes = Vec::with_capacity(size + 8);
    while bytes.len() < size {
        word = xxh3_64(&word.to_le_bytes());
        bytes.extend_from_slice(&word.to_le_bytes());
    }
    bytes.truncate(size);
    bytes.into()
}

/// Splits content into parts; empty content becomes one part.
pub fn split_parts(content: &Bytes) -> Vec<Part> {
    let count = content.len().div_ceil(MAX_PART_BYTES).max(1);
    let total = u32::try_from(count).unwrap_or(u32::MAX);
    (0..total)
        .zip((0..count).map(|i| i * MAX_PART_BYTES))
        .map(|(index, start)| Part {
            index,
            total,
            data: content.slice(start..content.len().min(start + MAX_PART_BYTES)),
        })
        .collect()
}

/// Received parts of content that may still be incomplete.
pub struct Assembly {
    parts: Vec<Option<Bytes>>,
    missing: usize,
}

impl Assembly {
    /// Creates an assembly of `total` parts, none of them received.
    pub fn new(total: u32) -> Self {
        let count = total as usize;
        Self {
            parts: vec![None; count],
            missing: count,
        }
    }

    /// Adds a part. Returns false if it contradicts the parts received before.
    pub fn add_part(&mut self, part: &Part) -> bool {
        if part.total as usize != self.parts.len() {
            return false;
        }
        let Some(slot) = self.parts.get_mut(part.index as usize) else {
            return false;
        };
        if let Some(received) = slot {
            return *received == part.data;
        }
        *slot = Some(part.data.clone());
        self.missing -= 1;
        true
    }

    /// Returns the content if every part has been received.
    pub fn complete_content(&self) -> Option<Bytes> {
        if self.missing > 0 {
            return None;
        }
        let parts: Vec<&[u8]> = self.parts.iter().flatten().map(AsRef::as_ref).collect();
        Some(parts.concat().into())
    }
}
