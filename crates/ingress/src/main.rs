//! The program that ships.

fn main() -> std::process::ExitCode {
    wrenfork::main(wrenfork::Shipped)
}
