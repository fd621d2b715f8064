//! gRPC clients with a key.

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::interceptor::InterceptedService;
use tonic::service::Interceptor;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};
use yokefall_api::v1::caller_client::CallerClient;
use yokefall_api::v1::operator_client::OperatorClient;

/// Greatest message that a client takes, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Adds the key to every call.
#[derive(Clone, Debug)]
pub struct KeyInterceptor {
    authorization: MetadataValue<Ascii>,
}

impl Interceptor for KeyInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert("authorization", self.authorization.clone());
        Ok(request)
    }
}

/// A client of an agent.
pub type Caller = CallerClient<InterceptedService<Channel, KeyInterceptor>>;
/// A client of a daemon.
pub type Operator = OperatorClient<InterceptedService<Channel, KeyInterceptor>>;

/// How to reach a gRPC port.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// URL, such as `http://127.0.0.1:7200` or `https://…`.
    pub url: String,
    /// Key.
    pub key: String,
    /// Certificate of the authority that signed the port's certificate, PEM.
    pub authority: Option<String>,
    /// Name in the port's certificate, where it is not that of the URL.
    pub server_name: Option<String>,
}

impl Target {
    /// A port without TLS.
    pub fn plain(address: std::net::SocketAddr, key: &str) -> Self {
        Self { url: format!("http://{address}"), key: key.to_owned(), ..Self::default() }
    }

    fn interceptor(&self) -> Result<KeyInterceptor, String> {
        let authorization = format!("Bearer {}", self.key).parse();
        let authorization = authorization.map_err(|_| "key: not printable ASCII".to_owned())?;
        Ok(KeyInterceptor { authorization })
    }

    async fn channel(&self) -> Result<Channel, String> {
        let mut endpoint = Endpoint::from_shared(self.url.clone())
            .map_err(|error| format!("{}: {error}", self.url))?
            .tcp_nodelay(true);
        if self.url.starts_with("https://") {
            let mut tls = ClientTlsConfig::new();
            if let Some(authority) = &self.authority {
                tls = tls.ca_certificate(Certificate::from_pem(authority));
            }
            if let Some(name) = &self.server_name {
                tls = tls.domain_name(name.clone());
            }
            endpoint = endpoint.tls_config(tls).map_err(|error| error.to_string())?;
        }
        endpoint.connect().await.map_err(|error| format!("connect {}: {error:?}", self.url))
    }

    /// Connects to an agent.
    pub async fn caller(&self) -> Result<Caller, String> {
        let client = CallerClient::with_interceptor(self.channel().await?, self.interceptor()?);
        Ok(client.max_decoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Connects to a daemon.
    pub async fn operator(&self) -> Result<Operator, String> {
        let client = OperatorClient::with_interceptor(self.channel().await?, self.interceptor()?);
        Ok(client.max_decoding_message_size(MAX_MESSAGE_BYTES))
    }
}
