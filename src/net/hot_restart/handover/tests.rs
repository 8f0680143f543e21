//! Tests of the check of a successor's hello.

use rstest::rstest;
use tokio::net::UnixStream;

use super::{check_hello, send, FrameKind, Hello};
use crate::net::hot_restart::test_support::HELLO;

#[rstest]
#[case::recorded(HELLO, true)]
#[case::unknown_field(br#"{"later":1,"name":"gw-a","version":2}"#, true)]
#[case::another_version(br#"{"version":3,"name":"gw-a"}"#, false)]
#[case::another_name(br#"{"version":2,"name":"gw-b"}"#, false)]
#[case::no_version(br#"{"name":"gw-a"}"#, false)]
#[case::no_name(br#"{"version":2}"#, false)]
#[tokio::test]
async fn hello_is_accepted_from_the_same_proxy_and_version(#[case] content: &[u8], #[case] accepted: bool) {
    let (sender, receiver) = UnixStream::pair().expect("socket pair is created");
    send(&sender, FrameKind::Hello, content, None).await.expect("hello is sent");
    assert_eq!(check_hello(&receiver, &Hello::new("gw-a")).await.is_ok(), accepted);
}
