// Package responsehead checks the heads of responses that net/http has parsed. net/http accepts some heads that are not valid in HTTP.
package responsehead

import (
	"fmt"
	"net/http"
)

// StatusError reports a response with a status that no response to the request can have.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid response status %03d", e.Status) }

// Check returns *StatusError for a response with a status below 100, which HTTP does not have, or 101, which answers a request for
// another protocol only. Statuses from 600 to 999 are allowed: RFC 9110, section 15, has clients treat them as server errors.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
