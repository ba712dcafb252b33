use bytes::BytesMut;
use hawthornstack_decisions::outcomes::ResultCode;
use pgwire::messages::{
    Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::{
        CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
    },
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};

/// Type OID of `text`.
const TEXT_TYPE_OID: u32 = 25;

/// Buffers messages to a caller: the proxy's own, and frames of a database's answer.
#[derive(Debug, Default)]
pub(super) struct AnswerWriter {
    /// Encoded messages that are not sent yet.
    pub(super) bytes: BytesMut,
}

impl AnswerWriter {
    /// The proxy's own messages are small and well-formed, so encoding them
    /// does not fail.
    fn encode(&mut self, message: &impl Message) {
        let _ = message.encode(&mut self.bytes);
    }

    pub(super) fn write_frame(&mut self, frame: &[u8]) {
        self.bytes.extend_from_slice(frame);
    }

    pub(super) fn write_authentication_ok(&mut self) {
        self.encode(&Authentication::Ok);
    }

    pub(super) fn write_parameter(&mut self, name: &str, value: &str) {
        self.encode(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }

    pub(super) fn write_key_data(&mut self, id: i32, secret: i32) {
        self.encode(&BackendKeyData::new(id, SecretKey::I32(secret)));
    }

    pub(super) fn write_command_complete(&mut self, tag: &str) {
        self.encode(&CommandComplete::new(tag.to_owned()));
    }

    pub(super) fn write_empty_query(&mut self) {
        self.encode(&EmptyQueryResponse::new());
    }

    pub(super) fn write_parse_complete(&mut self) {
        self.encode(&ParseComplete::new());
    }

    pub(super) fn write_bind_complete(&mut self) {
        self.encode(&BindComplete::new());
    }

    pub(super) fn write_close_complete(&mut self) {
        self.encode(&CloseComplete::new());
    }

    pub(super) fn write_no_data(&mut self) {
        self.encode(&NoData::new());
    }

    pub(super) fn write_no_parameters(&mut self) {
        self.encode(&ParameterDescription::new(Vec::new()));
    }

    /// Writes the description of rows with one text column.
    pub(super) fn write_text_column(&mut self, column: &str) {
        let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_TYPE_OID, -1, -1, 0);
        self.encode(&RowDescription::new(vec![field]));
    }

    /// Writes one row with one text value, and completes a `SHOW`.
    pub(super) fn write_show_value(&mut self, value: &str) {
        let mut data = BytesMut::new();
        data.extend_from_slice(&(value.len() as i32).to_be_bytes());
        data.extend_from_slice(value.as_bytes());
        self.encode(&DataRow::new(data, 1));
        self.write_command_complete("SHOW");
    }

    pub(super) fn write_ready(&mut self, status: u8) {
        let status = match status {
            b'T' => TransactionStatus::Transaction,
            b'E' => TransactionStatus::Error,
            _ => TransactionStatus::Idle,
        };
        self.encode(&ReadyForQuery::new(status));
    }

    /// Writes an error with the code's SQLSTATE, number, outcome and remedy.
    pub(super) fn write_error(&mut self, severity: &str, code: ResultCode, text: &str) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', code.sqlstate().to_owned()),
            (b'M', text.to_owned()),
            (b'D', format!("hawthornstack result {}: {:?}", code.number(), code.outcome())),
            (b'H', code.remedy().to_owned()),
        ];
        self.encode(&ErrorResponse::new(fields));
    }

    pub(super) fn write_result_error(&mut self, code: ResultCode) {
        self.write_error("ERROR", code, code.text());
    }
}
