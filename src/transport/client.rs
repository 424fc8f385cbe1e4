//! The settings shared by all HTTP clients of a daemon, for upstreams and the store.

use futures::StreamExt;
use reqwest::{Client, ClientBuilder, Response};

/// Returns a client builder without the library's own redirects, proxies from the environment, and
/// retries, which would break the promise that a request runs at most once.
pub fn client_builder() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}

/// Reads a body to its end; returns `None` if it breaks off or is larger than `limit` bytes.
pub async fn read_bounded(response: Response, limit: usize) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut stream = response.bytes_stream();
    while let Some(part) = stream.next().await {
        body.extend_from_slice(&part.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    Some(body)
}
