//! Text format of batches and replies between a forwarding gateway and an owner.

use std::fmt::Write;

/// Format version at the head of both messages.
const VERSION: &str = "turns-1";
/// Maximum increments per batch.
pub const NAMES: usize = 64;
/// Longest counter name, bytes; the counter's own limit.
const MAX_NAME_BYTES: usize = 64;
/// Longest message, bytes: a name and three numbers per line, and the header.
pub const WORD_MAX: usize = (NAMES + 1) * (MAX_NAME_BYTES + 64);
/// Longest time to live of a counter value, ms.
const MAX_TTL_MS: u64 = 3_600_000;
/// Largest amount of one increment.
const MAX_AMOUNT: f64 = 1e9;

/// An amount to add to a counter name, in exchange for the total.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Counter name.
    pub name: String,
    /// Amount to add; negative when units are returned.
    pub amount: f64,
    /// Time to live of a new counter value, ms.
    pub keep_ms: u64,
}

/// An owner's reply to one increment, in the order of the batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// Added; the new total.
    Total(f64),
    /// Not added: this gateway owns no names now.
    Elsewhere,
}

/// Encodes a batch.
pub fn text(from: u32, told: &[Told]) -> String {
    let mut text = format!("{VERSION} {from}\n");
    for one in told {
        let _ = writeln!(text, "{} {} {}", one.name, one.amount, one.keep_ms);
    }
    text
}

/// Decodes a batch: its sender and the increments.
///
/// # Errors
/// What is wrong with the text. A batch is accepted in whole or not at all.
pub fn read(text: &str) -> Result<(u32, Vec<Told>), String> {
    let lines = lines(text)?;
    let (head, rest) = lines.split_first().ok_or("missing header")?;
    let from = head.parse().map_err(|_| "invalid gateway number")?;
    let told = rest.iter().map(|line| decode_increment(line)).collect::<Result<Vec<Told>, String>>()?;
    Ok((from, told))
}

fn decode_increment(line: &str) -> Result<Told, String> {
    let fields: Vec<&str> = line.split(' ').collect();
    let [name, amount, keep] = fields[..] else { return Err("expected three fields per line".into()) };
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.bytes().any(|b| b.is_ascii_control()) {
        return Err("invalid name".into());
    }
    let amount = amount.parse().ok().filter(|n: &f64| n.abs() <= MAX_AMOUNT).ok_or("invalid amount")?;
    let keep_ms = keep.parse().ok().filter(|ms| (1..=MAX_TTL_MS).contains(ms)).ok_or("invalid time to live")?;
    Ok(Told { name: name.to_owned(), amount, keep_ms })
}

/// Encodes the replies to a batch.
pub fn answer(said: &[Said]) -> String {
    let mut text = format!("{VERSION} said\n");
    for one in said {
        let _ = match one {
            Said::Total(total) => writeln!(text, "total {total}"),
            Said::Elsewhere => writeln!(text, "elsewhere"),
        };
    }
    text
}

/// Decodes the replies to a batch of `count` increments.
///
/// # Errors
/// What is wrong with the text.
pub fn read_answer(text: &str, count: usize) -> Result<Vec<Said>, String> {
    let lines = lines(text)?;
    let (head, rest) = lines.split_first().ok_or("missing header")?;
    if *head != "said" || rest.len() != count {
        return Err(format!("not a reply to {count} increments"));
    }
    rest.iter().map(|line| decode_reply_line(line)).collect()
}

fn decode_reply_line(line: &str) -> Result<Said, String> {
    if line == "elsewhere" {
        return Ok(Said::Elsewhere);
    }
    let total = line.strip_prefix("total ").and_then(|total| total.parse().ok());
    total.filter(|total: &f64| total.is_finite()).map(Said::Total).ok_or_else(|| "invalid total".into())
}

/// Checks the size and the version; returns the rest of the header, then the other lines.
fn lines(text: &str) -> Result<Vec<&str>, String> {
    if text.len() > WORD_MAX {
        return Err("too long".into());
    }
    let mut lines: Vec<&str> = text.lines().collect();
    if lines.len() > NAMES + 1 {
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

    fn told(name: &str, amount: f64) -> Told {
        Told { name: name.into(), amount, keep_ms: 600 }
    }

    #[test]
    fn batches_and_replies_round_trip() {
        let word = vec![told("acc1.77", 2.5), told("~0123456789abcdef.9", -0.25)];
        assert_eq!(read(&text(3, &word)), Ok((3, word)));
        let said = [Said::Total(41.25), Said::Elsewhere, Said::Total(-0.5)];
        assert_eq!(read_answer(&answer(&said), 3), Ok(said.to_vec()));
        let most = vec![told(&"n".repeat(64), 0.123_456_789_012_345_6); NAMES];
        let longest = text(u32::MAX, &most);
        assert!(longest.len() <= WORD_MAX, "{} bytes", longest.len());
        assert!(read(&longest).is_ok());
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
            let error = read(text).unwrap_err();
            assert!(error.contains(wanted), "{text:?}: {error}");
        }
        assert!(read(&text(1, &vec![told("a", 1.0); NAMES + 1])).unwrap_err().contains("too many"));
        assert!(read(&"x".repeat(WORD_MAX + 1)).unwrap_err().contains("too long"));
    }

    #[test]
    fn malformed_replies_are_rejected() {
        for (text, wanted) in [
            ("turns-1 said\ntotal 1\n", "not a reply to 2 increments"),
            ("turns-1 1\ntotal 1\ntotal 2\n", "not a reply"),
            ("turns-1 said\ntotal 1\ntotal NaN\n", "invalid total"),
            ("turns-1 said\ntotal 1\nnothing\n", "invalid total"),
        ] {
            let error = read_answer(text, 2).unwrap_err();
            assert!(error.contains(wanted), "{text:?}: {error}");
        }
    }
}
