//! What a client's request is checked against, and the command that it becomes.

use std::collections::HashMap;

use bytes::{BufMut, Bytes, BytesMut};
use spokeflow_core::Repeat;
use spokeflow_http::{Request, Response};
use spokeflow_proto::Command;

/// Longest `Request-Id`, in bytes.
const MAX_ID: usize = 64;
/// Longest `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;
/// Digits of a time at most.
const MAX_DIGITS: usize = 12;
/// `Host` where the client names none.
const DEFAULT_HOST: &[u8] = b"origin.svc";

/// An operation by the number that the decision module knows it by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operation {
    pub(crate) number: u16,
    pub(crate) repeat: Repeat,
}

/// The operations and tenants that requests may name.
pub(crate) struct RequestSchema {
    pub(crate) operations: HashMap<Bytes, Operation>,
    /// Numbers of the tenants by name.
    pub(crate) tenants: HashMap<Bytes, u32>,
}

/// What one request comes to before the engine.
pub(crate) enum Checked {
    Command { id: Bytes, command: Command },
    Answer(Response),
}

/// The status of the answer to a request that is no command.
type Status = u16;

const BAD_REQUEST: Status = 400;
const NOT_FOUND: Status = 404;
const METHOD_NOT_ALLOWED: Status = 405;

/// What the header fields of a request say.
struct Fields<'a> {
    id: &'a Bytes,
    operation_name: &'a Bytes,
    operation: Operation,
    tenant_name: &'a Bytes,
    tenant: u32,
    left_us: u64,
    idempotency_key: Option<&'a Bytes>,
}

impl RequestSchema {
    /// The command that a request is. What is none of this deployment is answered so, and its connection ends with
    /// that.
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
            body: forwarded(request, &fields, idempotency_key),
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
        // A host that drops repeats knows them by this key; without it the request is not what its client sent.
        let is_visible = |byte: &u8| (0x21..0x7f).contains(byte);
        let idempotency_key = field("idempotency-key")
            .filter(|key| key.len() <= MAX_IDEMPOTENCY_KEY && key.iter().all(is_visible));
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

/// What may run again is requested by GET and has no body; what must not, by POST.
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

/// The key that the path names behind the operation; empty where it names none.
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

/// `480m` milliseconds or `480u` microseconds, as microseconds; at least one.
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

/// FNV-1a, 64 bits: the same key, the same number at every router. Never 0, which says that there is none.
fn hash_key(key: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    key.iter().fold(0xcbf2_9ce4_8422_2325, step).max(1)
}

/// The request as hosts get it, but for the time left, which goes after the first line and is not known before
/// it is sent.
fn forwarded(request: &Request, fields: &Fields, idempotency_key: Option<&Bytes>) -> Bytes {
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
