//! Compression and delta encoding of documents.
//!
//! A delta consists of ranges copied from a base document and of literal bytes. It works on raw bytes and doesn't depend
//! on the contents. Receivers verify the result by its digest.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;

/// Compression level out of 10; low because proxies wait for the result.
const COMPRESSION_LEVEL: u8 = 3;
/// Separator of list entries, at which documents are split.
const ENTRY_SEPARATOR: &[u8] = b"},{";
/// Offset of the split within the separator.
const SPLIT_OFFSET: usize = 2;
/// Maximum ratio of the size of encoded segments to that of their document.
const SEGMENT_OVERHEAD: usize = 2;

/// Error unpacking a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// The bytes are not a packed document, or the document is too long.
    Unreadable,
    /// The delta belongs to another base document.
    WrongBase,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            TransferError::Unreadable => "no packed document, or one that is too long",
            TransferError::WrongBase => "a change to another document",
        })
    }
}

impl std::error::Error for TransferError {}

/// A segment of a delta.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Segment {
    /// A range of the base document.
    Copy { from: u32, length: u32 },
    /// Literal bytes.
    Literal(Vec<u8>),
}

/// Compresses a document.
pub fn pack(document: &[u8]) -> Vec<u8> {
    compress_to_vec(document, COMPRESSION_LEVEL)
}

/// Decompresses a document of at most `bytes_max` bytes.
///
/// # Errors
/// [`TransferError::Unreadable`].
pub fn unpack(packed: &[u8], bytes_max: usize) -> Result<Vec<u8>, TransferError> {
    decompress_to_vec_with_limit(packed, bytes_max).map_err(|_| TransferError::Unreadable)
}

/// Encodes and compresses a document as a delta to `base`.
pub fn pack_delta(base: &[u8], document: &[u8]) -> Vec<u8> {
    let segments = segments(base, document);
    let encoded = bincode::serde::encode_to_vec(&segments, bincode::config::standard()).unwrap_or_default();
    pack(&encoded)
}

/// Decompresses a delta and applies it to `base`, for a document of at most `bytes_max` bytes.
///
/// # Errors
/// [`TransferError`].
pub fn unpack_delta(base: &[u8], packed: &[u8], bytes_max: usize) -> Result<Vec<u8>, TransferError> {
    let encoded = unpack(packed, bytes_max.saturating_mul(SEGMENT_OVERHEAD))?;
    let decoded = bincode::serde::decode_from_slice(&encoded, bincode::config::standard());
    let (segments, _): (Vec<Segment>, usize) = decoded.map_err(|_| TransferError::Unreadable)?;
    let mut document = Vec::new();
    for segment in segments {
        let bytes = match &segment {
            Segment::Literal(bytes) => bytes.as_slice(),
            Segment::Copy { from, length } => {
                base_range(base, *from, *length).ok_or(TransferError::WrongBase)?
            }
        };
        if document.len() + bytes.len() > bytes_max {
            return Err(TransferError::Unreadable);
        }
        document.extend_from_slice(bytes);
    }
    Ok(document)
}

fn base_range(base: &[u8], from: u32, length: u32) -> Option<&[u8]> {
    let from = from as usize;
    base.get(from..from.checked_add(length as usize)?)
}

/// Splits a document between list entries.
fn entries(document: &[u8]) -> Vec<&[u8]> {
    let mut entries = Vec::new();
    let mut rest = document;
    while let Some(at) = find(rest, ENTRY_SEPARATOR) {
        let (entry, after) = rest.split_at(at + SPLIT_OFFSET);
        entries.push(entry);
        rest = after;
    }
    entries.push(rest);
    entries
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn segments(base: &[u8], document: &[u8]) -> Vec<Segment> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for entry in entries(base) {
        offsets.entry(entry).or_insert(offset);
        offset += entry.len();
    }
    let mut segments = Vec::new();
    for entry in entries(document) {
        match offsets.get(entry) {
            Some(offset) => push_copy(&mut segments, *offset, entry.len()),
            None => push_literal(&mut segments, entry),
        }
    }
    segments
}

/// Appends a range of the base document, extending the last segment if the ranges are adjacent.
fn push_copy(segments: &mut Vec<Segment>, offset: usize, added: usize) {
    let (offset, added) = (offset as u32, added as u32);
    match segments.last_mut() {
        Some(Segment::Copy { from, length }) if *from + *length == offset => *length += added,
        _ => segments.push(Segment::Copy { from: offset, length: added }),
    }
}

fn push_literal(segments: &mut Vec<Segment>, entry: &[u8]) {
    match segments.last_mut() {
        Some(Segment::Literal(bytes)) => bytes.extend_from_slice(entry),
        _ => segments.push(Segment::Literal(entry.to_vec())),
    }
}
