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

/// Type number of `text`.
const TEXT_TYPE: u32 = 25;

/// Builds the proxy's own messages to a caller.
#[derive(Debug, Default)]
pub(super) struct AnswerWriter {
    /// Messages that are not sent yet.
    pub(super) bytes: BytesMut,
}

impl AnswerWriter {
    /// Messages of the proxy's own are small and well-formed, so that encoding
    /// them does not fail.
    fn put(&mut self, message: &impl Message) {
        let _ = message.encode(&mut self.bytes);
    }

    pub(super) fn raw(&mut self, frame: &[u8]) {
        self.bytes.extend_from_slice(frame);
    }

    pub(super) fn authenticated(&mut self) {
        self.put(&Authentication::Ok);
    }

    pub(super) fn parameter(&mut self, name: &str, value: &str) {
        self.put(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }

    pub(super) fn key_data(&mut self, id: i32, secret: i32) {
        self.put(&BackendKeyData::new(id, SecretKey::I32(secret)));
    }

    pub(super) fn complete(&mut self, tag: &str) {
        self.put(&CommandComplete::new(tag.to_owned()));
    }

    pub(super) fn empty_query(&mut self) {
        self.put(&EmptyQueryResponse::new());
    }

    pub(super) fn parse_complete(&mut self) {
        self.put(&ParseComplete::new());
    }

    pub(super) fn bind_complete(&mut self) {
        self.put(&BindComplete::new());
    }

    pub(super) fn close_complete(&mut self) {
        self.put(&CloseComplete::new());
    }

    pub(super) fn no_data(&mut self) {
        self.put(&NoData::new());
    }

    pub(super) fn no_parameters(&mut self) {
        self.put(&ParameterDescription::new(Vec::new()));
    }

    /// Describes rows of one text column.
    pub(super) fn text_column(&mut self, column: &str) {
        let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_TYPE, -1, -1, 0);
        self.put(&RowDescription::new(vec![field]));
    }

    /// One row with one text value, and the end of a `SHOW`.
    pub(super) fn text_value(&mut self, value: &str) {
        let mut data = BytesMut::new();
        data.extend_from_slice(&(value.len() as i32).to_be_bytes());
        data.extend_from_slice(value.as_bytes());
        self.put(&DataRow::new(data, 1));
        self.complete("SHOW");
    }

    pub(super) fn ready(&mut self, status: u8) {
        let status = match status {
            b'T' => TransactionStatus::Transaction,
            b'E' => TransactionStatus::Error,
            _ => TransactionStatus::Idle,
        };
        self.put(&ReadyForQuery::new(status));
    }

    /// An error with the code's SQLSTATE, number, outcome and mend.
    pub(super) fn error(&mut self, severity: &str, code: ResultCode, text: &str) {
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', code.sqlstate().to_owned()),
            (b'M', text.to_owned()),
            (b'D', format!("hawthornstack result {}: {:?}", code.number(), code.outcome())),
            (b'H', code.remedy().to_owned()),
        ];
        self.put(&ErrorResponse::new(fields));
    }

    pub(super) fn result(&mut self, code: ResultCode) {
        self.error("ERROR", code, code.text());
    }
}
