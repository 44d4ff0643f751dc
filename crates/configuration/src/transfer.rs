//! How a document travels: packed, and as a change to another document where the receiver has that one.
//!
//! A change names pieces of the earlier document and the bytes between them, so it holds for any document that is
//! split at the same places, whatever is in it. The receiver checks the result by its digest.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;

/// How hard bytes are packed, of 10: a document is packed while proxies wait for it.
const PACKING_LEVEL: u8 = 3;
/// What separates two entries of a list: documents are split there.
const BETWEEN_ENTRIES: &[u8] = b"},{";
/// The place in it at which they are split.
const SPLIT_AT: usize = 2;
/// Bytes that pieces may take beside those of the document, for each of its bytes.
const PIECES_FACTOR: usize = 2;

/// Why a packed document can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// The bytes are no packed document, or one that is too long.
    Unreadable,
    /// It is a change to another document.
    OtherBase,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            TransferError::Unreadable => "no packed document, or one that is too long",
            TransferError::OtherBase => "a change to another document",
        })
    }
}

impl std::error::Error for TransferError {}

/// A part of a document.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// So many bytes of the earlier document from some place on.
    Kept { from: u32, length: u32 },
    /// Other bytes.
    New(Vec<u8>),
}

/// Packs a document.
pub fn pack(document: &[u8]) -> Vec<u8> {
    compress_to_vec(document, PACKING_LEVEL)
}

/// Unpacks a document of at most `longest` bytes.
///
/// # Errors
/// [`TransferError::Unreadable`].
pub fn unpack(packed: &[u8], longest: usize) -> Result<Vec<u8>, TransferError> {
    decompress_to_vec_with_limit(packed, longest).map_err(|_| TransferError::Unreadable)
}

/// Packs a document as a change to an earlier one.
pub fn pack_change(earlier: &[u8], document: &[u8]) -> Vec<u8> {
    let pieces = pieces(earlier, document);
    let encoded = bincode::serde::encode_to_vec(&pieces, bincode::config::standard()).unwrap_or_default();
    pack(&encoded)
}

/// Unpacks a change to an earlier document, into a document of at most `longest` bytes.
///
/// # Errors
/// [`TransferError`].
pub fn unpack_change(earlier: &[u8], packed: &[u8], longest: usize) -> Result<Vec<u8>, TransferError> {
    let encoded = unpack(packed, longest.saturating_mul(PIECES_FACTOR))?;
    let decoded = bincode::serde::decode_from_slice(&encoded, bincode::config::standard());
    let (pieces, _): (Vec<Piece>, usize) = decoded.map_err(|_| TransferError::Unreadable)?;
    let mut document = Vec::new();
    for piece in pieces {
        let bytes = match &piece {
            Piece::New(bytes) => bytes.as_slice(),
            Piece::Kept { from, length } => kept(earlier, *from, *length).ok_or(TransferError::OtherBase)?,
        };
        if document.len() + bytes.len() > longest {
            return Err(TransferError::Unreadable);
        }
        document.extend_from_slice(bytes);
    }
    Ok(document)
}

fn kept(earlier: &[u8], from: u32, length: u32) -> Option<&[u8]> {
    let from = from as usize;
    earlier.get(from..from.checked_add(length as usize)?)
}

/// Splits a document between the entries of its lists.
fn entries(document: &[u8]) -> Vec<&[u8]> {
    let mut entries = Vec::new();
    let mut rest = document;
    while let Some(at) = find(rest, BETWEEN_ENTRIES) {
        let (entry, after) = rest.split_at(at + SPLIT_AT);
        entries.push(entry);
        rest = after;
    }
    entries.push(rest);
    entries
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn pieces(earlier: &[u8], document: &[u8]) -> Vec<Piece> {
    let mut places = HashMap::new();
    let mut place = 0;
    for entry in entries(earlier) {
        places.entry(entry).or_insert(place);
        place += entry.len();
    }
    let mut pieces = Vec::new();
    for entry in entries(document) {
        match places.get(entry) {
            Some(place) => add_kept(&mut pieces, *place, entry.len()),
            None => add_new(&mut pieces, entry),
        }
    }
    pieces
}

/// Adds bytes of the earlier document, to the piece before where they follow it there, too.
fn add_kept(pieces: &mut Vec<Piece>, place: usize, added: usize) {
    let (place, added) = (place as u32, added as u32);
    match pieces.last_mut() {
        Some(Piece::Kept { from, length }) if *from + *length == place => *length += added,
        _ => pieces.push(Piece::Kept { from: place, length: added }),
    }
}

fn add_new(pieces: &mut Vec<Piece>, entry: &[u8]) {
    match pieces.last_mut() {
        Some(Piece::New(bytes)) => bytes.extend_from_slice(entry),
        _ => pieces.push(Piece::New(entry.to_vec())),
    }
}
