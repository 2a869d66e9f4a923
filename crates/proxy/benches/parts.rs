//! Benchmarks of the proxy's own work per request: parsing and rewriting of heads, and deadlines.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use sparlug::time::{Span, Time};
use sparlug_proxy::deadlines::Deadlines;
use sparlug_proxy::http;

const REQUEST: &[u8] = b"POST /book-slot HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n\
    Request-Class: book-slot\r\nRequest-Timeout: 0.480\r\nUser-Agent: app/3.1\r\nContent-Length: 8\r\n\r\n12345678";
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nServer-Load: TEXT inflight=7, queue=2, util=0.61\r\nContent-Length: 2\r\n\r\nok";

fn heads(c: &mut Criterion) {
    c.bench_function("request head", |b| {
        b.iter(|| http::parse_request_head(black_box(REQUEST), http::CLIENT_METHODS))
    });
    c.bench_function("response head", |b| b.iter(|| http::parse_response_head(black_box(RESPONSE))));
    if let Ok(Some(head)) = http::parse_request_head(REQUEST, http::CLIENT_METHODS) {
        let time_left = Span::from_millis(333);
        c.bench_function("request rewritten", |b| b.iter(|| head.for_backend(black_box(REQUEST), time_left)));
    }
}

fn deadlines(c: &mut Criterion) {
    let mut group = c.benchmark_group("deadline set and cancelled");
    for pending in [10, 1000, 20_000] {
        group.bench_function(BenchmarkId::new("pending", pending), |b| {
            let (mut deadlines, mut at) = (Deadlines::default(), 0);
            for index in 0..pending {
                deadlines.set(Time::ORIGIN + Span::from_millis(index * 7 % 15_000), index);
            }
            b.iter(|| {
                at = (at + 7919) % 15_000;
                let id = deadlines.set(Time::ORIGIN + Span::from_millis(at), 0);
                deadlines.cancel(Some(id));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, heads, deadlines);
criterion_main!(benches);
