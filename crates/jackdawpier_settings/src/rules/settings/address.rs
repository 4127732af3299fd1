//! An address is not an IP address with a port, or a URL is not `http://IP:PORT`.
//!
//! Processes connect by IP address. A host name would need a resolver, which may be unavailable
//! when the address is needed.
//!
//! Example: `callers: localhost:8080` is rejected; write `127.0.0.1:8080`.

use std::net::SocketAddr;

use serde_saphyr::Spanned;

use crate::{
    options::Options,
    rules::{ADDRESS, Checker},
};

const SCHEME: &str = "http://";

pub(crate) fn check(options: &Options, checker: &mut Checker<'_>) {
    let listen = &options.listen;
    check_socket("listen.callers", &listen.callers, checker);
    check_socket("listen.operators", &listen.operators, checker);
    check_socket("listen.peers", &listen.peers, checker);
    for peer in &options.seed_peers {
        check_socket("seed_peers", peer, checker);
    }
    check_url("store_url", &options.store_url, checker);
    check_url("instance_list_url", &options.instance_list_url, checker);
    if let Some(url) = &options.traces.collector_url {
        check_url("traces.collector_url", url, checker);
    }
}

fn check_socket(field: &str, value: &Spanned<String>, checker: &mut Checker<'_>) {
    if value.value.parse::<SocketAddr>().is_err() {
        let message = format!("`{}` is not an IP address with a port", value.value);
        checker.report(&ADDRESS, value, field, message, "for example 127.0.0.1:8080");
    }
}

fn check_url(field: &str, value: &Spanned<String>, checker: &mut Checker<'_>) {
    let authority = value.value.strip_prefix(SCHEME).and_then(|rest| rest.split('/').next());
    if authority.is_none_or(|text| text.parse::<SocketAddr>().is_err()) {
        let message = format!("`{}` is not http://IP:PORT", value.value);
        checker.report(&ADDRESS, value, field, message, "for example http://127.0.0.1:8500");
    }
}
