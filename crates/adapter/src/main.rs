//! The adapter between the simulator's binary protocol and the decision module. It runs many
//! instances of the module in one process and only translates: it makes no decisions of its own.

mod error;
mod wire;

use error::AdapterError;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Batch, Decoded, FieldError, FrameError, Record, Reply};
use wrenfork_config::settings::Conf;
use wrenfork_decision::{Action, Event, Gateway, Settings};

/// Reads a frame. Returns `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let Some(mut frame) = read_header(input)? else {
        return Ok(None);
    };
    let size = wire::frame_size(&frame)?;
    let expected = (size - wire::EVENT_HEADER_BYTES) as u64;
    // The buffer grows with the bytes received, so a wrong length in the header cannot make it
    // allocate that much memory.
    let read = input
        .take(expected)
        .read_to_end(&mut frame)
        .map_err(AdapterError::ReadBatch)? as u64;
    if read < expected {
        return Err(AdapterError::TruncatedBatch { read, expected });
    }
    Ok(Some(frame))
}

/// Reads the header of a frame. Returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut header = vec![0u8; wire::EVENT_HEADER_BYTES];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedHeader { read }),
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}

/// The settings with which an instance is started.
struct StartSettings {
    settings: Settings,
    /// Names of the values in a load report, in order.
    report_fields: Vec<String>,
}

impl StartSettings {
    fn parse(text: &str) -> Result<StartSettings, FieldError> {
        let conf = Conf::from_lines(text).map_err(FieldError::Settings)?;
        Ok(StartSettings {
            settings: conf.settings().map_err(FieldError::Settings)?,
            report_fields: conf.report_fields().map_err(FieldError::Settings)?,
        })
    }
}

/// The running instances, by their numbers in the protocol.
#[derive(Default)]
struct Instances {
    gateways: BTreeMap<u16, Gateway>,
    report_fields: BTreeMap<u16, Vec<String>>,
    actions: Vec<Action>,
}

impl Instances {
    /// Processes a batch and returns the reply.
    fn process(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let mut reply = Reply::new(batch.number);
        for index in 0..batch.count {
            let record = batch.record(index);
            match record.decode(&self.report_fields)? {
                None => {}
                Some(Decoded::Start {
                    instance,
                    seed,
                    conf,
                }) => {
                    let start =
                        StartSettings::parse(conf).map_err(|error| record.error("conf", error))?;
                    let gateway = Gateway::new(start.settings, seed, batch.clock);
                    self.report_fields.insert(instance, start.report_fields);
                    self.gateways.insert(instance, gateway);
                }
                Some(Decoded::Stop { instance }) => {
                    self.gateways.remove(&instance);
                }
                Some(Decoded::Event { instance, event }) => {
                    self.handle_event(instance, event, batch.clock, &record, &mut reply);
                }
            }
        }
        Ok(reply)
    }

    /// Passes an event to an instance and adds the resulting actions to the reply.
    fn handle_event(
        &mut self,
        instance: u16,
        event: Event,
        clock: u64,
        record: &Record,
        reply: &mut Reply,
    ) {
        let Some(gateway) = self.gateways.get_mut(&instance) else {
            eprintln!("{}", record.error("ingress", FieldError::NotRunning));
            return;
        };
        self.actions.clear();
        gateway.handle(clock, event, &mut self.actions);
        reply.push(instance, &self.actions);
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut instances = Instances::default();
    while let Some(frame) = read_frame(&mut input)? {
        let batch = Batch::parse(&frame)?;
        let reply = instances.process(&batch)?.finish();
        output.write_all(&reply).map_err(AdapterError::WriteReply)?;
        output.flush().map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wrenfork-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
