use std::fmt::Write as _;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    identity::{GroupName, SessionId},
    positions::LogPosition,
};

/// Bytes of the keyed hash kept in a token.
const TAG_BYTES: usize = 16;
/// Longest accepted token text, in bytes.
const MAX_TOKEN_BYTES: usize = 256;
/// First field of every token; identifies the format.
const TOKEN_VERSION: &str = "hs1";

/// Reason why a token is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum TokenError {
    /// The text does not have the format of a token.
    #[snafu(display("the text is not a session token"))]
    Malformed,
    /// The signature does not match: the token is from another deployment or forged.
    #[snafu(display("the token was not signed by this deployment"))]
    BadSignature,
    /// The token belongs to another group.
    #[snafu(display("the token belongs to another group"))]
    OtherGroup,
}

/// Key with which a deployment signs its session tokens.
#[derive(Clone)]
pub struct TokenKey([u8; 32]);

impl TokenKey {
    /// Derives a key from the deployment's secret text.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key("hawthornstack session token v1", secret.as_bytes()))
    }

    fn tag(&self, payload: &str) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, payload.as_bytes());
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// The position that a session must see in one group, as given to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The session for which the token was issued.
    pub session: SessionId,
    /// The group that the position belongs to.
    pub group: GroupName,
    /// The highest position that the session must see.
    #[serde(rename = "mark")]
    pub position: LogPosition,
}

impl SessionToken {
    /// Text form: `hs1~SESSION~GROUP~TERM~OFFSET~TAG`, at most 256 bytes.
    pub fn encode(&self, key: &TokenKey) -> String {
        let position = self.position;
        let mut text = format!(
            "{TOKEN_VERSION}~{}~{}~{:x}~{:x}",
            self.session, self.group, position.term, position.offset
        );
        let tag = key.tag(&text);
        text.push('~');
        for byte in tag {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Parses a token for `group` and checks its signature.
    ///
    /// # Errors
    /// `TokenError` if the text is no token, is not signed with `key` or belongs to
    /// another group; the caller's session stays unchanged.
    pub fn decode(text: &str, key: &TokenKey, group: &GroupName) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::Malformed);
        }
        let (payload, tag) = text.rsplit_once('~').ok_or(TokenError::Malformed)?;
        let fields: Vec<&str> = payload.split('~').collect();
        let [TOKEN_VERSION, session, token_group, term, offset] = fields[..] else {
            return Err(TokenError::Malformed);
        };
        let expected = key.tag(payload);
        let mut found = [0; TAG_BYTES];
        if tag.len() != 2 * TAG_BYTES || !tag.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(TokenError::Malformed);
        }
        for (index, byte) in found.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&tag[2 * index..2 * index + 2], 16)
                .map_err(|_| TokenError::Malformed)?;
        }
        let difference = expected.iter().zip(found).fold(0, |sum, (a, b)| sum | (a ^ b));
        if difference != 0 {
            return Err(TokenError::BadSignature);
        }
        if token_group != group.as_str() {
            return Err(TokenError::OtherGroup);
        }
        let number = |text| u64::from_str_radix(text, 16).map_err(|_| TokenError::Malformed);
        Ok(Self {
            session: SessionId::new(session).map_err(|_| TokenError::Malformed)?,
            group: group.clone(),
            position: LogPosition::new(number(term)?, number(offset)?),
        })
    }
}
