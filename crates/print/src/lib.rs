//! Standard output of subcommands. The standard library's `println!` panics once its reader has gone, as with
//! `hingestage lab | head -3`; here the program ends quietly instead, having nobody left to tell.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};

/// Writes to standard output. Without a reader the program ends, with success as `head` means it; any other
/// failure is told on standard error and ends it too, with 1.
pub fn put(text: Arguments) {
    match write(&mut io::stdout().lock(), text) {
        Ok(()) => {}
        Err(e) => std::process::exit(leave(&e)),
    }
}

fn write(out: &mut impl Write, text: Arguments) -> io::Result<()> {
    out.write_fmt(text)?;
    out.flush()
}

/// The exit code for output that can't be written, told where it is no missing reader.
fn leave(error: &io::Error) -> i32 {
    if error.kind() == ErrorKind::BrokenPipe {
        return 0;
    }
    let _ = writeln!(io::stderr(), "hingestage: standard output: {error}");
    1
}

/// Like `print!`, for programs whose reader may go.
#[macro_export]
macro_rules! put {
    ($($text:tt)*) => { $crate::put(format_args!($($text)*)) };
}

/// Like `println!`, for programs whose reader may go.
#[macro_export]
macro_rules! say {
    () => { $crate::put(format_args!("\n")) };
    ($($text:tt)*) => { $crate::put(format_args!("{}\n", format_args!($($text)*))) };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_missing_reader_ends_quietly_and_a_full_disk_does_not() {
        assert_eq!(leave(&ErrorKind::BrokenPipe.into()), 0);
        assert_eq!(leave(&ErrorKind::StorageFull.into()), 1);
    }
}
