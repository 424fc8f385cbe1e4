//! The settings shared by all HTTP clients of a daemon, for upstreams and the store.

use reqwest::{Client, ClientBuilder};

/// Returns a client builder without the library's own redirects, proxies from the environment, and
/// retries, which would break the promise that a request runs at most once.
pub fn client_builder() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}
