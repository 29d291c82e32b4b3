//! Checks that every upstream and every request belongs to exactly one half.

use model::id::UpstreamId;

use crate::check::Collector;
use crate::doc::Document;
use crate::doc::Upstream;
use crate::finding::Code;
use crate::finding::Finding;
use crate::tree::escape;

/// One route of an upstream, with its JSON pointer in the text.
struct Route<'a> {
    path: &'a str,
    name: &'a UpstreamId,
    upstream: &'a Upstream,
    pointer: String,
}

/// Replaces generic schema findings on an upstream's owner by the codes for ownership.
pub(super) fn classify_owner_findings(mut finding: Finding) -> Finding {
    let segments: Vec<&str> = finding.location.pointer.split('/').skip(1).collect();
    match (finding.code, segments.as_slice()) {
        (Code::DuplicateKey, ["upstreams", name]) => {
            finding.message = format!("upstream `{name}` appears twice, so two halves may own it");
            finding.code = Code::TwoOwners;
        }
        (Code::DuplicateKey, ["upstreams", name, "half"]) => {
            finding.message = format!("upstream `{name}` names two owners");
            finding.code = Code::TwoOwners;
        }
        (Code::MissingKey, ["upstreams", name, "half"]) => {
            finding.message = format!("upstream `{name}` has no owner");
            finding.help = Some("name the half that owns it as `half`".to_owned());
            finding.code = Code::NoOwner;
        }
        _ => {}
    }
    finding
}

pub(super) fn check(document: &Document, collector: &mut Collector) {
    let mut seen: Vec<Route<'_>> = Vec::new();
    for route in routes(document) {
        check_path(&route, collector);
        for other in &seen {
            check_route_pair(&route, other, collector);
        }
        seen.push(route);
    }
    for (name, upstream) in &document.upstreams {
        let pointer = format!("/upstreams/{}", escape(name.as_str()));
        let routes = format!("{pointer}/routes");
        if upstream.routes.is_empty() && collector.locations.contains(&routes) {
            let message = format!("upstream `{name}` has no routes and gets no requests");
            collector.warning(Code::Contradiction, &routes, message);
        }
        if upstream.connections < upstream.slots {
            let message = format!(
                "an executor with {} slots cannot fill them over {} connections",
                upstream.slots, upstream.connections
            );
            collector.error(
                Code::Contradiction,
                &format!("{pointer}/connections"),
                message,
            );
        }
    }
}

fn routes(document: &Document) -> impl Iterator<Item = Route<'_>> {
    document.upstreams.iter().flat_map(|(name, upstream)| {
        let paths = upstream.routes.iter().enumerate();
        paths.map(move |(index, path)| Route {
            path,
            name,
            upstream,
            pointer: format!("/upstreams/{}/routes/{index}", escape(name.as_str())),
        })
    })
}

fn check_path(route: &Route<'_>, collector: &mut Collector) {
    let valid = route.path.starts_with('/') && !route.path.contains(['?', '#', ' ']);
    if !valid {
        let message = format!("`{}` is no path prefix", route.path);
        collector
            .error(Code::OutOfRange, &route.pointer, message)
            .help = Some("write it like `/visits`".to_owned());
    }
}

fn check_route_pair(route: &Route<'_>, other: &Route<'_>, collector: &mut Collector) {
    let (path, name) = (other.path, other.name);
    if route.upstream.half != other.upstream.half && overlap(route.path, path) {
        let message = format!(
            "requests for `{}` belong to half `{}` here and to half `{}` by `{path}` of upstream `{name}`",
            route.path, route.upstream.half, other.upstream.half
        );
        collector.error(Code::TwoOwners, &route.pointer, message);
    } else if trim(route.path) == trim(path) {
        let message = format!("route `{path}` is already served by upstream `{name}`");
        collector.error(Code::Contradiction, &route.pointer, message);
    }
}

fn trim(path: &str) -> &str {
    path.trim_end_matches('/')
}

/// Returns whether some path starts with both prefixes, compared by whole segments.
fn overlap(left: &str, right: &str) -> bool {
    let within = |inner: &str, outer: &str| {
        trim(inner)
            .strip_prefix(trim(outer))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    within(left, right) || within(right, left)
}
