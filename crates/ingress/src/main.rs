//! The released program.

fn main() -> std::process::ExitCode {
    wrenfork::main(wrenfork::Shipped)
}
