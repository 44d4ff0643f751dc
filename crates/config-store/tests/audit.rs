//! Persistence of the audit log, and handling of a damaged database.

use hingestage_config_store::audit::AuditLog;
use hingestage_rpc::trials::{TrialPosition, TrialRecord};
use std::path::PathBuf;

fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn record(tenant: &str, step: u32) -> TrialRecord {
    let position = TrialPosition { version: 1, digest: 7, step };
    TrialRecord { tenant: tenant.into(), position, terms: b"{}".to_vec() }
}

#[test]
fn steps_survive_a_restart() {
    let dir = directory("audit");
    let audit = AuditLog::new(&dir);
    assert_eq!(audit.entries_for("a").unwrap(), []);
    assert_eq!(std::fs::read_dir(&dir).unwrap().count(), 0, "without trials there is no database");
    audit.append(&[record("a", 0), record("b", 0)]).unwrap();
    audit.append(&[record("a", 1)]).unwrap();
    drop(audit);
    let audit = AuditLog::new(&dir);
    audit.append(&[record("a", 2)]).unwrap();
    let steps: Vec<u32> = audit.entries_for("a").unwrap().iter().map(|entry| entry.position.step).collect();
    assert_eq!(steps, [0, 1, 2]);
    assert!(audit.entries_for("a").unwrap().iter().all(|entry| entry.at > 0));
}

#[test]
fn damaged_database_is_an_error_and_does_not_panic() {
    let dir = directory("audit-damaged");
    std::fs::write(dir.join("trial-audit.redb"), b"not a database").unwrap();
    assert!(AuditLog::new(&dir).append(&[record("a", 0)]).is_err());
    assert!(AuditLog::new(&dir).entries_for("a").is_err());
}
