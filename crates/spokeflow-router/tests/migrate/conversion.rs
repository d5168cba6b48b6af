//! The content of a migrated file, and files that cannot be migrated.

use clap::Parser;
use spokeflow_router::migrate::{
    check_settings, migrate, parse_settings, MigrateProgram, MigrationErrors,
};

use crate::{Folder, OLD};

/// The errors as they are printed.
fn lines(errors: &MigrationErrors) -> Vec<String> {
    errors.0.iter().map(ToString::to_string).collect()
}

#[test]
fn each_fault_is_one_line_with_its_setting_and_line_number_and_nothing_is_written() {
    let base = "SPOKEFLOW_LIST=127.0.0.1:1\nSPOKEFLOW_DESK=127.0.0.1:2\n\
                SPOKEFLOW_OP=a:redeliverable:target=1s:timeout=4s\n";
    let cases = [
        (
            "SPOKEFLOW_LISTT=1",
            "line 4: SPOKEFLOW_LISTT: not a setting",
        ),
        (
            "SPOKEFLOW_SITE=1\nSPOKEFLOW_SITE=2",
            "line 5: SPOKEFLOW_SITE: already given on line 4",
        ),
        (
            "no setting at all",
            "line 4: 'no setting at all' is not NAME=VALUE",
        ),
        (
            "SPOKEFLOW_SITE=\"1",
            "line 4: SPOKEFLOW_SITE: the closing quote is missing",
        ),
        (
            "SPOKEFLOW_SITE=here",
            "line 4: SPOKEFLOW_SITE: invalid value 'here'",
        ),
        (
            "SPOKEFLOW_MAY_PROBE=yes",
            "line 4: SPOKEFLOW_MAY_PROBE: 'yes' is neither true nor false",
        ),
        (
            "SPOKEFLOW_COLD_FROM=0",
            "line 4: SPOKEFLOW_COLD_FROM: --cold-from: ",
        ),
        (
            "SPOKEFLOW_BACK_VOTES=3",
            "line 4: SPOKEFLOW_BACK_VOTES: --back-votes: 3 votes, but the fleet has 1 routers",
        ),
    ];
    for (more, expected) in cases {
        let folder = Folder::new("faults", &format!("{base}{more}\n"));
        let errors = migrate(&folder.program(&[])).unwrap_err();
        assert_eq!(errors.0.len(), 1, "{more}: {errors}");
        assert!(lines(&errors)[0].starts_with(expected), "{more}: {errors}");
        assert_eq!(folder.files(), 1, "{more}");
    }
    let missing = Folder::new("missing", "SPOKEFLOW_LIST=127.0.0.1:1\n");
    let errors = migrate(&missing.program(&[])).unwrap_err();
    assert_eq!(
        lines(&errors),
        [
            "SPOKEFLOW_OP: missing",
            "SPOKEFLOW_RELEASE_CONTROLLER: missing"
        ]
    );
    // A fault that only the migrated settings have is found as well, before anything is written.
    let folder = Folder::new("new", OLD);
    let errors = migrate(&folder.program(&["--set", "SPOKEFLOW_BACK_VOTES=9"])).unwrap_err();
    assert_eq!(
        lines(&errors),
        ["--set SPOKEFLOW_BACK_VOTES: --back-votes: 9 votes, but the fleet has 4 routers"]
    );
    assert_eq!(folder.files(), 1);
}

#[test]
fn input_is_unchanged_output_is_overwritten_only_with_replace_and_check_writes_nothing() {
    let folder = Folder::new("files", OLD);
    let checked = migrate(&folder.program(&["--check"])).unwrap();
    let notes = checked.notes;
    assert_eq!(folder.files(), 1);
    for (line, name) in [(5, "FORWARD_ONLY"), (9, "MAY_TELL"), (10, "PEER")] {
        let expected = format!("line {line}: SPOKEFLOW_{name}: not carried over");
        assert!(
            notes.iter().any(|n| n.starts_with(&expected)),
            "{expected}: {notes:?}"
        );
    }
    assert!(
        notes
            .iter()
            .any(|n| n.starts_with("SPOKEFLOW_GATE: not in the file")),
        "{notes:?}"
    );
    let to = folder.0.join("new.env");
    std::fs::write(&to, "mine").unwrap();
    let errors = migrate(&folder.program(&[])).unwrap_err();
    assert!(lines(&errors)[0].contains("--replace"), "{errors}");
    assert_eq!(std::fs::read_to_string(&to).unwrap(), "mine");
    migrate(&folder.program(&["--replace"])).unwrap();
    let new = std::fs::read_to_string(&to).unwrap();
    assert_eq!((new.as_str(), folder.files()), (checked.text.as_str(), 2));
    assert_eq!(
        std::fs::read_to_string(folder.0.join("old.env")).unwrap(),
        OLD
    );
    let flags = check_settings(&parse_settings(&new).unwrap()).unwrap();
    let service = &flags.service;
    assert!(
        service.beside && service.host_reports && service.controller_stats && service.host_sizes
    );
    assert!(!service.forward_only && !service.may_tell);
    assert_eq!(
        (service.fleet_size, flags.site, service.ops.len()),
        (4, 1, 2)
    );
    // Migrating the migrated file again changes nothing.
    let again = Folder::new("again", &new);
    assert_eq!(migrate(&again.program(&["--check"])).unwrap().text, new);
    let to = to.to_str().unwrap();
    let same = MigrateProgram::parse_from(["spokeflow-migrate", "--from", to, "--to", to]);
    let errors = migrate(&same).unwrap_err();
    assert!(lines(&errors)[0].contains("--to must not name the file that --from names"));
}
