package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// headerReplayed marks an answer that was recorded by an earlier attempt.
const headerReplayed = "Idempotent-Replayed"

// claimed is the claim of a keyed call that may not be repeated. A nil claim belongs to any other call.
type claimed struct {
	ticket     claim.Ticket
	timeout    time.Duration
	log        logr.Logger
	dispatched bool
	// done is set once the answer was given to the ticket.
	done bool
}

// takeClaim claims the call if it needs it. It reports whether the caller got the recorded answer of an earlier
// attempt. Claims belong to a workspace, so calls on open routes have none.
func (x *run) takeClaim(ctx context.Context) (replayed bool, err error) {
	if x.route.Repeatable || x.in.IdempotencyKey == "" || x.workspace == nil {
		return false, nil
	}
	ticket, answer, err := x.Claims.Claim(ctx, claim.Call{
		Workspace: x.workspace.Name, IdempotencyKey: x.in.IdempotencyKey, Digest: x.digest(), Attempt: x.in.ID,
	})
	if err != nil {
		if gone := x.canceled(ctx); gone != nil {
			return false, gone
		}
		return false, claimRefusal(err)
	}
	if answer != nil {
		header := http.Header{headerReplayed: {"true"}}
		if answer.ContentType != "" {
			header.Set("Content-Type", answer.ContentType)
		}
		return true, x.sendAnswer(answer.Status, header, bytes.NewReader(answer.Body))
	}
	x.claim = &claimed{ticket: ticket, timeout: x.settings.RecordTimeout, log: x.Log.WithValues("request", x.in.ID)}
	return false, nil
}

// digest identifies the call under its idempotency key.
func (x *run) digest() [sha256.Size]byte {
	d := sha256.New()
	for _, part := range []string{x.in.Method, "\x00", x.in.URL.RequestURI(), "\x00"} {
		d.Write([]byte(part))
	}
	d.Write(x.in.Body)
	return [sha256.Size]byte(d.Sum(nil))
}

func (c *claimed) dispatching() error {
	if c == nil {
		return nil
	}
	if err := c.ticket.Dispatching(); err != nil {
		return err
	}
	c.dispatched = true
	return nil
}

// settle ends a claim whose answer was not recorded. A dispatched call is given up only when the failure says that it
// did not run and every call to a backend server certainly had no effect. After a panic there is no failure, so the
// call counts as unknown.
func (c *claimed) settle(failure error, r ran) {
	if c == nil || c.done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var e *outcome.Error
	switch {
	case !c.dispatched:
		c.note("give up", c.ticket.GiveUp(ctx))
	case errors.As(failure, &e) && e.Outcome == outcome.NotRun && r.outcome() == outcome.NotRun:
		c.note("not run", c.ticket.NotRun(ctx))
	default:
		c.note("unknown", c.ticket.Unknown(ctx))
	}
}

func (c *claimed) note(what string, err error) {
	if err != nil {
		c.log.Info("claim not settled in time", "as", what, "error", err.Error())
	}
}

// recordAnswer reads the whole answer and records it before the caller gets it, so that a caller who saw it finds
// it again. When the store is slow, the claim service goes on with the record and the caller does not wait.
func (c *serviceCall) recordAnswer(res *http.Response, server *rules.Server) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.settings.MaxRecordedAnswer+1))
	if err != nil {
		return &engine.FailedError{Server: server.Name, Status: res.StatusCode, Cause: err}
	}
	if int64(len(body)) > c.settings.MaxRecordedAnswer {
		return c.fail(http.StatusBadGateway, outcome.CodeServerFailed, "the answer is too large to be recorded", nil)
	}
	c.claim.record(claim.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body})
	return c.sendAnswer(res.StatusCode, answerHeader(res), bytes.NewReader(body))
}

// record gives the answer to the claim service and waits for a limited time until the store has it.
func (c *claimed) record(a claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	err := c.ticket.Done(ctx, a)
	c.done = true
	c.note("done", err)
}

// recordingSink records the answer of an engine for the claim of its call, before the end of the answer is sent.
type recordingSink struct {
	Sink
	claim *claimed
	// limit bounds events, in bytes. A longer answer is recorded as too large.
	limit  int64
	events bytes.Buffer
}

// Event implements Sink.
func (s *recordingSink) Event(data []byte) error {
	if int64(s.events.Len()) <= s.limit {
		s.events.WriteString("data: ")
		s.events.Write(data)
		s.events.WriteString("\n\n")
	}
	return s.Sink.Event(data)
}

// Done implements Sink.
func (s *recordingSink) Done() error {
	s.events.WriteString("data: [DONE]\n\n")
	s.claim.record(claim.Answer{Status: http.StatusOK, ContentType: "text/event-stream", Body: s.events.Bytes()})
	return s.Sink.Done()
}

// Answer implements Sink.
func (s *recordingSink) Answer(status int, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	s.claim.record(claim.Answer{Status: status, ContentType: header.Get("Content-Type"), Body: data})
	return s.Sink.Answer(status, header, bytes.NewReader(data))
}
