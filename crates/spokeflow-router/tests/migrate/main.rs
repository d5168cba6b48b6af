//! Migration of a router's settings file: the content of the new file, and the real router started with it.

mod conversion;
mod started_router;

use std::path::PathBuf;

use clap::Parser;
use spokeflow_router::migrate::MigrateProgram;

/// The settings file of an earlier deployment.
const OLD: &str = "# the old fleet
SPOKEFLOW_LIST=127.0.0.1:1
SPOKEFLOW_DESK=127.0.0.1:2
export SPOKEFLOW_OP=seat-map:redeliverable:target=1.5s:timeout=5s,hold:at-most-once:target=1s:timeout=3s
SPOKEFLOW_FORWARD_ONLY=true

SPOKEFLOW_FLEET_SIZE=\"4\"
SPOKEFLOW_SITE=1
SPOKEFLOW_MAY_TELL=true
SPOKEFLOW_PEER=1=127.0.0.1:3
";

/// A folder with the old settings file, removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, old: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("spokeflow-migrate-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("old.env"), old).unwrap();
        Folder(path)
    }

    fn program(&self, more: &[&str]) -> MigrateProgram {
        let from = self.0.join("old.env");
        let to = self.0.join("new.env");
        let line = [
            "spokeflow-migrate",
            "--from",
            from.to_str().unwrap(),
            "--to",
            to.to_str().unwrap(),
        ];
        MigrateProgram::parse_from(line.iter().chain(more))
    }

    fn files(&self) -> usize {
        std::fs::read_dir(&self.0).unwrap().count()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
