//! Checks of a client's request, and its conversion to a command.

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use spokeflow_core::Repeat;
use spokeflow_http::{Request, Response};
use spokeflow_proto::Command;

/// Maximum length of a `Request-Id`, in bytes.
const MAX_ID: usize = 64;
/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;
/// Maximum number of digits in a `Request-Timeout`.
const MAX_DIGITS: usize = 12;
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

/// The result of checking a request: a command for the engine, or an answer without it.
pub(crate) enum Checked {
    Command { id: Bytes, command: Command },
    Answer(Response),
}

/// The status that answers a request that is not a valid command.
type Status = u16;

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

impl RequestSchema {
    /// Converts a request to a command. A request that is not valid in this deployment gets an error answer that closes
    /// its connection.
    pub(crate) fn check(&self, request: Request) -> Checked {
        match self.parse(&request) {
            Ok(checked) => checked,
            Err(status) => Checked::Answer(Response {
                status,
                close: true,
                ..Response::default()
            }),
        }
    }

    fn parse(&self, request: &Request) -> Result<Checked, Status> {
        let fields = self.fields(request)?;
        check_method(request, fields.operation.repeat)?;
        let key = key_in_path(request, fields.operation_name)?;
        let deduplicated = fields.operation.repeat == Repeat::Deduplicated;
        if deduplicated && fields.idempotency_key.is_none() {
            return Err(BAD_REQUEST);
        }
        let idempotency_key = fields.idempotency_key.filter(|_| deduplicated);
        let command = Command {
            id: 0,
            op: fields.operation.number,
            tenant: fields.tenant,
            key: if key.is_empty() { 0 } else { hash_key(key) },
            idempotency_key: 0,
            left_us: fields.left_us,
            body: forwarded_request(request, &fields, idempotency_key),
        };
        Ok(Checked::Command {
            id: fields.id.clone(),
            command,
        })
    }

    fn fields<'a>(&self, request: &'a Request) -> Result<Fields<'a>, Status> {
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
fn check_method(request: &Request, repeat: Repeat) -> Result<(), Status> {
    let idempotent = repeat == Repeat::Idempotent;
    let method: &[u8] = if idempotent { b"GET" } else { b"POST" };
    if request.method != method {
        return Err(METHOD_NOT_ALLOWED);
    }
    if idempotent && !request.body.is_empty() {
        return Err(BAD_REQUEST);
    }
    Ok(())
}

/// Returns the key in the path, which is the last segment after the operation; empty if there is none.
fn key_in_path<'a>(request: &'a Request, operation: &[u8]) -> Result<&'a [u8], Status> {
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

/// Returns the request as it is forwarded to hosts, without `Request-Timeout`: that field is inserted after the first
/// line when the request is sent, since the time left is not known before.
fn forwarded_request(request: &Request, fields: &Fields, idempotency_key: Option<&Bytes>) -> Bytes {
    let mut head = BytesMut::with_capacity(192 + request.target.len() + request.body.len());
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| head.put_slice(part));
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
    if request.method != b"GET"[..] {
        let length = request.body.len().to_string();
        put(&[b"Content-Length: ", length.as_bytes(), b"\r\n"]);
    }
    put(&[b"\r\n", &request.body]);
    head.freeze()
}
