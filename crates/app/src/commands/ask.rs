//! `yokefall ask`: sends online requests.

use std::io::Write;

use clap::{Args, Subcommand};
use yokefall_api::v1;

use super::connect::{fail_with_status, ConnectArguments};
use crate::exit::{fail, ExitStatus};

/// Online requests.
#[derive(Debug, Subcommand)]
pub enum AskCommand {
    /// Generate text with a model service and print it as it arrives.
    Generate(GenerateArguments),
    /// Call a plain service and print its response.
    Call(CallArguments),
    /// Print the stored response of an earlier request.
    Result(RequestArguments),
    /// Cancel a request.
    Cancel(RequestArguments),
}

/// Arguments common to all requests.
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
    /// Milliseconds until the request times out.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
    /// Give the request high priority because a person is waiting for the response.
    #[arg(long)]
    urgent: bool,
    /// Allow the request to be executed again after a failure; otherwise it runs at most once.
    #[arg(long)]
    repeatable: bool,
    /// An earlier request with this id may have been sent: join it, and report "not run" only if
    /// that is proven.
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
    /// Maximum number of tokens to generate.
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
    /// Request body.
    body: String,
}

/// Arguments that identify a request.
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
    /// Milliseconds to wait until the request has ended.
    #[arg(long, default_value_t = 30_000)]
    deadline_ms: u64,
}

pub async fn run(command: AskCommand) -> ExitStatus {
    let done = match command {
        AskCommand::Generate(arguments) => generate(arguments).await,
        AskCommand::Call(arguments) => call(arguments).await,
        AskCommand::Result(arguments) => result(arguments).await,
        AskCommand::Cancel(arguments) => cancel(arguments).await,
    };
    done.unwrap_or_else(|status| status)
}

fn invalid_input(error: String) -> ExitStatus {
    fail(ExitStatus::InvalidInput, error)
}

fn fail_with_refusal(refusal: &v1::Refusal) -> ExitStatus {
    let retry = match refusal.retry_after_ms {
        0 => String::new(),
        milliseconds => format!(", retry after {milliseconds} ms"),
    };
    let message = format!(
        "{}: {} ({}{retry})",
        refusal.reason().as_str_name(),
        refusal.detail,
        refusal.executed().as_str_name(),
    );
    let status = match refusal.executed() {
        v1::Executed::No => ExitStatus::Failed,
        _ => ExitStatus::OutcomeUnknown,
    };
    fail(status, message)
}

async fn generate(arguments: GenerateArguments) -> Result<ExitStatus, ExitStatus> {
    use v1::generate_response::Step;
    let target = arguments.header.connect.target().map_err(invalid_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::GenerateRequest {
        header: Some(arguments.header.header()),
        prompt: arguments.prompt,
        max_tokens: arguments.max_tokens,
        offset: 0,
    };
    let response = caller.generate(request).await.map_err(|status| fail_with_status(&status))?;
    let mut steps = response.into_inner();
    loop {
        let step = steps.message().await.map_err(|status| fail_with_status(&status))?;
        match step.and_then(|response| response.step) {
            Some(Step::Chunk(chunk)) => {
                let mut output = std::io::stdout();
                let _ = output.write_all(&chunk.text).and_then(|()| output.flush());
            }
            Some(Step::Completed(_)) => {
                println!();
                return Ok(ExitStatus::Success);
            }
            Some(Step::Refusal(refusal)) => return Err(fail_with_refusal(&refusal)),
            None => {
                return Err(fail(
                    ExitStatus::OutcomeUnknown,
                    "the response ended before it was complete",
                ))
            }
        }
    }
}

fn print_response(response: v1::CallResponse) -> Result<ExitStatus, ExitStatus> {
    use v1::call_response::Outcome;
    match response.outcome {
        Some(Outcome::Body(body)) => {
            println!("{}", String::from_utf8_lossy(&body));
            Ok(ExitStatus::Success)
        }
        Some(Outcome::Refusal(refusal)) => Err(fail_with_refusal(&refusal)),
        None => Err(fail(ExitStatus::OutcomeUnknown, "the response is empty")),
    }
}

async fn call(arguments: CallArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.header.connect.target().map_err(invalid_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let header = Some(arguments.header.header());
    let request = v1::CallRequest { header, body: arguments.body.into_bytes() };
    let response = caller.call(request).await.map_err(|status| fail_with_status(&status))?;
    print_response(response.into_inner())
}

async fn result(arguments: RequestArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.connect.target().map_err(invalid_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::GetResultRequest {
        tenant: arguments.tenant,
        request_id: arguments.id,
        deadline_ms: arguments.deadline_ms,
    };
    let response = caller.get_result(request).await.map_err(|status| fail_with_status(&status))?;
    print_response(response.into_inner())
}

async fn cancel(arguments: RequestArguments) -> Result<ExitStatus, ExitStatus> {
    let target = arguments.connect.target().map_err(invalid_input)?;
    let mut caller = target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))?;
    let request = v1::CancelRequest { tenant: arguments.tenant, request_id: arguments.id };
    let response = caller.cancel(request).await.map_err(|status| fail_with_status(&status))?;
    if response.into_inner().cancelled {
        println!("cancelled");
        return Ok(ExitStatus::Success);
    }
    Err(fail(ExitStatus::Failed, "no request with this id is running"))
}
