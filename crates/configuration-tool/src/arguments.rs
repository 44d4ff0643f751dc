//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks, compares and merges configurations.
    ///
    /// Exit codes: 0 fine or no differences, 1 differences or conflicts, 2 bad usage or an invalid file.
    cmd hingestage-config {
        /// Check one configuration.
        cmd check {
            /// The configuration.
            required file: PathBuf
        }
        /// Tell what differs between two configurations.
        cmd diff {
            /// The old configuration.
            required old: PathBuf
            /// The new configuration.
            required new: PathBuf
            /// Write the differences as JSON.
            optional --json
        }
        /// Join two changes of one configuration.
        cmd merge {
            /// The configuration that both changes began with.
            required base: PathBuf
            /// The first changed configuration.
            required ours: PathBuf
            /// The second changed configuration.
            required theirs: PathBuf
            /// Write the result here, not to the standard output.
            optional --out file: PathBuf
        }
    }
}
