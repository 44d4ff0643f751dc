//! How many replicas have to agree.

/// Sizes of quorums for a number of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    replicas: usize,
}

impl Quorum {
    /// For so many replicas, one at the least.
    pub fn of(replicas: usize) -> Quorum {
        Quorum { replicas: replicas.max(1) }
    }

    /// Replicas that must have a change on disk before it is acknowledged: a majority.
    pub fn durable(self) -> usize {
        self.replicas / 2 + 1
    }

    /// Replicas, this one among them, that have to say that they have nothing newer: so many that every
    /// durable change is on one of them.
    pub fn current(self) -> usize {
        self.replicas - self.durable() + 1
    }

    /// Other replicas that one without a disk's contents has to hear before it speaks again. Its own copy of
    /// a durable change may have been lost, so one more than usual is needed, as far as there are any.
    pub fn rebuild(self) -> usize {
        self.current().min(self.replicas - 1).max(usize::from(self.replicas > 1))
    }
}
