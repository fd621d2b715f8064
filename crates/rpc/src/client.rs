//! gRPC clients that authenticate with an API key.

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::interceptor::InterceptedService;
use tonic::service::Interceptor;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};
use yokefall_api::v1::caller_client::CallerClient;
use yokefall_api::v1::operator_client::OperatorClient;

const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Adds the API key to the metadata of every call.
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

/// Client of an agent.
pub type Caller = CallerClient<InterceptedService<Channel, KeyInterceptor>>;
/// Client of a daemon's operator service.
pub type Operator = OperatorClient<InterceptedService<Channel, KeyInterceptor>>;

/// Address and credentials of a gRPC server.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// URL, such as `http://127.0.0.1:7200` or `https://…`.
    pub url: String,
    /// API key.
    pub key: String,
    /// Certificate of the authority that signed the server's certificate, in PEM format.
    pub authority: Option<String>,
    /// Name in the server's certificate, if it differs from the host in the URL.
    pub server_name: Option<String>,
}

impl Target {
    /// A server without TLS.
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
