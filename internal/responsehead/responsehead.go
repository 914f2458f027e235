// Package responsehead checks the heads of responses that net/http has parsed. net/http accepts some heads that are not valid in HTTP.
package responsehead

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// StatusError reports a response with a status that no response to the request can have.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid response status %03d", e.Status) }

// FieldNameError reports a header field whose name is not a token. Where the field is one that delimits the body, such as
// "Content-Length ", the body has other bounds than the server's.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string {
	return fmt.Sprintf("invalid header field name %.80q", e.Name)
}

// FoldedLineError reports a line of a head that begins with a blank. It is a field whose name begins with a blank, or continues the
// field before it in the folding that RFC 9112, section 5.2, has made obsolete. net/http adds it to the value of that field.
type FoldedLineError struct{}

// Error implements error.
func (e *FoldedLineError) Error() string { return "line of the response head begins with a blank" }

// TransferEncodingError reports a response of HTTP/1.0 with a transfer encoding, whose framing is faulty by RFC 9112, section 6.1.
type TransferEncodingError struct{}

// Error implements error.
func (e *TransferEncodingError) Error() string { return "response of HTTP/1.0 has a transfer encoding" }

// Check returns *StatusError for a response with a status below 100, which HTTP does not have, or 101, which answers a request for
// another protocol only. Statuses from 600 to 999 are allowed: RFC 9110, section 15, has clients treat them as server errors. It
// returns *FieldNameError for an invalid field name.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return &StatusError{Status: resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// CheckLines returns *FoldedLineError if a line of a head begins with a blank, and *TransferEncodingError if a response of HTTP/1.0 has
// a transfer encoding. net/http drops that field and takes the encoded body for the body. head holds the bytes that resp was parsed from.
func CheckLines(resp *http.Response, head []byte) error {
	if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
		return &FoldedLineError{}
	}
	if !resp.ProtoAtLeast(1, 1) && bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:")) {
		return &TransferEncodingError{}
	}
	return nil
}
