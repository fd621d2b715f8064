//! The scripts of this review: `review-2 CASE RECORD`, in the root of the repository.

mod kit;
mod retired;
mod truncated;
mod unrouted;
mod unsealed;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "server" {
        std::process::exit(truncated::serve(&arguments[2]));
    }
    let record = kit::Record::create(std::path::Path::new(&arguments[2]));
    let result = match arguments[1].as_str() {
        "retired" => retired::run(&record),
        "unrouted" => unrouted::run(&record),
        "truncated" => truncated::run(&record),
        "unsealed" => unsealed::run(&record),
        _ => 2,
    };
    record.line(format!("result {result}"));
    println!("result {result}");
    std::process::exit(result);
}
