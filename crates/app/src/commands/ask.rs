//! `yokefall ask`: online requests.

use std::io::Write;

use clap::{Args, Subcommand};
use yokefall_api::v1;

use super::connect::{fail_status, ConnectArguments};
use crate::exit::{fail, ExitStatus};

/// Online requests.
#[derive(Debug, Subcommand)]
pub enum AskCommand {
    /// Ask a model service for text, and print it as it comes.
    Generate(GenerateArguments),
    /// Call a plain service, and print its answer.
    Call(CallArguments),
    /// Print the stored answer of an earlier request.
    Result(RequestArguments),
    /// Cancel a request.
    Cancel(RequestArguments),
}

/// What every request carries.
#[derive(Debug, Args)]
pub struct HeaderArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Tenant.
    #[arg(long)]
    tenant: String,
    /// Request id, unique within the tenant; a second request with the same id joins the first.
    #[arg(long)]
    id: String,
    /// Service.
    #[arg(long)]
    service: String,
    /// Milliseconds to wait.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Whether a person waits for the answer.
    #[arg(long)]
    urgent: bool,
    /// Whether the request may be executed again after a failure; otherwise it runs at most once.
    #[arg(long)]
    repeatable: bool,
    /// An earlier request with this id may have been sent: join it, and say "not run" only on proof.
    #[arg(long)]
    resend: bool,
}

impl HeaderArguments {
    fn header(&self) -> v1::CallHeader {
        let priority = if self.urgent { v1::Priority::High } else { v1::Priority::Normal };
        let repeat = if self.repeatable { v1::Repeat::Allowed } else { v1::Repeat::Forbidden };
        v1::CallHeader {
            tenant: self.tenant.clone(),
            request_id: self.id.clone(),
            service: self.service.clone(),
            deadline_ms: self.deadline_ms,
            priority: priority as i32,
            repeat: repeat as i32,
            resend: self.resend,
        }
    }
}

/// Arguments of `generate`.
#[derive(Debug, Args)]
pub struct GenerateArguments {
    #[command(flatten)]
    header: HeaderArguments,
    /// Greatest number of tokens.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Prompt.
    prompt: String,
}

/// Arguments of `call`.
#[derive(Debug, Args)]
pub struct CallArguments {
    #[command(flatten)]
    header: HeaderArguments,
    /// Body.
    body: String,
}

/// Arguments that name a request.
#[derive(Debug, Args)]
pub struct RequestArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Tenant.
    #[arg(long)]
    tenant: String,
    /// Request id.
    #[arg(long)]
    id: String,
    /// Milliseconds to wait for its end.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
}

/// Runs a subcommand.
pub async fn run(command: AskCommand) -> ExitStatus {
    let done = match command {
        AskCommand::Generate(arguments) => generate(arguments).await,
        AskCommand::Call(arguments) => call(arguments).await,
        AskCommand::Result(arguments) => result(arguments).await,
        AskCommand::Cancel(arguments) => cancel(arguments).await,
    };
    done.unwrap_or_else(|status| status)
}

fn bad_input(error: String) -> ExitStatus {
    fail(ExitStatus::BadInput, error)
}

fn refused(refusal: &v1::Refusal) -> ExitStatus {
    let retry = match refusal.retry_after_ms {
        0 => String::new(),
        milliseconds => format!(", come back in {milliseconds} ms"),
    };
    let message = format!(
        "{}: {} ({}{retry})",
        refusal.reason().as_str_name(),
        refusal.detail,
        refusal.executed().as_str_name(),
    );
    let status = match refusal.executed() {
        v1::Executed::No => ExitStatus::Failed,
        _ => ExitStatus::Unknown,
    };
    fail(status, message)
}

async fn generate(arguments: GenerateArguments) -> Result<ExitStatus, ExitStatus> {
    use v1::generate_response::Step;
    let target = arguments.header.connect.target().map_err(bad_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::GenerateRequest {
        header: Some(arguments.header.header()),
        prompt: arguments.prompt,
        max_tokens: arguments.max_tokens,
        offset: 0,
    };
    let response = caller.generate(request).await.map_err(|status| fail_status(&status))?;
    let mut steps = response.into_inner();
    loop {
        let step = steps.message().await.map_err(|status| fail_status(&status))?;
        match step.and_then(|response| response.step) {
            Some(Step::Chunk(chunk)) => {
                let mut output = std::io::stdout();
                let _ = output.write_all(&chunk.text).and_then(|()| output.flush());
            }
            Some(Step::Completed(_)) => {
                println!();
                return Ok(ExitStatus::Done);
            }
            Some(Step::Refusal(refusal)) => return Err(refused(&refusal)),
            None => return Err(fail(ExitStatus::Unknown, "the answer broke off")),
        }
    }
}

fn print_response(response: v1::CallResponse) -> Result<ExitStatus, ExitStatus> {
    use v1::call_response::Outcome;
    match response.outcome {
        Some(Outcome::Body(body)) => {
            println!("{}", String::from_utf8_lossy(&body));
            Ok(ExitStatus::Done)
        }
        Some(Outcome::Refusal(refusal)) => Err(refused(&refusal)),
        None => Err(fail(ExitStatus::Unknown, "an empty response")),
    }
}

async fn call(arguments: CallArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.header.connect.target().map_err(bad_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let header = Some(arguments.header.header());
    let request = v1::CallRequest { header, body: arguments.body.into_bytes() };
    let response = caller.call(request).await.map_err(|status| fail_status(&status))?;
    print_response(response.into_inner())
}

async fn result(arguments: RequestArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.connect.target().map_err(bad_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::GetResultRequest {
        tenant: arguments.tenant,
        request_id: arguments.id,
        deadline_ms: arguments.deadline_ms,
    };
    let response = caller.get_result(request).await.map_err(|status| fail_status(&status))?;
    print_response(response.into_inner())
}

async fn cancel(arguments: RequestArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.connect.target().map_err(bad_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::CancelRequest { tenant: arguments.tenant, request_id: arguments.id };
    let response = caller.cancel(request).await.map_err(|status| fail_status(&status))?;
    if response.into_inner().cancelled {
        println!("cancelled");
        return Ok(ExitStatus::Done);
    }
    Err(fail(ExitStatus::Failed, "no request of this id is running"))
}
