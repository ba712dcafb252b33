use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::Value;

const BOOL: u32 = 16;
const INT8: u32 = 20;
const INT2: u32 = 21;
const INT4: u32 = 23;
const TEXT: u32 = 25;
const FLOAT8: u32 = 701;

/// Type of a column from its declaration, or from the look of an expression.
pub(super) fn column_type(name: &str, declared: Option<&str>) -> u32 {
    let lower = declared.unwrap_or_default().to_lowercase();
    let number = ["count(", "sum(", "max(", "min(", "coalesce(max(", "coalesce(sum("];
    match lower.as_str() {
        "bigint" | "integer" | "int" | "int8" => INT8,
        "real" | "double precision" => FLOAT8,
        "" if number.iter().any(|prefix| name.to_lowercase().starts_with(prefix)) => INT8,
        "" if name.parse::<i64>().is_ok() => INT8,
        _ => TEXT,
    }
}

/// Describes columns with their formats.
pub(super) fn describe_row(
    columns: &[(String, Option<String>)],
    formats: &[i16],
) -> RowDescription {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(index, (name, declared))| {
            let oid = column_type(name, declared.as_deref());
            FieldDescription::new(name.clone(), 0, 0, oid, -1, -1, format_at(formats, index))
        })
        .collect();
    RowDescription::new(fields)
}

/// The format of a column or parameter: one for all, or one each.
pub(super) fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

/// Writes one row.
pub(super) fn encode_row(values: &[Value], types: &[u32], formats: &[i16]) -> DataRow {
    let mut data = BytesMut::new();
    for (index, value) in values.iter().enumerate() {
        let oid = types.get(index).copied().unwrap_or(TEXT);
        match encode_value(value, oid, format_at(formats, index) == 1) {
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

/// Reads a parameter; `None` if its bytes do not fit its type.
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
