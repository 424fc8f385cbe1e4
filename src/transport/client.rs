//! The HTTP client for everything that is no caller's request.

use reqwest::{Client, ClientBuilder};

/// Returns a client's builder without what the library would decide by itself: redirects, proxies of
/// the environment, and retries, which would make "at most once" untrue.
pub fn client_builder() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}
