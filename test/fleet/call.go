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

// Sink is the receiver of an answer.
type Sink = request.Sink

// Request is what a caller sends.
type Request struct {
	// Workspace is whose key is sent; Key overrides it.
	Workspace, Key string
	Path           string
	// Prompt and Tokens are those of a generation; Body is that of a service call.
	Prompt string
	Tokens int64
	Body   string
	// IdempotencyKey may be empty.
	IdempotencyKey string
}

// Call is a request on its way and what its caller saw.
type Call struct {
	Request
	ID      string
	Host    *Host
	Sent    time.Time
	Returns chan struct{}

	process *process
	cancel  context.CancelFunc

	mu                       sync.Mutex
	text, body               strings.Builder
	finishes, dones, answers int
	status                   int
	header                   http.Header
	err                      *outcome.Error
	ended                    time.Time
	canceled, cut, over      bool
	faults                   []string
}

// Seen is what the caller of a finished call saw.
type Seen struct {
	Text, Body               string
	Finishes, Dones, Answers int
	Status                   int
	Header                   http.Header
	// Err is the failure sent to the caller, or nil.
	Err   *outcome.Error
	Ended time.Time
	// Canceled is set when the caller left, Cut when its host died first.
	Canceled, Cut bool
	// Faults are answers that no caller may get, for example a second one.
	Faults []string
}

// Send sends a request through a host and returns at once.
func (f *Fleet) Send(h *Host, r Request) *Call {
	c := &Call{Request: r, Host: h, Sent: time.Now(), Returns: make(chan struct{}), process: h.process}
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
		close(c.Returns)
		return c
	}
	c.ID = h.Charges.NewRequestID()
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	f.running.Go(func() {
		defer close(c.Returns)
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
	c.ended, c.over = time.Now(), true
	c.cut = c.process.dead.Load()
	if err != nil && !errors.As(err, &c.err) {
		c.faults = append(c.faults, fmt.Sprintf("failure of another type: %v", err))
	}
}

// Cancel is the caller leaving.
func (c *Call) Cancel() {
	c.mu.Lock()
	c.canceled = true
	c.mu.Unlock()
	c.cancel()
}

// Returned reports whether the call is over.
func (c *Call) Returned() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.over || c.cut }

// Died returns when the call's process died; zero while it lives.
func (c *Call) Died() time.Time { return c.process.Died }

// Seen returns what the caller saw so far.
func (c *Call) Seen() Seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Seen{
		Text: c.text.String(), Body: c.body.String(), Finishes: c.finishes, Dones: c.dones, Answers: c.answers,
		Status: c.status, Header: c.header, Err: c.err, Ended: c.ended, Canceled: c.canceled, Cut: c.cut, Faults: c.faults,
	}
}

// receive notes a part of the answer. It fails when nobody can get it.
func (c *Call) receive(what string, note func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process.dead.Load() {
		return errDead
	}
	if c.over || c.dones > 0 || c.answers > 0 {
		c.faults = append(c.faults, what+" after the end of the answer")
	}
	note()
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
			c.faults = append(c.faults, "event is not JSON: "+string(data))
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

// Answer implements request.Sink.
func (c *Call) Answer(status int, header http.Header, body io.Reader) error {
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
