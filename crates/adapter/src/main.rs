//! The adapter between the simulator's wire and the decision module, many instances in one process.
//! Translation only.

mod error;
mod wire;

use error::AdapterError;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Batch, Decoded, FieldFault, FrameError, Record, Reply};
use wrenfork_config::settings::Conf;
use wrenfork_decision::{Action, Event, Gateway, Settings};

/// Reads a frame; none at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let Some(mut frame) = read_header(input)? else {
        return Ok(None);
    };
    let size = wire::frame_size(&frame)?;
    let expected = (size - wire::EVENT_HEADER_BYTES) as u64;
    // Read by what comes, not by what the header claims, so a false length cannot claim memory.
    let read = input
        .take(expected)
        .read_to_end(&mut frame)
        .map_err(AdapterError::ReadBatch)? as u64;
    if read < expected {
        return Err(AdapterError::CutBatch { read, expected });
    }
    Ok(Some(frame))
}

/// Reads the header of a frame; none at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut header = vec![0u8; wire::EVENT_HEADER_BYTES];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::CutHeader { read }),
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(AdapterError::ReadHeader(e)),
        }
    }
    Ok(Some(header))
}

/// What an instance is started with.
struct StartSettings {
    settings: Settings,
    /// The names of the values in a load report.
    report_fields: Vec<String>,
}

impl StartSettings {
    fn parse(text: &str) -> Result<StartSettings, FieldFault> {
        let conf = Conf::from_lines(text).map_err(FieldFault::Settings)?;
        Ok(StartSettings {
            settings: conf.settings().map_err(FieldFault::Settings)?,
            report_fields: conf.report_fields().map_err(FieldFault::Settings)?,
        })
    }
}

/// The instances that run, by their numbers on the wire.
#[derive(Default)]
struct Instances {
    gateways: BTreeMap<u16, Gateway>,
    report_fields: BTreeMap<u16, Vec<String>>,
    actions: Vec<Action>,
}

impl Instances {
    /// Plays a batch; the reply to it.
    fn play(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
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
                    let start = StartSettings::parse(conf).map_err(|e| record.error("conf", e))?;
                    let gateway = Gateway::new(start.settings, seed, batch.clock);
                    self.report_fields.insert(instance, start.report_fields);
                    self.gateways.insert(instance, gateway);
                }
                Some(Decoded::Stop { instance }) => {
                    self.gateways.remove(&instance);
                }
                Some(Decoded::Event { instance, event }) => {
                    self.feed(instance, event, batch.clock, &record, &mut reply);
                }
            }
        }
        Ok(reply)
    }

    /// Feeds an event to an instance, and puts its actions into the reply.
    fn feed(
        &mut self,
        instance: u16,
        event: Event,
        clock: u64,
        record: &Record,
        reply: &mut Reply,
    ) {
        let Some(gateway) = self.gateways.get_mut(&instance) else {
            eprintln!("{}", record.error("ingress", FieldFault::NotRunning));
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
        let reply = instances.play(&batch)?.finish();
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
