use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::Value;

// OIDs of PostgreSQL's built-in types.
const BOOL: u32 = 16;
const INT8: u32 = 20;
const INT2: u32 = 21;
const INT4: u32 = 23;
const TEXT: u32 = 25;
const FLOAT8: u32 = 701;

/// Infers a column's type OID from its declared type; for an expression, from the
/// column name, in which SQLite repeats the text of the expression.
pub(super) fn infer_column_type(name: &str, declared: Option<&str>) -> u32 {
    let lower = declared.unwrap_or_default().to_lowercase();
    let numeric_prefixes = ["count(", "sum(", "max(", "min(", "coalesce(max(", "coalesce(sum("];
    match lower.as_str() {
        "bigint" | "integer" | "int" | "int8" => INT8,
        "real" | "double precision" => FLOAT8,
        "" if numeric_prefixes.iter().any(|prefix| name.to_lowercase().starts_with(prefix)) => INT8,
        "" if name.parse::<i64>().is_ok() => INT8,
        _ => TEXT,
    }
}

/// Builds the description of the columns with their types and formats.
pub(super) fn describe_row(
    columns: &[(String, Option<String>)],
    formats: &[i16],
) -> RowDescription {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(index, (name, declared))| {
            let oid = infer_column_type(name, declared.as_deref());
            FieldDescription::new(name.clone(), 0, 0, oid, -1, -1, format_code(formats, index))
        })
        .collect();
    RowDescription::new(fields)
}

/// Format code of a column or parameter, 0 for text and 1 for binary. A list with
/// one code applies to all; an empty list means text.
pub(super) fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [code] => *code,
        codes => codes.get(index).copied().unwrap_or(0),
    }
}

/// Encodes one row.
pub(super) fn encode_row(values: &[Value], types: &[u32], formats: &[i16]) -> DataRow {
    let mut data = BytesMut::new();
    for (index, value) in values.iter().enumerate() {
        let oid = types.get(index).copied().unwrap_or(TEXT);
        match encode_value(value, oid, format_code(formats, index) == 1) {
            Some(bytes) => {
                data.put_i32(bytes.len() as i32);
                data.put_slice(&bytes);
            }
            None => data.put_i32(-1),
        }
    }
    DataRow::new(data, values.len() as i16)
}

fn encode_value(value: &Value, oid: u32, binary: bool) -> Option<Vec<u8>> {
    let text = match value {
        Value::Null => return None,
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => return Some(bytes.clone()),
    };
    if !binary {
        return Some(text.into_bytes());
    }
    Some(match oid {
        INT8 => text.parse::<i64>().unwrap_or_default().to_be_bytes().to_vec(),
        INT4 => text.parse::<i32>().unwrap_or_default().to_be_bytes().to_vec(),
        FLOAT8 => text.parse::<f64>().unwrap_or_default().to_be_bytes().to_vec(),
        _ => text.into_bytes(),
    })
}

/// Decodes a parameter; `None` if its bytes are not a valid value of its type.
pub(super) fn decode_value(bytes: Option<&Bytes>, oid: u32, format: i16) -> Option<Value> {
    let Some(bytes) = bytes else {
        return Some(Value::Null);
    };
    let text = || String::from_utf8(bytes.to_vec()).ok();
    if format == 0 {
        return match oid {
            INT2 | INT4 | INT8 => text()?.parse().ok().map(Value::Integer),
            FLOAT8 => text()?.parse().ok().map(Value::Real),
            _ => text().map(Value::Text),
        };
    }
    match oid {
        INT2 => Some(Value::Integer(i16::from_be_bytes(bytes[..].try_into().ok()?).into())),
        INT4 => Some(Value::Integer(i32::from_be_bytes(bytes[..].try_into().ok()?).into())),
        INT8 => Some(Value::Integer(i64::from_be_bytes(bytes[..].try_into().ok()?))),
        FLOAT8 => Some(Value::Real(f64::from_be_bytes(bytes[..].try_into().ok()?))),
        BOOL => Some(Value::Integer(i64::from(*bytes.first()?))),
        _ => text().map(Value::Text),
    }
}
