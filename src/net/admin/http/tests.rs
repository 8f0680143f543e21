//! Tests with recorded bytes of responses.

use rstest::rstest;

use super::{HttpStatus, Response};

#[rstest]
#[case::text(
    Response::new(HttpStatus::Ok, "as before"),
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\nConnection: close\r\n\r\nas before\n"
)]
#[case::not_ready(
    Response::new(HttpStatus::ServiceUnavailable, "out of service"),
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 15\r\nConnection: close\r\n\r\n\
     out of service\n"
)]
#[case::bad_request(
    Response::error(HttpStatus::BadRequest),
    "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 12\r\nConnection: close\r\n\r\n\
     Bad Request\n"
)]
#[case::not_found(
    Response::error(HttpStatus::NotFound),
    "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 10\r\nConnection: close\r\n\r\n\
     Not Found\n"
)]
#[case::method_not_allowed(
    Response::error(HttpStatus::MethodNotAllowed),
    "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, POST\r\nContent-Type: text/plain\r\nContent-Length: 19\r\n\
     Connection: close\r\n\r\nMethod Not Allowed\n"
)]
#[case::timeout(
    Response::error(HttpStatus::RequestTimeout),
    "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain\r\nContent-Length: 16\r\nConnection: close\r\n\r\n\
     Request Timeout\n"
)]
#[case::head_too_large(
    Response::error(HttpStatus::HeaderFieldsTooLarge),
    "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\nContent-Length: 32\r\n\
     Connection: close\r\n\r\nRequest Header Fields Too Large\n"
)]
#[case::not_stored(
    Response::new(HttpStatus::InternalServerError, "it could not be written down"),
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 29\r\n\
     Connection: close\r\n\r\nit could not be written down\n"
)]
#[case::version(
    Response::error(HttpStatus::VersionNotSupported),
    "HTTP/1.1 505 HTTP Version Not Supported\r\nContent-Type: text/plain\r\nContent-Length: 27\r\n\
     Connection: close\r\n\r\nHTTP Version Not Supported\n"
)]
fn responses_are_encoded_byte_for_byte(#[case] response: Response, #[case] expected: &str) {
    assert_eq!(response.encode(), expected);
}
