//! What a store must keep through a loss of power at any step of a write, whatever it writes to.
//!
//! The contracts are functions over [`Disk`], so that a second implementation can be run by them.

use hingestage_config_store::files::{Files, Loaded};
use hingestage_replication::State;
use hingestage_rpc::messages::{ConfigDocument, StoreMember, Update, ZoneDrain};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A store's disk as the contracts see it.
trait Disk {
    /// Opened for the first time, or again after the process ended.
    fn open(dir: &Path) -> Self;
    fn load(&self) -> Loaded;
    fn write(&self, update: &Update, after: &State);
    fn write_members(&self, members: &[StoreMember]);
}

impl Disk for Files {
    fn open(dir: &Path) -> Self {
        Files::open(dir).expect("the directory")
    }
    fn load(&self) -> Loaded {
        Files::load(self).expect("the directory")
    }
    fn write(&self, update: &Update, after: &State) {
        Files::write(self, update, after).expect("the disk");
    }
    fn write_members(&self, members: &[StoreMember]) {
        Files::write_members(self, members).expect("the disk");
    }
}

/// An empty directory, removed at the end of the test.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("config-store-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        Dir(dir)
    }

    /// The file of a configuration.
    fn config(&self, serial: u64) -> PathBuf {
        let prefix = format!("config-{serial:08x}-");
        let mut entries =
            fs::read_dir(&self.0).expect("the directory").map(|entry| entry.expect("a file").path());
        let named = |path: &PathBuf| {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            name.starts_with(&prefix) && name.ends_with(".json")
        };
        entries.find(named).expect("a configuration")
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn config(serial: u64, content: &str) -> Update {
    let json = content.as_bytes().to_vec();
    Update::Config(ConfigDocument::new(serial, json))
}

fn drain(order: u64) -> Update {
    Update::Drain { zone: "a".into(), drain: ZoneDrain { order, drained: true } }
}

fn proxies(name: &str) -> Update {
    Update::Proxies([(name.into(), true)].into())
}

fn member() -> StoreMember {
    StoreMember { name: "s0".into(), zone: "a".into(), addr: "10.0.0.1:7601".parse().expect("an address") }
}

/// Writes updates one after the other, as a store does.
fn write_all<D: Disk>(disk: &D, updates: &[Update]) -> State {
    let mut state = disk.load().state;
    for update in updates {
        state.apply(update.clone());
        disk.write(update, &state);
    }
    state
}

fn serial(loaded: &Loaded) -> Option<u64> {
    loaded.state.config.as_ref().map(|config| config.version.serial)
}

/// What was written is there after a restart, and an empty disk says that nothing has begun.
fn keeps_what_was_written<D: Disk>(dir: &Path) {
    let disk = D::open(dir);
    assert_eq!(disk.load(), Loaded::default());
    disk.write_members(&[member()]);
    let updates = [config(3, "three"), drain(1), proxies("p"), drain(2), proxies("q")];
    let state = write_all(&disk, &updates);
    assert_eq!(D::open(dir).load(), Loaded { state, members: vec![member()], begun: true });
}

/// Of many configurations the newest holds, in whatever order they came.
fn keeps_the_newest_of_many<D: Disk>(dir: &Path) {
    let disk = D::open(dir);
    for serial in [5, 9, 7, 8, 6, 300, 20] {
        disk.write(&config(serial, &format!("content {serial}")), &State::default());
    }
    assert_eq!(serial(&D::open(dir).load()), Some(300));
}

/// A replica that lost its disk and was told a part of it has not begun: it must go on recovering.
fn updates_alone_are_no_beginning<D: Disk>(dir: &Path) {
    write_all(&D::open(dir), &[drain(1), config(3, "three"), proxies("p")]);
    let loaded = D::open(dir).load();
    assert!(!loaded.begun, "it would speak for others after a restart");
    assert_eq!(serial(&loaded), Some(3), "what it was told is kept");
}

#[test]
fn files_keep_what_was_written() {
    keeps_what_was_written::<Files>(&Dir::new().0);
}

#[test]
fn files_keep_the_newest_of_many() {
    keeps_the_newest_of_many::<Files>(&Dir::new().0);
}

#[test]
fn files_of_updates_alone_are_no_beginning() {
    updates_alone_are_no_beginning::<Files>(&Dir::new().0);
}

#[test]
fn power_lost_before_the_rename_leaves_the_old_files() {
    let dir = Dir::new();
    let disk = Files::open(&dir.0).expect("the directory");
    disk.write_members(&[member()]).expect("the disk");
    let old = write_all(&disk, &[config(3, "three"), drain(1), proxies("p")]);
    let torn = ["config-00000004-0000000000000000.json.new", "drains.json.new", "members.json.new"];
    for name in torn {
        fs::write(dir.0.join(name), b"[{\"torn").expect("a file");
    }
    let whole = config(4, "four");
    let Update::Config(four) = &whole else { unreachable!() };
    let unnamed = format!("config-00000004-{:016x}.json.new", four.version.digest);
    fs::write(dir.0.join(unnamed), b"four").expect("a file");
    let loaded = Files::open(&dir.0).and_then(|files| files.load()).expect("the directory");
    assert_eq!(loaded, Loaded { state: old, members: vec![member()], begun: true });
    assert_eq!(serial(&Loaded { state: write_all(&disk, &[whole]), ..Loaded::default() }), Some(4));
    assert_eq!(
        serial(&disk.load().expect("the directory")),
        Some(4),
        "what was left over is in nobody's way"
    );
}

#[test]
fn a_torn_configuration_is_passed_over_for_the_older_one() {
    type Damage = fn(&Path);
    let cases: [(&str, Damage); 4] = [
        ("cut short", |path| fs::write(path, b"fo").expect("a file")),
        ("empty", |path| fs::write(path, b"").expect("a file")),
        ("other bytes", |path| fs::write(path, b"f0ur").expect("a file")),
        ("unreadable", |path| {
            fs::remove_file(path).and_then(|()| fs::create_dir(path)).expect("a directory");
        }),
    ];
    for (name, damage) in cases {
        let dir = Dir::new();
        let disk = Files::open(&dir.0).expect("the directory");
        write_all(&disk, &[config(3, "three"), config(4, "four")]);
        damage(&dir.config(4));
        let loaded = disk.load().expect("the directory");
        assert_eq!(serial(&loaded), Some(3), "{name}");
    }
}

#[test]
fn old_configurations_are_forgotten_but_for_two() {
    let dir = Dir::new();
    let disk = Files::open(&dir.0).expect("the directory");
    let updates: Vec<Update> = (1..=9).map(|serial| config(serial, &format!("content {serial}"))).collect();
    write_all(&disk, &updates);
    assert_eq!(fs::read_dir(&dir.0).expect("the directory").count(), 3);
    assert!(dir.config(7).exists());
}

#[test]
fn files_of_other_names_are_passed_over() {
    let dir = Dir::new();
    for name in ["config-.json", "config-x-y.json", "config-00000001.json", "notes.txt"] {
        fs::write(dir.0.join(name), b"{}").expect("a file");
    }
    let loaded = Files::open(&dir.0).and_then(|files| files.load()).expect("the directory");
    assert_eq!(loaded, Loaded::default());
}
