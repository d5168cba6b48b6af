//! Checks of a client's request, and its conversion to a command. The head is checked before the body is read, so that the
//! body of a request that is not valid is never kept.

use std::collections::HashMap;

use bytes::Bytes;
use spokeflow_core::Repeat;
use spokeflow_http::RequestHead;
use spokeflow_proto::Command;

use crate::message_buffer::MessageBuffer;

/// Maximum length of a `Request-Id`, in bytes.
const MAX_ID: usize = 64;
/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;
/// Maximum number of digits in a `Request-Timeout`.
const MAX_DIGITS: usize = 12;
/// Maximum length of the end of a forwarded head, in bytes: `Content-Length` and the empty line.
const HEAD_END_SIZE: usize = 32;
/// Value of `Host` in a forwarded request whose client sent none.
const DEFAULT_HOST: &[u8] = b"origin.svc";

/// An operation, with the number by which the decision module knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operation {
    pub(crate) number: u16,
    pub(crate) repeat: Repeat,
}

/// The operations and tenants that requests may name.
pub(crate) struct RequestSchema {
    /// The operations by name.
    pub(crate) operations: HashMap<Bytes, Operation>,
    /// Number of each tenant by name.
    pub(crate) tenants: HashMap<Bytes, u32>,
}

/// The status that answers a request that is not a valid command.
pub(crate) type Status = u16;

const BAD_REQUEST: Status = 400;
const NOT_FOUND: Status = 404;
const METHOD_NOT_ALLOWED: Status = 405;

/// The header fields of a request, parsed.
struct Fields<'a> {
    id: &'a Bytes,
    operation_name: &'a Bytes,
    operation: Operation,
    tenant_name: &'a Bytes,
    tenant: u32,
    /// How much longer the client waits, in microseconds.
    left_us: u64,
    idempotency_key: Option<&'a Bytes>,
}

/// A command whose body has not been read.
#[derive(Debug)]
pub(crate) struct CommandHead {
    pub(crate) id: Bytes,
    op: u16,
    tenant: u32,
    key: u64,
    left_us: u64,
    /// Whether the request has a body, which an idempotent one must not have.
    has_body: bool,
    /// The head as it is forwarded to hosts, without `Request-Timeout` and `Content-Length`.
    forwarded: Vec<u8>,
}

impl CommandHead {
    /// Returns the maximum length of the forwarded head with its end, in bytes.
    pub(crate) fn max_forwarded_length(&self) -> usize {
        self.forwarded.len() + HEAD_END_SIZE
    }

    /// Returns the command. Its id is to be set.
    pub(crate) fn into_command(mut self, body: MessageBuffer) -> Result<Command, Status> {
        if self.has_body {
            let length = format!("Content-Length: {}\r\n", body.len());
            self.forwarded.extend_from_slice(length.as_bytes());
        } else if body.len() > 0 {
            return Err(BAD_REQUEST);
        }
        self.forwarded.extend_from_slice(b"\r\n");
        Ok(Command {
            id: 0,
            op: self.op,
            tenant: self.tenant,
            key: self.key,
            idempotency_key: 0,
            left_us: self.left_us,
            body: body.into_bytes(&self.forwarded),
        })
    }
}

impl RequestSchema {
    /// Checks the head of a request.
    ///
    /// # Errors
    ///
    /// The status that answers a request that is not valid in this deployment.
    pub(crate) fn check(&self, head: &RequestHead) -> Result<CommandHead, Status> {
        let fields = self.fields(head)?;
        let repeat = fields.operation.repeat;
        check_method(head, repeat)?;
        let key = key_in_path(head, fields.operation_name)?;
        let deduplicated = repeat == Repeat::Deduplicated;
        if deduplicated && fields.idempotency_key.is_none() {
            return Err(BAD_REQUEST);
        }
        let idempotency_key = fields.idempotency_key.filter(|_| deduplicated);
        Ok(CommandHead {
            // A copy: an id that is held must not keep the whole head in memory.
            id: Bytes::copy_from_slice(fields.id),
            op: fields.operation.number,
            tenant: fields.tenant,
            key: if key.is_empty() { 0 } else { hash_key(key) },
            left_us: fields.left_us,
            has_body: repeat != Repeat::Idempotent,
            forwarded: forwarded_head(head, &fields, idempotency_key),
        })
    }

    fn fields<'a>(&self, request: &'a RequestHead) -> Result<Fields<'a>, Status> {
        let field = |name| {
            request
                .fields
                .single(name)
                .filter(|value| !value.is_empty())
        };
        let id = field("request-id").ok_or(BAD_REQUEST)?;
        let operation_name = field("request-class").ok_or(BAD_REQUEST)?;
        let tenant_name = field("tenant").ok_or(BAD_REQUEST)?;
        let left = field("request-timeout").ok_or(BAD_REQUEST)?;
        let operation = *self.operations.get(operation_name).ok_or(BAD_REQUEST)?;
        let tenant = *self.tenants.get(tenant_name).ok_or(BAD_REQUEST)?;
        let left_us = parse_timeout(left).ok_or(BAD_REQUEST)?;
        let is_id_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(byte);
        if id.len() > MAX_ID || !id.iter().all(is_id_byte) {
            return Err(BAD_REQUEST);
        }
        // A key that is not valid counts as none: hosts recognise repeats by the key, so it is forwarded as sent or not
        // at all.
        let is_visible_ascii = |byte: &u8| (0x21..0x7f).contains(byte);
        let idempotency_key = field("idempotency-key")
            .filter(|key| key.len() <= MAX_IDEMPOTENCY_KEY && key.iter().all(is_visible_ascii));
        Ok(Fields {
            id,
            operation_name,
            operation,
            tenant_name,
            tenant,
            left_us,
            idempotency_key,
        })
    }
}

/// Checks the method: an idempotent operation is requested by GET without a body, any other by POST.
fn check_method(request: &RequestHead, repeat: Repeat) -> Result<(), Status> {
    let idempotent = repeat == Repeat::Idempotent;
    let method: &[u8] = if idempotent { b"GET" } else { b"POST" };
    if request.method != method {
        return Err(METHOD_NOT_ALLOWED);
    }
    let has_body = request.body_length.is_some_and(|length| length > 0);
    if idempotent && has_body {
        return Err(BAD_REQUEST);
    }
    Ok(())
}

/// Returns the key in the path, which is the last segment after the operation; empty if there is none.
fn key_in_path<'a>(request: &'a RequestHead, operation: &[u8]) -> Result<&'a [u8], Status> {
    let path = request.target.split(|byte| *byte == b'?').next();
    let path = path.unwrap_or_default();
    let path = path.strip_prefix(b"/").unwrap_or(b"");
    let mut parts = path.splitn(2, |byte| *byte == b'/');
    if parts.next() != Some(operation) {
        return Err(NOT_FOUND);
    }
    let key = parts
        .next()
        .and_then(|rest| rest.rsplit(|byte| *byte == b'/').next());
    Ok(key.unwrap_or_default())
}

/// Parses a time such as `480m` (milliseconds) or `480u` (microseconds) and returns it in microseconds; `None` if it is
/// not valid or less than one microsecond.
fn parse_timeout(text: &Bytes) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let is_number = !number.is_empty()
        && number.len() <= MAX_DIGITS
        && number
            .iter()
            .all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let number = std::str::from_utf8(number).ok().filter(|_| is_number)?;
    let number: f64 = number.parse().ok()?;
    let micros = match unit {
        b"m" => number * 1e3,
        b"u" => number,
        _ => return None,
    };
    (micros >= 1.0).then_some(micros as u64)
}

/// Hashes a key with 64-bit FNV-1a, so that every router maps the same key to the same number. Never returns 0, which
/// stands for no key.
fn hash_key(key: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    key.iter().fold(0xcbf2_9ce4_8422_2325, step).max(1)
}

/// Returns the head as it is forwarded to hosts, without two fields and the empty line at its end. `Content-Length` is
/// appended once the body has been read, and `Request-Timeout` is inserted after the first line when the request is sent,
/// since the time left is not known before.
fn forwarded_head(
    request: &RequestHead,
    fields: &Fields,
    idempotency_key: Option<&Bytes>,
) -> Vec<u8> {
    let mut head = Vec::with_capacity(256 + request.target.len());
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    put(&[&request.method, b" ", &request.target, b" HTTP/1.1\r\n"]);
    let host = request.fields.single("host");
    let host = host.map_or(DEFAULT_HOST, |host| host);
    put(&[b"Host: ", host]);
    put(&[b"\r\nRequest-Id: ", fields.id]);
    put(&[b"\r\nRequest-Class: ", fields.operation_name]);
    put(&[b"\r\nTenant: ", fields.tenant_name, b"\r\n"]);
    if let Some(key) = idempotency_key {
        put(&[b"Idempotency-Key: ", key, b"\r\n"]);
    }
    head
}
