//! Systems that are played from seeds, some at a time.

use std::future::Future;
use tokio::task::{spawn_local, JoinHandle};

/// Which seeds are played.
#[derive(clap::Args, Debug)]
pub struct Seeds {
    /// How many seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=256))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    pub from: u64,
    /// Systems at a time.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=16))]
    at_once: u8,
}

impl Seeds {
    /// Plays all seeds, and passes on what came of each in the order of the seeds.
    pub async fn play<T: 'static, F: Future<Output = Result<T, String>> + 'static>(
        &self,
        play: impl Fn(u64) -> F,
        mut on_end: impl FnMut(u64, Result<T, String>),
    ) {
        let seeds: Vec<u64> = (self.from..self.from + self.seeds).collect();
        for some in seeds.chunks(usize::from(self.at_once)) {
            let start = |seed: &u64| (*seed, spawn_local(play(*seed)));
            let played: Vec<(u64, JoinHandle<Result<T, String>>)> = some.iter().map(start).collect();
            for (seed, played) in played {
                on_end(seed, played.await.unwrap_or_else(|error| Err(error.to_string())));
            }
        }
    }
}
