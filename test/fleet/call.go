package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/request"
)

// Sink receives the response to a request.
type Sink = request.Sink

// Request describes a request of a caller.
type Request struct {
	// Workspace selects the key to send, unless Key is set.
	Workspace, Key string
	Path           string
	// Prompt and Tokens (the output limit) are for a generation request; Body is for a service call.
	Prompt string
	Tokens int64
	Body   string
	// IdempotencyKey may be empty.
	IdempotencyKey string
}

// Call is a request that was sent and what its caller has received so far.
type Call struct {
	Request
	ID       string
	Host     *Host
	Sent     time.Time
	Finished chan struct{}

	process *process
	cancel  context.CancelFunc

	mu         sync.Mutex
	text, body strings.Builder
	// finishes counts finish reasons, dones ends of streams, and answers responses that are not streams.
	finishes, dones, answers int
	status                   int
	header                   http.Header
	err                      *outcome.Error
	ended                    time.Time
	canceled, cut, finished  bool
	faults                   []string
}

// CallResult is what the caller of a call has received.
type CallResult struct {
	Text, Body string
	// Finishes counts finish reasons, Dones ends of streams, and Answers responses that are not streams.
	Finishes, Dones, Answers int
	Status                   int
	Header                   http.Header
	// Err is the failure sent to the caller, or nil.
	Err   *outcome.Error
	Ended time.Time
	// Canceled is set when the caller canceled the request, HostEnded when the host's process ended before the
	// response.
	Canceled, HostEnded bool
	// Faults are violations of the response protocol, for example a second response.
	Faults []string
}

// Send starts a request through a host and does not wait for its response.
func (f *Fleet) Send(h *Host, r Request) *Call {
	c := &Call{Request: r, Host: h, Sent: time.Now(), Finished: make(chan struct{}), process: h.process}
	if c.Key == "" {
		c.Key = DefaultRules().Keys[r.Workspace]
	}
	if c.Path == "" {
		c.Path = "/v1/completions"
	}
	if r.Prompt != "" {
		data, _ := json.Marshal(map[string]any{
			"model": Model, "prompt": r.Prompt, "max_tokens": r.Tokens, "stream": true,
		})
		c.Body = string(data)
	}
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(h.ctx)
	if !h.Alive() {
		c.cut = true
		close(c.Finished)
		return c
	}
	c.ID = h.Charges.NewRequestID()
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	f.running.Go(func() {
		defer close(c.Finished)
		defer c.cancel()
		c.run(ctx, f)
	})
	return c
}

func (c *Call) run(ctx context.Context, f *Fleet) {
	u, _ := url.Parse(c.Path)
	in := &request.Input{
		ID: c.ID, Method: http.MethodPost, URL: u, Header: http.Header{}, Body: []byte(c.Body), Key: c.Key,
		IdempotencyKey: c.IdempotencyKey, Arrived: c.Sent,
	}
	if c.IdempotencyKey != "" {
		in.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	var sink Sink = c
	if f.WrapSink != nil {
		sink = f.WrapSink(c)
	}
	err := c.process.Router.Check(in)
	if err == nil {
		err = c.process.Router.Do(ctx, in, sink)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.finished = time.Now(), true
	c.cut = c.process.dead.Load()
	if err != nil && !errors.As(err, &c.err) {
		c.faults = append(c.faults, fmt.Sprintf("router returned an error of an unexpected type: %v", err))
	}
}

// Cancel cancels the request on behalf of its caller.
func (c *Call) Cancel() {
	c.mu.Lock()
	c.canceled = true
	c.mu.Unlock()
	c.cancel()
}

// Returned reports whether the call has ended.
func (c *Call) Returned() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.finished || c.cut }

// ProcessEnded returns the time at which the process that served the call ended, or the zero time while it runs.
func (c *Call) ProcessEnded() time.Time { return c.process.Died }

// Result returns what the caller has received so far.
func (c *Call) Result() CallResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CallResult{
		Text: c.text.String(), Body: c.body.String(), Finishes: c.finishes, Dones: c.dones, Answers: c.answers,
		Status: c.status, Header: c.header, Err: c.err, Ended: c.ended, Canceled: c.canceled, HostEnded: c.cut, Faults: c.faults,
	}
}

// receive records one part of the response. It fails when the process that sends it has ended.
func (c *Call) receive(what string, record func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process.dead.Load() {
		return errProcessEnded
	}
	if c.finished || c.dones > 0 || c.answers > 0 {
		c.faults = append(c.faults, what+" after the end of the response")
	}
	record()
	return nil
}

// Event implements request.Sink.
func (c *Call) Event(data []byte) error {
	var event struct {
		Choices []struct {
			Text   string  `json:"text"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
	}
	bad := json.Unmarshal(data, &event)
	return c.receive("event", func() {
		if bad != nil {
			c.faults = append(c.faults, "event is not valid JSON: "+string(data))
		}
		for _, choice := range event.Choices {
			c.text.WriteString(choice.Text)
			if choice.Finish != nil {
				c.finishes++
			}
		}
	})
}

// Done implements request.Sink.
func (c *Call) Done() error { return c.receive("end", func() { c.dones++ }) }

// Response implements request.Sink.
func (c *Call) Response(status int, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return c.receive("answer", func() {
		c.answers++
		c.status, c.header = status, header
		c.body.Write(data)
	})
}
