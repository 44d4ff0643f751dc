//! Command-line arguments.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, compares and merges configurations.
    ///
    /// Exit codes: 0 success or no differences, 1 differences or conflicts, 2 bad usage or an invalid file.
    cmd hingestage-config {
        /// Check one configuration.
        cmd check {
            /// The configuration.
            required file: PathBuf
        }
        /// Show the differences between two configurations.
        cmd diff {
            /// The old configuration.
            required old: PathBuf
            /// The new configuration.
            required new: PathBuf
            /// Write the differences as JSON.
            optional --json
        }
        /// Merge two changed versions of one configuration.
        cmd merge {
            /// The common base of both versions.
            required base: PathBuf
            /// The first changed configuration.
            required ours: PathBuf
            /// The second changed configuration.
            required theirs: PathBuf
            /// Write the result to this file instead of standard output.
            optional --out file: PathBuf
        }
    }
}
