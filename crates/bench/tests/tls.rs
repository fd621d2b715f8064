//! TLS on the callers' port: certificates reload without restart, invalid key files are ignored.

use std::path::Path;
use std::time::Duration;

use tokio::net::TcpListener;
use yokefall_api::v1;
use yokefall_api::v1::operator_server::{Operator, OperatorServer};
use yokefall_rpc::client::Target;
use yokefall_rpc::{serve_incoming, Authenticator};
use yokefall_settings::SecuritySettings;
use yokefall_types::key::{KeyDigest, Role};

const NAME: &str = "agent.example";
const RELOAD: Duration = Duration::from_millis(50);

fn write_certificate(folder: &Path) -> String {
    let made = rcgen::generate_simple_self_signed(vec![NAME.to_owned()]).expect("a certificate");
    std::fs::write(folder.join("server.key"), made.signing_key.serialize_pem()).expect("a file");
    std::fs::write(folder.join("server.pem"), made.cert.pem()).expect("a file");
    made.cert.pem()
}

struct StatusOnly {
    authenticator: Authenticator,
}

#[tonic::async_trait]
impl Operator for StatusOnly {
    type WatchStream = tokio_stream::Empty<Result<v1::WatchEvent, tonic::Status>>;

    async fn status(
        &self,
        request: tonic::Request<v1::StatusRequest>,
    ) -> Result<tonic::Response<v1::StatusResponse>, tonic::Status> {
        self.authenticator.check(request.metadata(), Role::Operator)?;
        Ok(tonic::Response::new(v1::StatusResponse::default()))
    }

    async fn apply(
        &self,
        _: tonic::Request<v1::ApplyRequest>,
    ) -> Result<tonic::Response<v1::ApplyResponse>, tonic::Status> {
        Err(tonic::Status::unimplemented("not served here"))
    }

    async fn get(
        &self,
        _: tonic::Request<v1::ObjectRef>,
    ) -> Result<tonic::Response<v1::Object>, tonic::Status> {
        Err(tonic::Status::unimplemented("not served here"))
    }

    async fn list(
        &self,
        _: tonic::Request<v1::ListRequest>,
    ) -> Result<tonic::Response<v1::ListResponse>, tonic::Status> {
        Err(tonic::Status::unimplemented("not served here"))
    }

    async fn watch(
        &self,
        _: tonic::Request<v1::WatchRequest>,
    ) -> Result<tonic::Response<Self::WatchStream>, tonic::Status> {
        Err(tonic::Status::unimplemented("not served here"))
    }
}

async fn status(target: &Target) -> Result<(), String> {
    let mut operator = target.operator().await?;
    let response = operator.status(v1::StatusRequest {}).await;
    response.map(|_| ()).map_err(|status| status.to_string())
}

#[tokio::test(flavor = "multi_thread")]
async fn certificates_and_keys_are_replaced_without_a_restart() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let keys = folder.path().join("keys.txt");
    let line = |secret: &str| format!("board operator {}\n", KeyDigest::of(secret).hex());
    std::fs::write(&keys, line("first")).expect("a file");
    let authority = write_certificate(folder.path());
    let security = SecuritySettings {
        tls_certificate_file: Some(folder.path().join("server.pem")),
        tls_key_file: Some(folder.path().join("server.key")),
        reload_interval_ms: RELOAD.as_millis() as u64,
        ..SecuritySettings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let incoming = serve_incoming(listener, &security).expect("TLS starts");
    let authenticator = Authenticator::start(keys.clone(), RELOAD).expect("keys are read");
    let service = OperatorServer::new(StatusOnly { authenticator });
    tokio::spawn(
        tonic::transport::Server::builder().add_service(service).serve_with_incoming(incoming),
    );
    let target = |authority: &str, key: &str| Target {
        url: format!("https://{address}"),
        key: key.to_owned(),
        authority: Some(authority.to_owned()),
        server_name: Some(NAME.to_owned()),
    };
    status(&target(&authority, "first")).await.expect("the first key and certificate");
    let plain = Target::plain(address, "first");
    assert!(status(&plain).await.is_err(), "plaintext was accepted on a TLS port");
    // An invalid file is ignored.
    std::fs::write(&keys, "board operator nonsense\n").expect("a file");
    tokio::time::sleep(RELOAD * 4).await;
    status(&target(&authority, "first")).await.expect("the first key is still valid");
    std::fs::write(&keys, line("second")).expect("a file");
    let renewed = write_certificate(folder.path());
    let fresh = target(&renewed, "second");
    until(|| status(&fresh)).await;
    assert!(status(&target(&renewed, "first")).await.is_err(), "a removed key was accepted");
    assert!(
        status(&target(&authority, "second")).await.is_err(),
        "the previous certificate is still presented"
    );
}

/// Retries until the attempt succeeds; panics after 200 attempts, about 10 seconds.
async fn until<F: std::future::Future<Output = Result<(), String>>>(
    mut attempt: impl FnMut() -> F,
) {
    for _ in 0..200 {
        if attempt().await.is_ok() {
            return;
        }
        tokio::time::sleep(RELOAD).await;
    }
    panic!("did not succeed within 200 attempts");
}

#[tokio::test]
async fn a_missing_certificate_file_is_named_in_the_error() {
    let security = SecuritySettings {
        tls_certificate_file: Some("/nowhere/server.pem".into()),
        tls_key_file: Some("/nowhere/server.key".into()),
        ..SecuritySettings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let error = serve_incoming(listener, &security).expect_err("a missing file was accepted");
    assert!(error.to_string().contains("/nowhere/server.pem"), "{error}");
}
