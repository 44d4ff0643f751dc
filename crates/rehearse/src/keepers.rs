//! The keepers of the policy in a rehearsal: processes, a relay on each way between them and from each gateway, and
//! operators who propose.

use crate::links::Link;
use crate::policies::{At, Policies, IN_FORCE};
use crate::process::{astray, spawn, Process};
use crate::record::{Event, Record};
use crate::script::{ahead, Fault, Keepers as Wanted, Script, Timed};
use hingestage_platform::{Platform, Tokio};
use hingestage_policy_store::client::KeeperClient as Client;
use hingestage_test_servers::site;
use hyper::Method;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long keepers are asked at the end what became of changes.
const PATIENCE: Duration = Duration::from_secs(15);
/// Longer than its deadline a proposer is waited for.
const PROPOSES: Duration = Duration::from_secs(60);
/// How often it is looked whether a process has ended.
const LOOK: Duration = Duration::from_millis(20);

/// One of them.
struct Keeper {
    folder: PathBuf,
    at: SocketAddr,
    process: RefCell<Option<Process>>,
    /// Whether it ran before.
    ran: Cell<bool>,
    /// Links to the others, by number, and where these begin.
    links: BTreeMap<usize, (Rc<Link>, SocketAddr)>,
}

/// All of them.
pub struct Keepers {
    wanted: Wanted,
    program: PathBuf,
    folder: PathBuf,
    keepers: Vec<Keeper>,
    /// Links from gateways, by gateway and keeper, and where these begin.
    gateways: BTreeMap<(usize, usize), (Rc<Link>, SocketAddr)>,
    /// Versions proposed so far.
    number: Cell<u64>,
    proposals: RefCell<Vec<(u64, String, Duration, Duration)>>,
}

impl Keepers {
    /// Puts them in place, and starts them.
    pub async fn start(
        script: &Script,
        wanted: &Wanted,
        program: &Path,
        folder: &Path,
        at: impl Fn(usize) -> SocketAddr,
        record: &Rc<Record>,
    ) -> Result<Keepers, String> {
        let mut all = Vec::new();
        for number in 0..wanted.count {
            let own = folder.join(format!("k{number}"));
            fs::create_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
            let mut links = BTreeMap::new();
            for other in (0..wanted.count).filter(|other| *other != number) {
                links.insert(other, Link::open(at(other), None, record).await?);
            }
            let (process, ran) = (RefCell::default(), Cell::new(false));
            all.push(Keeper { folder: own, at: at(number), process, ran, links });
        }
        let mut gateways = BTreeMap::new();
        for gateway in 0..script.most_gateways() {
            for (number, keeper) in all.iter().enumerate() {
                gateways.insert((gateway, number), Link::open(keeper.at, None, record).await?);
            }
        }
        let keepers = Keepers {
            wanted: wanted.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            keepers: all,
            gateways,
            number: Cell::new(1),
            proposals: RefCell::default(),
        };
        let write = |file: PathBuf, text: String| {
            fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))
        };
        write(keepers.document_file(1), document(script, 1))?;
        for number in 0..wanted.count {
            write(keepers.keepers[number].folder.join("keeper.lisp"), keepers.file(number))?;
            keepers.launch(number)?;
        }
        Ok(keepers)
    }

    fn document_file(&self, version: u64) -> PathBuf {
        self.folder.join(format!("policy-{version}.lisp"))
    }

    fn figures(&self) -> String {
        let (lease, error) = (self.wanted.lease.as_secs_f64(), self.wanted.error.as_secs_f64());
        format!("(lease {lease}) (error {error})")
    }

    fn file(&self, number: usize) -> String {
        let keeper = &self.keepers[number];
        let near = |other: usize| keeper.links.get(&other).map_or(keeper.at, |(_, at)| *at);
        let others: String = (0..self.keepers.len()).map(|n| format!(" ({n} \"{}\")", near(n))).collect();
        format!(
            "(keeper (number {number}) (listen \"{}\") (folder \"{}\") (first \"{}\") (keepers{others}) {})",
            keeper.at,
            keeper.folder.display(),
            self.document_file(1).display(),
            self.figures()
        )
    }

    /// What a gateway's operators' file says of them.
    pub fn section(&self, gateway: usize) -> String {
        let mut text = "(policy (keepers".to_owned();
        for ((_, keeper), (_, at)) in self.gateways.range((gateway, 0)..(gateway + 1, 0)) {
            let _ = write!(text, " ({keeper} \"{at}\")");
        }
        let mode = if self.wanted.serve { "serve" } else { "stop" };
        let _ = write!(text, ") (name \"g{gateway}\") (mode {mode}) {})", self.figures());
        text
    }

    /// Starts one that does not run.
    fn launch(&self, number: usize) -> Result<(), String> {
        let keeper = &self.keepers[number];
        if keeper.process.borrow().is_some() {
            return Ok(());
        }
        let file = keeper.folder.join("keeper.lisp").display().to_string();
        let mut args = vec!["keep".to_owned(), file];
        // It makes its store once, and had one ever since.
        args.extend((!keeper.ran.replace(true)).then(|| "--begin".to_owned()));
        let env = astray(ahead(&self.wanted.clocks, number));
        *keeper.process.borrow_mut() = Some(spawn(&self.program, &keeper.folder, &args, &env)?);
        Ok(())
    }

    /// Does what goes wrong with them, and mends it at its end.
    ///
    /// # Errors
    /// One can't be started again.
    pub async fn strike(
        &self,
        script: &Script,
        timed: &Timed,
        ends: Instant,
        record: &Record,
    ) -> Result<(), String> {
        match &timed.fault {
            Fault::KillKeepers(some) => {
                some.iter().for_each(|number| self.kill(*number));
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    some.iter().try_for_each(|number| self.launch(*number))?;
                }
            }
            Fault::StallKeepers(some) => {
                some.iter().for_each(|number| self.signal(*number, Signal::STOP));
                Tokio.sleep_until(ends).await;
                some.iter().for_each(|number| self.signal(*number, Signal::CONT));
            }
            Fault::KeeperLinks(from, to, harm) => {
                let undo: Vec<_> = self.between(from, to).iter().map(|link| link.harm(*harm)).collect();
                if timed.lasts.is_some() {
                    Tokio.sleep_until(ends).await;
                    undo.into_iter().for_each(|undo| undo());
                }
            }
            Fault::Propose(deadline, killed) => {
                record.note(Event::Fault(self.propose(script, timed.at, *deadline, *killed).await));
            }
            Fault::DeclareGone(gateway) => record.note(Event::Fault(self.declare_gone(*gateway).await)),
            // What goes wrong with others is the world's to do.
            _ => {}
        }
        Ok(())
    }

    /// Kills one that runs.
    fn kill(&self, number: usize) {
        self.keepers[number].process.take().into_iter().for_each(|mut process| process.kill());
    }

    /// Sends a signal to one that runs.
    fn signal(&self, number: usize, signal: Signal) {
        self.keepers[number].process.borrow().iter().for_each(|process| process.signal(signal));
    }

    /// Reads how much processor time those that run have had.
    pub fn spent(&self, into: &mut BTreeMap<u32, Duration>) {
        self.keepers.iter().for_each(|keeper| keeper.process.borrow().iter().for_each(|p| p.spent(into)));
    }

    /// Those that ended unasked, in words.
    pub fn look_after(&self) -> Vec<String> {
        let mut crashed = Vec::new();
        for (number, keeper) in self.keepers.iter().enumerate() {
            let ended = keeper.process.borrow_mut().as_mut().and_then(Process::ended);
            if let Some(status) = ended {
                keeper.process.take();
                let words = crate::process::last_words(&keeper.folder);
                crashed.push(format!("keeper {number} ended with {status}: {words}"));
            }
        }
        crashed
    }

    /// Links of a gateway to some keepers; to all where none is named.
    pub fn of_gateway(&self, gateway: usize, some: &[usize]) -> Vec<Rc<Link>> {
        let named = |n: usize| some.is_empty() || some.contains(&n);
        let links = self.gateways.range((gateway, 0)..(gateway + 1, 0));
        links.filter(|((_, n), _)| named(*n)).map(|(_, (link, _))| link.clone()).collect()
    }

    /// Links from some keepers to others.
    fn between(&self, from: &[usize], to: &[usize]) -> Vec<Rc<Link>> {
        let links = from.iter().flat_map(|n| self.keepers[*n].links.iter());
        links.filter(|(n, _)| to.contains(n)).map(|(_, (link, _))| link.clone()).collect()
    }

    fn named(&self) -> String {
        let all = self.keepers.iter().enumerate().map(|(n, keeper)| format!("{n}={}", keeper.at));
        all.collect::<Vec<_>>().join(",")
    }

    /// Has a command of `hingestage policy` run; gives its exit code, none where it was killed.
    async fn command(
        &self,
        args: &[String],
        name: &str,
        within: Duration,
        killed: Option<Duration>,
    ) -> Option<i32> {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder).ok()?;
        let env = [("HINGESTAGE_KEEPERS", self.named())];
        let mut process = spawn(&self.program, &folder, args, &env).ok()?;
        let begun = Tokio.now();
        loop {
            if let Some(status) = process.ended() {
                return status.code();
            }
            let took = Tokio.since(begun);
            if took > within || killed.is_some_and(|after| took >= after) {
                process.kill();
                return None;
            }
            Tokio.sleep(LOOK).await;
        }
    }

    /// Proposes the next version; gives what came of it in words.
    async fn propose(
        &self,
        script: &Script,
        at: Duration,
        deadline: Duration,
        killed: Option<Duration>,
    ) -> String {
        let version = self.number.get() + 1;
        self.number.set(version);
        let file = self.document_file(version);
        if let Err(e) = fs::write(&file, document(script, version)) {
            return format!("version {version}: {}: {e}", file.display());
        }
        let begun = Tokio.now();
        let args =
            ["policy", "propose", &file.display().to_string(), "--wait", "--deadline"].map(str::to_owned);
        let args = [args.as_slice(), &[deadline.as_secs_f64().to_string()]].concat();
        let code = self.command(&args, &format!("propose-{version}"), deadline + PROPOSES, killed).await;
        let how = match code {
            Some(0) => IN_FORCE,
            Some(4) => "called off",
            Some(5) => "unknown",
            Some(_) => "refused",
            None => "its proposer was killed",
        };
        let took = Tokio.since(begun);
        self.proposals.borrow_mut().push((version, how.to_owned(), at, took));
        format!("version {version}: {how} after {:.2} s", took.as_secs_f64())
    }

    /// Has an operator declare a gateway gone.
    async fn declare_gone(&self, gateway: usize) -> String {
        let args = ["policy", "declare-gone", &format!("g{gateway}")].map(str::to_owned);
        let code = self.command(&args, &format!("gone-{gateway}"), PROPOSES, None).await;
        format!("gateway {gateway} is declared gone: {code:?}")
    }

    /// What became of all changes, as the keepers have it; `unix` is when clients began.
    pub async fn policies(&self, unix: Duration) -> Result<Policies, String> {
        let at = self.keepers.iter().enumerate().map(|(n, keeper)| (n as u64, keeper.at)).collect();
        let mut client = Client::new(at, PATIENCE);
        let report: serde_json::Value =
            client.ask(Method::GET, "/status", &()).await.map_err(|e| format!("the keepers: {e:?}"))?;
        let begun = unix.as_micros() as At;
        let mut in_force = vec![(1, At::MIN)];
        for change in report["history"].as_array().into_iter().flatten() {
            if let (Some(number), Some(from)) = (change[0]["number"].as_u64(), change[1]["InForce"].as_i64())
            {
                in_force.push((number, from - begun));
            }
        }
        let last = report["force"]["number"].as_u64();
        Ok(Policies { in_force, proposals: self.proposals.borrow().clone(), last })
    }
}

/// A version: the script's plans, the classes of the site, and one of two accounts blocked.
fn document(script: &Script, version: u64) -> String {
    let mut text = format!("(policy (form 1) (version {version})");
    for plan in &script.plans {
        let _ = write!(text, "\n  (plan \"{}\"", plan.name);
        if plan.rate > 0.0 {
            let _ = write!(text, " (quota {} {})", plan.rate, plan.burst);
        }
        if plan.ceiling_rate > 0.0 {
            let (rate, depth, slack) = (plan.ceiling_rate, plan.ceiling_depth, plan.ceiling_slack);
            let _ = write!(text, " (ceiling {rate} {depth} {slack})");
        }
        text.push(')');
    }
    let attempts = site::MAX_ATTEMPTS;
    let _ = write!(
        text,
        "\n  (class \"pull\" (aim 0.6) (give-up 1.5) (effect idempotent) (attempts {attempts}))"
    );
    let _ = write!(
        text,
        "\n  (class \"push\" (aim 0.75) (give-up 2.5) (effect at-most-once) (attempts {attempts}))"
    );
    if let Some((odd, even)) = script.witnesses() {
        let _ = write!(text, "\n  (blocked {})", if version % 2 == 1 { odd } else { even });
    }
    text.push_str(")\n");
    text
}
