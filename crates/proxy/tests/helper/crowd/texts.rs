//! What clients of a crowd send on a connection, with a new request id each time.

use super::super::request;
use super::{partial_upload, upload_head};

pub fn half_a_body_of_short_chunks() -> Vec<u8> {
    let head = upload_head("Transfer-Encoding: chunked");
    [head.as_bytes(), &b"1\r\nx\r\n".repeat(12_000)].concat()
}

pub fn half_of_90_kb() -> Vec<u8> {
    partial_upload(90_000, 45_000)
}

pub fn half_of_60_kb() -> Vec<u8> {
    partial_upload(60_000, 30_000)
}

pub fn half_of_4_mb() -> Vec<u8> {
    partial_upload(4_000_000, 2_000_000)
}

pub fn upload_of_2_mb() -> Vec<u8> {
    partial_upload(2_000_000, 2_000_000)
}

/// A head that stays incomplete, with as many fields as one may have.
pub fn head_of_short_fields() -> Vec<u8> {
    let head = request("GET", "/read", "0.530");
    [&head.as_bytes()[..head.len() - 2], &b"a:b\r\n".repeat(90), b"c:", &[b'd'; 14_000]].concat()
}

/// A head of more fields than are allowed.
pub fn head_of_too_many_fields() -> Vec<u8> {
    let head = request("GET", "/read", "0.530");
    [&head.as_bytes()[..head.len() - 2], &b"a:b\r\n".repeat(2_400)].concat()
}

pub fn request_of_an_answer_of_60_kb() -> Vec<u8> {
    request("GET", "/read?size=60000", "2").into_bytes()
}

pub fn request_of_an_answer_of_1_mb() -> Vec<u8> {
    request("GET", "/read?size=1000000", "2").into_bytes()
}

pub fn nothing() -> Vec<u8> {
    Vec::new()
}
