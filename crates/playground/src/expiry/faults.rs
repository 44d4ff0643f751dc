//! What goes wrong during an expiry.

use super::traffic::Traffic;
use super::{terms, END, TERMS_WITHIN};
use crate::layout::{Layout, Machine, ProcessSpec, Program};
use crate::operator::{put_terms, ORDERS};
use crate::processes::Processes;
use crate::surroundings::Surroundings;
use fastrand::Rng;
use hingestage_test_servers::service_worker::ServiceWorkerMode;
use std::time::Duration;
use tokio::time::sleep;

/// How long processes that were killed stay down, and how long those that stand still do.
const DOWN_FOR: Duration = Duration::from_millis(1_000);
const FROZEN_FOR: Duration = Duration::from_millis(5_500);

/// One trouble.
pub(super) enum Fault {
    /// Nothing.
    None,
    /// Processes are killed and start again.
    Kill(Vec<ProcessSpec>),
    /// Processes stand still, longer than a step takes to be in effect.
    Freeze(Vec<ProcessSpec>),
    /// Workers run orders and break off in place of an answer.
    AnswersLost,
    /// Two operators race under one version: one extends the trial, one ends it at once.
    Race,
}

impl Fault {
    /// Draws one.
    pub fn draw(random: &mut Rng, layout: &Layout) -> Fault {
        let on = |program: Program, machine: &Machine| ProcessSpec { program, machine: machine.clone() };
        let some = |random: &mut Rng, program: Program, machines: &[Machine], count: usize| {
            let chosen = random.choose_multiple(machines.iter(), count);
            chosen.into_iter().map(|machine| on(program, machine)).collect::<Vec<_>>()
        };
        let core = |core: &Machine| [on(Program::Registry, core), on(Program::ConfigStore, core)];
        match random.u32(..10) {
            0 => Fault::None,
            1 => Fault::Kill(layout.cores.iter().flat_map(core).collect()),
            2 => Fault::Kill(layout.cores.iter().map(|core| on(Program::Registry, core)).collect()),
            3 => Fault::Kill(some(random, Program::Registry, &layout.cores, 1)),
            4 => Fault::Kill(some(random, Program::ConfigStore, &layout.cores, 1)),
            5 => Fault::Kill(some(random, Program::Proxy, &layout.proxies, 2)),
            6 => Fault::Freeze(some(random, Program::Proxy, &layout.proxies, 2)),
            7 => Fault::Freeze(some(random, Program::Registry, &layout.cores, 1)),
            8 => Fault::AnswersLost,
            _ => Fault::Race,
        }
    }

    /// What it is, for who reads of it.
    pub fn name(&self) -> String {
        let names =
            |specs: &[ProcessSpec]| specs.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
        match self {
            Fault::None => "nothing".to_owned(),
            Fault::Kill(specs) => format!("killed {}", names(specs)),
            Fault::Freeze(specs) => format!("{} stood still", names(specs)),
            Fault::AnswersLost => "answers to orders were lost".to_owned(),
            Fault::Race => "two operators raced".to_owned(),
        }
    }

    /// Lets it happen, and ends it.
    pub async fn strike(
        &self,
        layout: &Layout,
        processes: &mut Processes,
        traffic: &Traffic,
        surroundings: &Surroundings,
    ) -> Result<(), String> {
        match self {
            Fault::None => {}
            Fault::Kill(specs) => {
                traffic.disturbed(specs);
                specs.iter().for_each(|spec| processes.kill(spec));
                sleep(DOWN_FOR).await;
                for spec in specs {
                    processes.restart(spec)?;
                }
            }
            Fault::Freeze(specs) => {
                traffic.disturbed(specs);
                specs.iter().for_each(|spec| processes.freeze(spec, true));
                sleep(FROZEN_FOR).await;
                specs.iter().for_each(|spec| processes.freeze(spec, false));
            }
            Fault::AnswersLost => {
                traffic.answers_lost();
                surroundings.set_mode(ORDERS, ServiceWorkerMode::ResetsAfterRun);
                sleep(FROZEN_FOR).await;
                surroundings.set_mode(ORDERS, ServiceWorkerMode::Answers);
            }
            Fault::Race => {
                traffic.operators_race.set(true);
                let (extended, ended) = (terms(2, END), terms(2, Duration::ZERO));
                let (first, second) = tokio::join!(
                    put_terms(layout, 0, &extended, TERMS_WITHIN),
                    put_terms(layout, 1, &ended, TERMS_WITHIN),
                );
                if first? && second? {
                    return Err("two terms under one version were both said to hold".to_owned());
                }
            }
        }
        Ok(())
    }
}
