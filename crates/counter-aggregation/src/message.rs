//! Text format of batches and replies between a forwarding gateway and an owner.

use std::fmt::Write;

/// Format version at the head of both messages.
const VERSION: &str = "turns-1";
/// Maximum increments per batch.
pub const MAX_BATCH: usize = 64;
/// Longest counter name, bytes; the counter's own limit.
const MAX_NAME_BYTES: usize = 64;
/// Longest message, bytes: a name and three numbers per line, and the header.
pub const MAX_MESSAGE_BYTES: usize = (MAX_BATCH + 1) * (MAX_NAME_BYTES + 64);
/// Longest time to live of a counter value, ms.
const MAX_TTL_MS: u64 = 3_600_000;
/// Largest amount of one increment.
const MAX_AMOUNT: f64 = 1e9;

/// An amount to add to a counter name, in exchange for the total.
#[derive(Clone, Debug, PartialEq)]
pub struct Increment {
    /// Counter name.
    pub name: String,
    /// Amount to add; negative when units are returned.
    pub amount: f64,
    /// Time to live of a new counter value, ms.
    pub ttl_ms: u64,
}

/// An owner's reply to one increment, in the order of the batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// Added; the new total.
    Total(f64),
    /// Not added: this gateway owns no names now.
    Declined,
}

/// Encodes a batch.
pub fn encode_batch(from: u32, increments: &[Increment]) -> String {
    let mut text = format!("{VERSION} {from}\n");
    for increment in increments {
        let _ = writeln!(text, "{} {} {}", increment.name, increment.amount, increment.ttl_ms);
    }
    text
}

/// Decodes a batch: its sender and the increments.
///
/// # Errors
/// What is wrong with the text. A batch is accepted in whole or not at all.
pub fn decode_batch(text: &str) -> Result<(u32, Vec<Increment>), String> {
    let lines = lines(text)?;
    let (head, rest) = lines.split_first().ok_or("missing header")?;
    let from = head.parse().map_err(|_| "invalid gateway number")?;
    let increments =
        rest.iter().map(|line| decode_increment(line)).collect::<Result<Vec<Increment>, String>>()?;
    Ok((from, increments))
}

fn decode_increment(line: &str) -> Result<Increment, String> {
    let fields: Vec<&str> = line.split(' ').collect();
    let [name, amount, ttl] = fields[..] else { return Err("expected three fields per line".into()) };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.bytes().any(|b| b.is_ascii_control()) {
        return Err("invalid name".into());
    }
    let amount = amount.parse().ok().filter(|n: &f64| n.abs() <= MAX_AMOUNT).ok_or("invalid amount")?;
    let ttl_ms = ttl.parse().ok().filter(|ms| (1..=MAX_TTL_MS).contains(ms)).ok_or("invalid time to live")?;
    Ok(Increment { name: name.to_owned(), amount, ttl_ms })
}

/// Encodes the replies to a batch.
pub fn encode_replies(replies: &[Reply]) -> String {
    let mut text = format!("{VERSION} said\n");
    for reply in replies {
        let _ = match reply {
            Reply::Total(total) => writeln!(text, "total {total}"),
            Reply::Declined => writeln!(text, "elsewhere"),
        };
    }
    text
}

/// Decodes the replies to a batch of `count` increments.
///
/// # Errors
/// What is wrong with the text.
pub fn decode_replies(text: &str, count: usize) -> Result<Vec<Reply>, String> {
    let lines = lines(text)?;
    let (head, rest) = lines.split_first().ok_or("missing header")?;
    if *head != "said" || rest.len() != count {
        return Err(format!("not a reply to {count} increments"));
    }
    rest.iter().map(|line| decode_reply_line(line)).collect()
}

fn decode_reply_line(line: &str) -> Result<Reply, String> {
    if line == "elsewhere" {
        return Ok(Reply::Declined);
    }
    let total = line.strip_prefix("total ").and_then(|total| total.parse().ok());
    total.filter(|total: &f64| total.is_finite()).map(Reply::Total).ok_or_else(|| "invalid total".into())
}

/// Checks the size and the version; returns the rest of the header, then the other lines.
fn lines(text: &str) -> Result<Vec<&str>, String> {
    if text.len() > MAX_MESSAGE_BYTES {
        return Err("too long".into());
    }
    let mut lines: Vec<&str> = text.lines().collect();
    if lines.len() > MAX_BATCH + 1 {
        return Err("too many names".into());
    }
    let head = lines.first_mut().ok_or("missing header")?;
    let (version, rest) = head.split_once(' ').ok_or("missing header")?;
    if version != VERSION {
        return Err(format!("unsupported version, expected {VERSION}"));
    }
    *head = rest;
    Ok(lines)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn increment(name: &str, amount: f64) -> Increment {
        Increment { name: name.into(), amount, ttl_ms: 600 }
    }

    #[test]
    fn batches_and_replies_round_trip() {
        let batch = vec![increment("acc1.77", 2.5), increment("~0123456789abcdef.9", -0.25)];
        assert_eq!(decode_batch(&encode_batch(3, &batch)), Ok((3, batch)));
        let replies = [Reply::Total(41.25), Reply::Declined, Reply::Total(-0.5)];
        assert_eq!(decode_replies(&encode_replies(&replies), 3), Ok(replies.to_vec()));
        let most = vec![increment(&"n".repeat(64), 0.123_456_789_012_345_6); MAX_BATCH];
        let longest = encode_batch(u32::MAX, &most);
        assert!(longest.len() <= MAX_MESSAGE_BYTES, "{} bytes", longest.len());
        assert!(decode_batch(&longest).is_ok());
    }

    #[test]
    fn malformed_batches_are_rejected() {
        for (text, wanted) in [
            ("", "missing header"),
            ("turns-1\n", "missing header"),
            ("turns-2 1\n", "unsupported version"),
            ("turns-1 x\n", "invalid gateway number"),
            ("turns-1 1\na 1\n", "three fields"),
            ("turns-1 1\na 1 1 1\n", "three fields"),
            ("turns-1 1\n 1 1\n", "invalid name"),
            ("turns-1 1\na\u{1}b 1 1\n", "invalid name"),
            ("turns-1 1\na inf 1\n", "invalid amount"),
            ("turns-1 1\na NaN 1\n", "invalid amount"),
            ("turns-1 1\na 2e9 1\n", "invalid amount"),
            ("turns-1 1\na 1 0\n", "invalid time to live"),
            ("turns-1 1\na 1 3600001\n", "invalid time to live"),
            ("turns-1 1\na 1 1\nb x 1\n", "invalid amount"),
        ] {
            let error = decode_batch(text).unwrap_err();
            assert!(error.contains(wanted), "{text:?}: {error}");
        }
        assert!(decode_batch(&encode_batch(1, &vec![increment("a", 1.0); MAX_BATCH + 1]))
            .unwrap_err()
            .contains("too many"));
        assert!(decode_batch(&"x".repeat(MAX_MESSAGE_BYTES + 1)).unwrap_err().contains("too long"));
    }

    #[test]
    fn malformed_replies_are_rejected() {
        for (text, wanted) in [
            ("turns-1 said\ntotal 1\n", "not a reply to 2 increments"),
            ("turns-1 1\ntotal 1\ntotal 2\n", "not a reply"),
            ("turns-1 said\ntotal 1\ntotal NaN\n", "invalid total"),
            ("turns-1 said\ntotal 1\nnothing\n", "invalid total"),
        ] {
            let error = decode_replies(text, 2).unwrap_err();
            assert!(error.contains(wanted), "{text:?}: {error}");
        }
    }
}
