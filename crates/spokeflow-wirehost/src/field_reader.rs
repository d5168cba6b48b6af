//! Reads the big-endian fields of records, and tracks their position in the input for error messages.

use spokeflow_core::Micros;
use spokeflow_settings::micros_from_seconds;

use crate::batch::HEADER_SIZE;
use crate::error::{Problem, WireError};

/// Reads the fields of a batch or of one record, one after another.
pub(crate) struct FieldReader<'a> {
    /// The bytes that have not been read.
    remaining: &'a [u8],
    /// Index of the record in its batch.
    record: usize,
    /// Offset of the next field in bytes from the beginning of the batch.
    byte: usize,
}

/// One record of a batch.
pub(crate) struct Record<'a> {
    pub(crate) code: u8,
    pub(crate) fields: FieldReader<'a>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of all records of a batch.
    pub(crate) fn new(records: &'a [u8]) -> Self {
        FieldReader {
            remaining: records,
            record: 0,
            byte: HEADER_SIZE,
        }
    }

    /// Reads the next record, whose index in the batch is `record`: code (1 byte), length (4 bytes), fields.
    pub(crate) fn record(&mut self, record: usize) -> Result<Record<'a>, WireError> {
        self.record = record;
        let code = self.u8()?;
        let length = self.u32()? as usize;
        let byte = self.byte;
        let remaining = self.bytes(length)?;
        Ok(Record {
            code,
            fields: FieldReader {
                remaining,
                record,
                byte,
            },
        })
    }

    /// Checks that no bytes follow the records of the batch, whose number is `records`.
    pub(crate) fn finish(mut self, records: usize) -> Result<(), WireError> {
        self.record = records;
        if !self.remaining.is_empty() {
            return Err(self.error(Problem::TrailingBytes { records }));
        }
        Ok(())
    }

    /// Returns an error at the current position.
    pub(crate) fn error(&self, problem: impl Into<Problem>) -> WireError {
        WireError::Record {
            record: self.record,
            byte: self.byte,
            problem: problem.into(),
        }
    }

    pub(crate) fn bytes(&mut self, length: usize) -> Result<&'a [u8], WireError> {
        let Some((field, remaining)) = self.remaining.split_at_checked(length) else {
            return Err(self.error(Problem::TruncatedField {
                expected: length,
                remaining: self.remaining.len(),
            }));
        };
        self.remaining = remaining;
        self.byte += length;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut field = [0; N];
        field.copy_from_slice(self.bytes(N)?);
        Ok(field)
    }

    /// Skips a field that is not used.
    pub(crate) fn skip(&mut self, length: usize) -> Result<(), WireError> {
        self.bytes(length).map(drop)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, WireError> {
        self.array().map(u8::from_be_bytes)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_be_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_be_bytes)
    }

    pub(crate) fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_be_bytes)
    }

    pub(crate) fn f32(&mut self) -> Result<f64, WireError> {
        let value = f32::from_be_bytes(self.array()?);
        self.finite(f64::from(value))
    }

    pub(crate) fn f64(&mut self) -> Result<f64, WireError> {
        let value = f64::from_be_bytes(self.array()?);
        self.finite(value)
    }

    fn finite(&self, value: f64) -> Result<f64, WireError> {
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(Problem::NotFinite(value)))
        }
    }

    /// Reads a time, which the wire has in seconds, rounded to whole microseconds.
    pub(crate) fn time(&mut self) -> Result<Micros, WireError> {
        self.f64().map(micros_from_seconds)
    }

    /// Reads the values of a load report, in the order of the settings' columns; empty if the record has no report.
    pub(crate) fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}
