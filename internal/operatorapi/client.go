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

// hostTimeout bounds the wait for one host before the next one is tried.
const hostTimeout = 15 * time.Second

// Client calls the operator API. It tries its hosts in order until one answers.
type Client struct {
	// Hosts are operator addresses, ip:port.
	Hosts      []string
	Credential string
	HTTP       *http.Client
}

// NewClient returns a client for the hosts' operator addresses.
func NewClient(hosts []string, credential string) *Client {
	return &Client{Hosts: hosts, Credential: credential, HTTP: &http.Client{Timeout: hostTimeout}}
}

// File returns the installed rules file.
func (c *Client) File(ctx context.Context) (File, error) {
	var f File
	return f, c.any(ctx, http.MethodGet, "/v1/config", nil, &f)
}

// Charge finds the charge of a request.
func (c *Client) Charge(ctx context.Context, requestID string) (Charge, error) {
	var ch Charge
	return ch, c.any(ctx, http.MethodGet, "/v1/charges/"+url.PathEscape(requestID), nil, &ch)
}

// StatusOf returns one host's status.
func (c *Client) StatusOf(ctx context.Context, host string) (Status, error) {
	var s Status
	return s, c.call(ctx, host, http.MethodGet, "/v1/status", nil, &s)
}

// DrainHost drains one host.
func (c *Client) DrainHost(ctx context.Context, host string) error {
	return c.call(ctx, host, http.MethodPost, "/v1/drain", struct{}{}, &struct{}{})
}

// Apply stores a rules file through the first host that answers. When a host takes the request and its answer
// is lost, the file may be stored: the installed file is then read from the other hosts, and the
// status is StatusUnknown unless it is the applied one.
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

// resolve looks for an applied file whose answer was lost.
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

// any sends a call that may be repeated to the hosts in order.
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
		return fmt.Errorf("host %s: %w", host, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("host %s: %w", host, err)
	}
	defer resp.Body.Close() //nolint:errcheck // The answer was read or its error is returned.
	if resp.StatusCode != http.StatusOK {
		apiErr := &Error{}
		if err := json.NewDecoder(resp.Body).Decode(apiErr); err != nil {
			return fmt.Errorf("host %s: status %d: %w", host, resp.StatusCode, err)
		}
		return apiErr
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("host %s: read answer: %w", host, err)
	}
	return nil
}

// neverConnected reports whether the call certainly did not reach the host.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
}
