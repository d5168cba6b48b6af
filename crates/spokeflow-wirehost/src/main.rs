//! Runs many routers on the wire of the external simulator that drives this program (not `spokeflow-simulator`):
//! batches of records on standard input, one reply to each on standard output. The names and codes of the wire are used
//! only within this program.

mod batch;
mod error;
mod event;
mod field_reader;
mod reply;
mod routers;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use error::WireError;
use routers::Routers;

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_SIZE: usize = 1 << 16;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spokeflow-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_SIZE, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut routers = Routers::default();
    let mut records = Vec::new();
    while let Some(header) = batch::read_batch(&mut input, &mut records)? {
        routers.on_batch(&header, &records)?;
        let reply = routers.reply_mut();
        output.write_all(reply.frame()).map_err(WireError::Write)?;
        output.flush().map_err(WireError::Write)?;
        reply.clear();
    }
    Ok(())
}
