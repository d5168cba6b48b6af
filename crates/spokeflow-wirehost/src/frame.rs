//! Bytes in, bytes out: big-endian fields of the wire and where in the input they stand.

use std::fmt;
use std::io::{self, Read};

use spokeflow_settings::micros_from_seconds;

/// What is wrong with the input, and where.
#[derive(Debug)]
pub struct Malformed {
    pub record: Option<usize>,
    pub byte: usize,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.record {
            Some(n) => write!(
                f,
                "record {n}, byte {} of its batch: {}",
                self.byte, self.what
            ),
            None => write!(f, "batch header, byte {}: {}", self.byte, self.what),
        }
    }
}

/// Reads the fields of one record; `byte` counts from the start of the batch.
pub struct Fields<'a> {
    left: &'a [u8],
    record: usize,
    byte: usize,
}

impl<'a> Fields<'a> {
    pub fn new(left: &'a [u8], record: usize, byte: usize) -> Self {
        Fields { left, record, byte }
    }

    pub fn malformed(&self, what: impl Into<String>) -> Malformed {
        Malformed {
            record: Some(self.record),
            byte: self.byte,
            what: what.into(),
        }
    }

    pub fn byte(&self) -> usize {
        self.byte
    }

    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if self.left.len() < n {
            let what = format!("{n} bytes wanted, {} there", self.left.len());
            return Err(self.malformed(what));
        }
        let (head, tail) = self.left.split_at(n);
        self.left = tail;
        self.byte += n;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut field = [0; N];
        field.copy_from_slice(self.bytes(N)?);
        Ok(field)
    }

    pub fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f64, Malformed> {
        let value = f64::from(f32::from_be_bytes(self.array()?));
        self.finite(value)
    }

    pub fn f64(&mut self) -> Result<f64, Malformed> {
        let value = f64::from_be_bytes(self.array()?);
        self.finite(value)
    }

    fn finite(&self, value: f64) -> Result<f64, Malformed> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.malformed("a number that is not finite"))
        }
    }

    /// Seconds on the wire, whole microseconds inside.
    pub fn time(&mut self) -> Result<i64, Malformed> {
        Ok(micros_from_seconds(self.f64()?))
    }

    /// The values of a load report, in the order of the settings' columns; none where no report came along.
    pub fn load(&mut self) -> Result<Vec<f64>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

/// Fills `body` with the next batch. Gives its record count and clock, or `None` at the end of input.
pub fn read_batch(
    input: &mut impl Read,
    body: &mut Vec<u8>,
) -> Result<Option<(usize, i64)>, Malformed> {
    let mut header = [0; 16];
    let got = fill(input, &mut header)?;
    if got == 0 {
        return Ok(None);
    }
    let bad = |byte, what: String| Malformed {
        record: None,
        byte,
        what,
    };
    if got < header.len() {
        return Err(bad(
            got,
            format!("input ends within the 16 bytes of the header, after {got}"),
        ));
    }
    let word = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]) as usize
    };
    let mut clock = [0; 8];
    clock.copy_from_slice(&header[8..]);
    let clock = f64::from_be_bytes(clock);
    if !clock.is_finite() {
        return Err(bad(8, "the clock is not a finite number".into()));
    }
    body.clear();
    let wanted = word(0);
    match input.take(wanted as u64).read_to_end(body) {
        Ok(n) if n < wanted => Err(bad(
            16 + n,
            format!("input ends after {n} of {wanted} bytes of records"),
        )),
        Ok(_) => Ok(Some((word(4), micros_from_seconds(clock)))),
        Err(e) => Err(bad(16, format!("cannot read: {e}"))),
    }
}

fn fill(input: &mut impl Read, into: &mut [u8]) -> Result<usize, Malformed> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                return Err(Malformed {
                    record: None,
                    byte: got,
                    what: format!("cannot read: {e}"),
                })
            }
        }
    }
    Ok(got)
}
