//! Requests to URLs, over connections that are reused.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;
use tokio::net::lookup_host;
use tokio::time::timeout;

use super::connection::{ConnectionPool, ExchangeError, HttpConnection};
use crate::clock::TimeSource;

const HTTP_PORT: u16 = 80;

/// Result of a request.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Why a request failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The URL or a header is malformed, or the URL's host has no address; nothing was sent.
    #[error("cannot send a request to {url}: {reason}; correct the URL")]
    Unsendable {
        /// The URL.
        url: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response was not complete in time.
    #[error("no response within {0:?}; the request may have run")]
    Timeout(Duration),
}

impl ClientError {
    /// Whether the request cannot have reached the server.
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::Unsendable { .. } | Self::Exchange(ExchangeError::Connect { .. })
        )
    }

    /// Whether an established connection was lost.
    pub fn is_lost_connection(&self) -> bool {
        matches!(self, Self::Exchange(error) if error.is_lost_connection())
    }
}

/// A request to a URL.
#[derive(Debug)]
pub struct ClientRequest {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Bytes,
    invalid_header: Option<&'static str>,
}

impl ClientRequest {
    /// A request without a body to a URL with the scheme `http`.
    ///
    /// ```
    /// use plantainnotch::http_client::client::ClientRequest;
    /// use actix_http::Method;
    /// let request = ClientRequest::new(Method::GET, "http://127.0.0.1:7000/v1/vms");
    /// assert!(format!("{request:?}").contains("/v1/vms"));
    /// ```
    pub fn new(method: Method, url: impl Into<String>) -> Self {
        Self {
            method,
            url: url.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            invalid_header: None,
        }
    }

    /// Adds a header; the request fails if the value is not visible ASCII.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        match HeaderValue::from_str(value) {
            Ok(value) => self.headers.append(HeaderName::from_static(name), value),
            Err(_) => self.invalid_header = Some(name),
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the body to a value as JSON.
    #[must_use]
    pub fn json(self, value: &impl Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("the value holds only plain data");
        self.header("content-type", "application/json").body(text)
    }
}

/// How a client connects.
#[derive(Debug, Clone, Copy)]
pub struct ClientOptions {
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Longest idle time after which a connection is reused; zero opens one for each request.
    pub max_idle: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: Duration::from_secs(15),
        }
    }
}

/// Client of HTTP servers; its clones share connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    options: ClientOptions,
    clock: TimeSource,
    pool: Rc<RefCell<ConnectionPool>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(options: ClientOptions, clock: TimeSource) -> Self {
        Self {
            options,
            clock,
            pool: Rc::default(),
        }
    }

    /// Sends a request and reads the head of its response, without a time limit.
    ///
    /// # Errors
    ///
    /// Fails when the request cannot be sent, the connection fails or the response is malformed.
    ///
    /// ```
    /// use actix_http::Method;
    /// use plantainnotch::clock::TimeSource;
    /// use plantainnotch::http_client::client::{ClientOptions, ClientRequest, HttpClient};
    /// let client = HttpClient::new(ClientOptions::default(), TimeSource::system());
    /// let request = ClientRequest::new(Method::GET, "https://127.0.0.1/");
    /// # actix::System::new().block_on(async {
    /// assert!(client.send(request).await.is_err_and(|error| error.is_not_sent()));
    /// # });
    /// ```
    pub async fn send(&self, request: ClientRequest) -> Result<ClientResponse> {
        let unsendable = |reason: String| ClientError::Unsendable {
            url: request.url.clone(),
            reason,
        };
        if let Some(name) = request.invalid_header {
            return Err(unsendable(format!("the header {name} is invalid")));
        }
        let uri: Uri = request
            .url
            .parse()
            .map_err(|error| unsendable(format!("{error}")))?;
        let (address, host) = resolve(&uri).await.map_err(unsendable)?;
        let mut head = RequestHead::default();
        head.method = request.method;
        head.headers = request.headers;
        head.headers.insert(header::HOST, host);
        head.uri = uri;
        let mut connection = self.connect(address).await?;
        let head = connection.exchange(None, head, &request.body).await?;
        Ok(ClientResponse {
            head,
            connection,
            client: self.clone(),
        })
    }

    /// Sends a request and reads its complete response, of at most `max_bytes`, within `time_limit`.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::send`], and when the response is not complete in time or too long.
    pub async fn fetch(
        &self,
        request: ClientRequest,
        time_limit: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes)> {
        let fetched = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = response.read_body(max_bytes).await?;
            Ok((status, body))
        };
        timeout(time_limit, fetched)
            .await
            .unwrap_or(Err(ClientError::Timeout(time_limit)))
    }

    async fn connect(&self, address: SocketAddr) -> Result<HttpConnection> {
        let now = self.clock.now();
        let ClientOptions {
            connect_timeout,
            max_idle,
        } = self.options;
        let pooled = self.pool.borrow_mut().take(address, None, max_idle, now);
        match pooled {
            Some(connection) => Ok(connection),
            None => Ok(HttpConnection::connect(address, None, connect_timeout, now).await?),
        }
    }

    /// Keeps a connection whose response was read, unless it cannot be reused.
    fn release(&self, connection: HttpConnection) {
        if self.options.max_idle.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        pool.prune(now);
        pool.put(connection, now);
    }
}

/// The head of a response, and the connection from which its body is read. Dropping it closes the
/// connection.
#[derive(Debug)]
pub struct ClientResponse {
    head: ResponseHead,
    connection: HttpConnection,
    client: HttpClient,
}

impl ClientResponse {
    /// The response's status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&HeaderValue> {
        self.head.headers.get(name)
    }

    /// Reads the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the end of the body, or the framing is malformed.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        Ok(self.connection.next_chunk().await?)
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_chunk`], and when the body is over `max_bytes`.
    pub async fn read_body(mut self, max_bytes: usize) -> Result<Bytes> {
        let body = self.connection.read_to_end(max_bytes).await?;
        self.release();
        Ok(body)
    }

    /// Lets another request reuse the connection, if the body was read to its end.
    pub fn release(self) {
        self.client.release(self.connection);
    }
}

/// Returns the first address of a URL's host, and the value of the `Host` header for it.
async fn resolve(uri: &Uri) -> std::result::Result<(SocketAddr, HeaderValue), String> {
    if uri.scheme_str() != Some("http") {
        return Err("its scheme is not http".to_owned());
    }
    let authority = uri.authority().ok_or("it names no host")?;
    let port = authority.port_u16().unwrap_or(HTTP_PORT);
    let host = format!("{}:{port}", authority.host());
    let mut addresses = lookup_host(&host)
        .await
        .map_err(|error| error.to_string())?;
    let address = addresses.next().ok_or("its host has no address")?;
    let header = HeaderValue::from_str(&host).map_err(|error| error.to_string())?;
    Ok((address, header))
}
