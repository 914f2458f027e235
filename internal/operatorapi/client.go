package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"
)

// hostTimeout bounds the call to one host before the next one is tried.
const hostTimeout = 15 * time.Second

// Client calls the operator API. Except for StatusOf and DrainHost, it tries its hosts in order until one responds.
type Client struct {
	// Hosts are operator addresses, ip:port.
	Hosts      []string
	Credential string
	HTTP       *http.Client
}

// NewClient returns a client for the hosts at the given operator addresses. By default a call to one host takes at most
// 15 s.
func NewClient(hosts []string, credential string) *Client {
	return &Client{Hosts: hosts, Credential: credential, HTTP: &http.Client{Timeout: hostTimeout}}
}

// File returns the rules file that is installed on the first host that responds.
func (c *Client) File(ctx context.Context) (File, error) {
	var f File
	return f, c.any(ctx, http.MethodGet, "/v1/config", nil, &f)
}

// Charge returns the charge of a request, or an *Error with CodeNotFound when there is none.
func (c *Client) Charge(ctx context.Context, requestID string) (Charge, error) {
	var ch Charge
	return ch, c.any(ctx, http.MethodGet, "/v1/charges/"+url.PathEscape(requestID), nil, &ch)
}

// StatusOf returns the status of the given host; it does not try other hosts.
func (c *Client) StatusOf(ctx context.Context, host string) (Status, error) {
	var s Status
	return s, c.call(ctx, host, http.MethodGet, "/v1/status", nil, &s)
}

// DrainHost starts the drain of the given host and returns without waiting for its end.
func (c *Client) DrainHost(ctx context.Context, host string) error {
	return c.call(ctx, host, http.MethodPost, "/v1/drain", struct{}{}, &struct{}{})
}

// Apply stores a rules file through the first host that responds. When the response of a host that may have received
// the request is lost, the file may be stored. Apply then reads the installed file from the remaining hosts and returns
// StatusStored when it is the applied one, and StatusUnknown otherwise. It does not send the file again.
func (c *Client) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	var failures []error
	for i, h := range c.Hosts {
		var result ApplyResult
		err := c.call(ctx, h, http.MethodPost, "/v1/config/apply", r, &result)
		var apiErr *Error
		switch {
		case err == nil || errors.As(err, &apiErr):
			return result, err
		case neverConnected(err):
			failures = append(failures, err)
		default:
			return c.resolve(ctx, c.Hosts[i+1:], r), nil
		}
	}
	return ApplyResult{}, &UnreachableError{Failures: failures}
}

// resolve determines whether a file was stored, after the response to its apply has been lost.
func (c *Client) resolve(ctx context.Context, hosts []string, r ApplyRequest) ApplyResult {
	for _, h := range hosts {
		var f File
		err := c.call(ctx, h, http.MethodGet, "/v1/config", nil, &f)
		if err == nil && f.Text == r.Text && f.Generation > r.BaseGeneration {
			return ApplyResult{Status: StatusStored, Generation: f.Generation}
		}
	}
	return ApplyResult{Status: StatusUnknown}
}

// any sends an idempotent call to the hosts in order until one that is ready responds.
func (c *Client) any(ctx context.Context, method, path string, in, out any) error {
	var failures []error
	for _, h := range c.Hosts {
		err := c.call(ctx, h, method, path, in, out)
		var apiErr *Error
		if err == nil || (errors.As(err, &apiErr) && apiErr.Code != CodeNotReady) {
			return err
		}
		failures = append(failures, err)
	}
	return &UnreachableError{Failures: failures}
}

func (c *Client) call(ctx context.Context, host, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, body)
	if err != nil {
		return fmt.Errorf("build call to host %s: %w", host, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("call host %s: %w", host, err)
	}
	defer resp.Body.Close() //nolint:errcheck // Errors of reading the response are returned.
	if resp.StatusCode != http.StatusOK {
		apiErr := &Error{}
		if err := json.NewDecoder(resp.Body).Decode(apiErr); err != nil {
			return fmt.Errorf("host %s responded with status %d: decode error response: %w", host, resp.StatusCode, err)
		}
		return apiErr
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode response of host %s: %w", host, err)
	}
	return nil
}

// neverConnected reports whether the connection failed, so that the host cannot have received the call.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
}
