//! Which gateway a client goes to: a value without I/O.
//!
//! An account comes through a set of gateways that follow one another, and through no other. Clients learn that
//! a gateway is gone after a time, and go to the others of the set; where all of it is gone, nowhere.

use std::time::Duration;

/// What clients believe of gateways.
pub struct Front {
    up: Vec<bool>,
    /// News on their way that a gateway is gone, and when they arrive.
    news: Vec<(Duration, usize)>,
    notices: Duration,
}

impl Front {
    /// Nobody is there yet.
    pub fn new(gateways: usize, notices: Duration) -> Front {
        Front { up: vec![false; gateways], news: Vec::new(), notices }
    }

    /// A gateway can be reached: clients know at once, as of a health check that turns good.
    pub fn is_up(&mut self, gateway: usize) {
        self.news.retain(|(_, of)| *of != gateway);
        self.up[gateway] = true;
    }

    /// A gateway is gone; clients notice after a while.
    pub fn goes(&mut self, now: Duration, gateway: usize) {
        self.news.push((now + self.notices, gateway));
    }

    /// A client could not connect.
    pub fn refused(&mut self, gateway: usize) {
        self.up[gateway] = false;
    }

    /// Whether clients go to it.
    pub fn goes_to(&self, gateway: usize) -> bool {
        self.up[gateway]
    }

    /// Takes in the news that have arrived.
    pub fn at(&mut self, now: Duration) {
        let arrived = self.news.extract_if(.., |(at, _)| *at <= now);
        arrived.for_each(|(_, gateway)| self.up[gateway] = false);
    }

    /// The gateway for one of an account whose set begins at `first`; `draw` chooses among equals. None where
    /// all of the set are gone.
    pub fn choose(&self, first: usize, spread: usize, draw: u64) -> Option<usize> {
        let all = self.up.len();
        let of_set: Vec<usize> =
            (0..spread.min(all)).map(|n| (first + n) % all).filter(|g| self.up[*g]).collect();
        match of_set.len() {
            0 => None,
            n => Some(of_set[(draw % n as u64) as usize]),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn front(up: &[usize]) -> Front {
        let mut front = Front::new(6, Duration::from_millis(500));
        up.iter().for_each(|g| front.is_up(*g));
        front
    }

    #[test]
    fn a_client_stays_in_its_set_while_one_of_it_is_there() {
        let front = front(&[0, 1, 4, 5]);
        let chosen: Vec<_> = (0..4).map(|draw| front.choose(4, 3, draw).unwrap()).collect();
        assert_eq!(chosen, [4, 5, 0, 4]);
        assert_eq!(front.choose(2, 2, 9), None, "all of the set are gone, though others are there");
        assert_eq!(Front::new(3, Duration::ZERO).choose(0, 3, 1), None);
    }

    #[test]
    fn a_gateway_that_goes_is_asked_until_clients_notice() {
        let mut front = front(&[0, 1]);
        let second = Duration::from_secs(1);
        front.goes(second, 0);
        front.at(second + Duration::from_millis(499));
        assert!(front.goes_to(0));
        front.at(second + Duration::from_millis(500));
        assert!(!front.goes_to(0));
    }

    #[test]
    fn one_that_is_back_before_clients_noticed_stays() {
        let mut front = front(&[0]);
        front.goes(Duration::ZERO, 0);
        front.is_up(0);
        front.at(Duration::from_secs(9));
        assert!(front.goes_to(0));
    }

    #[test]
    fn whoever_refuses_a_connection_is_left_out_at_once() {
        let mut front = front(&[0, 1]);
        front.refused(0);
        assert_eq!((front.choose(0, 1, 0), front.choose(0, 2, 0)), (None, Some(1)));
    }
}
