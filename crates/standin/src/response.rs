//! Encoding of result messages.

use bytes::{BufMut, BytesMut};
use wire::Writer;

use crate::{exec::Rows, prepared::Formats, types::Field, value::Type};

/// Adds a `RowDescription`.
pub fn description(writer: &mut Writer, fields: &[Field], formats: &Formats) {
    let mut body = BytesMut::new();
    body.put_i16(i16::try_from(fields.len()).unwrap_or(i16::MAX));
    for (i, field) in fields.iter().enumerate() {
        body.put_slice(field.name.as_bytes());
        body.put_u8(0);
        body.put_i32(0);
        body.put_i16(0);
        body.put_i32(field.kind.oid());
        body.put_i16(field.kind.size());
        body.put_i32(-1);
        body.put_i16(formats.is_binary(i).into());
    }
    writer.parts(b'T', &body);
}

/// Adds a `ParameterDescription`.
pub fn parameters(writer: &mut Writer, types: &[Type]) {
    let mut body = BytesMut::new();
    let count = u16::try_from(types.len()).unwrap_or(u16::MAX);
    body.put_u16(count);
    for kind in types {
        body.put_i32(kind.oid());
    }
    writer.parts(b't', &body);
}

/// Adds one `DataRow`, using `body` as scratch buffer.
pub fn row(writer: &mut Writer, rows: &Rows, i: usize, formats: &Formats, body: &mut BytesMut) {
    body.clear();
    let values = &rows.rows[i];
    body.put_i16(i16::try_from(values.len()).unwrap_or(i16::MAX));
    for (column, (value, field)) in values.iter().zip(&rows.fields).enumerate() {
        value.encode(field.kind, formats.is_binary(column), body);
    }
    writer.parts(b'D', body);
}
