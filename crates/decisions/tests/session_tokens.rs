//! Which session tokens are accepted and which are refused.

use hawthornstack_decisions::{
    identity::{GroupName, SessionId},
    positions::LogPosition,
    sessions::{SessionToken, TokenError, TokenKey},
};
use proptest::{prelude::*, test_runner::RngSeed};

fn token(position: LogPosition) -> SessionToken {
    SessionToken {
        session: SessionId::new("worker-7").unwrap(),
        group: GroupName::new("shiftbook.1").unwrap(),
        position,
    }
}

#[test]
fn round_trip() {
    let key = TokenKey::derive("a secret of this test");
    let sent = token(LogPosition::new(3, 901));
    let text = sent.encode(&key);
    assert_eq!(SessionToken::decode(&text, &key, &sent.group), Ok(sent));
}

#[test]
fn foreign_tokens() {
    let key = TokenKey::derive("a secret of this test");
    let sent = token(LogPosition::new(3, 901));
    let text = sent.encode(&key);
    let other_key = TokenKey::derive("another deployment's secret");
    assert_eq!(SessionToken::decode(&text, &other_key, &sent.group), Err(TokenError::BadSignature));
    let other_group = GroupName::new("shiftbook.2").unwrap();
    assert_eq!(SessionToken::decode(&text, &key, &other_group), Err(TokenError::OtherGroup));
}

/// A sign is not a hexadecimal digit, although number parsers accept one.
#[test]
fn sign_refused() {
    let key = TokenKey::derive("a secret of this test");
    let group = GroupName::new("shiftbook.1").unwrap();
    let signed = (1..2_000).map(|offset| token(LogPosition::new(1, offset)).encode(&key));
    let (payload, tag) = signed
        .filter_map(|text| text.rsplit_once('~').map(|(a, b)| (a.to_owned(), b.to_owned())))
        .find(|(_, tag)| tag.starts_with('0'))
        .unwrap();
    let changed = format!("{payload}~+{}", &tag[1..]);
    assert_eq!(SessionToken::decode(&changed, &key, &group), Err(TokenError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_text_refused(text in "\\PC{0,300}") {
        let key = TokenKey::derive("a secret of this test");
        let group = GroupName::new("shiftbook.1").unwrap();
        prop_assert!(SessionToken::decode(&text, &key, &group).is_err());
    }

    #[test]
    fn changed_byte_refused(index in 0_usize..60, byte in 33_u8..126) {
        let key = TokenKey::derive("a secret of this test");
        let sent = token(LogPosition::new(3, 901));
        let text = sent.encode(&key);
        let mut bytes = text.clone().into_bytes();
        let index = index % bytes.len();
        prop_assume!(bytes[index] != byte);
        bytes[index] = byte;
        let changed = String::from_utf8(bytes).unwrap();
        // A hexadecimal digit in the other case has the same value.
        prop_assume!(changed.to_lowercase() != text.to_lowercase());
        prop_assert!(SessionToken::decode(&changed, &key, &sent.group).is_err());
    }
}
