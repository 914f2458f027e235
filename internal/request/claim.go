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

// headerReplayed marks a response that was recorded for an earlier request with the same idempotency key.
const headerReplayed = "Idempotent-Replayed"

// heldClaim is the claim on a non-repeatable call with an idempotency key. It is nil for all other calls.
type heldClaim struct {
	ticket     claim.Ticket
	timeout    time.Duration
	log        logr.Logger
	dispatched bool
	// done is set once the response was passed to the ticket.
	done bool
}

// takeClaim claims a non-repeatable call with an idempotency key. It reports whether the recorded response of an
// earlier request was sent to the caller. Claims belong to a workspace, so calls on open routes have none.
func (x *run) takeClaim(ctx context.Context) (replayed bool, err error) {
	if x.route.Repeatable || x.in.IdempotencyKey == "" || x.workspace == nil {
		return false, nil
	}
	ticket, recorded, err := x.Claims.Claim(ctx, claim.Call{
		Workspace: x.workspace.Name, IdempotencyKey: x.in.IdempotencyKey, Digest: x.digest(), Attempt: x.in.ID,
	})
	if err != nil {
		if cerr := x.canceled(ctx); cerr != nil {
			return false, cerr
		}
		return false, claimRefusal(err)
	}
	if recorded != nil {
		header := http.Header{headerReplayed: {"true"}}
		if recorded.ContentType != "" {
			header.Set("Content-Type", recorded.ContentType)
		}
		return true, x.sendResponse(recorded.Status, header, bytes.NewReader(recorded.Body))
	}
	x.claim = &heldClaim{ticket: ticket, timeout: x.settings.RecordTimeout, log: x.Log.WithValues("request", x.in.ID)}
	return false, nil
}

// digest returns a hash of the call, which detects the reuse of an idempotency key for another call.
func (x *run) digest() [sha256.Size]byte {
	d := sha256.New()
	for _, part := range []string{x.in.Method, "\x00", x.in.URL.RequestURI(), "\x00"} {
		d.Write([]byte(part))
	}
	d.Write(x.in.Body)
	return [sha256.Size]byte(d.Sum(nil))
}

func (c *heldClaim) markDispatched() error {
	if c == nil {
		return nil
	}
	if err := c.ticket.Dispatching(); err != nil {
		return err
	}
	c.dispatched = true
	return nil
}

// settle ends a claim for which no response was recorded. A dispatched call is settled as not run only when its failure
// has that outcome and every call to a backend server certainly had no effect. After a panic there is no failure, so
// the outcome is unknown.
func (c *heldClaim) settle(failure error, r progress) {
	if c == nil || c.done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var e *outcome.Error
	switch {
	case !c.dispatched:
		c.logUnsettled("give up", c.ticket.GiveUp(ctx))
	case errors.As(failure, &e) && e.Outcome == outcome.NotRun && r.outcome() == outcome.NotRun:
		c.logUnsettled("not run", c.ticket.NotRun(ctx))
	default:
		c.logUnsettled("unknown", c.ticket.Unknown(ctx))
	}
}

func (c *heldClaim) logUnsettled(state string, err error) {
	if err != nil {
		c.log.Info("failed to settle claim", "as", state, "error", err.Error())
	}
}

// recordResponse reads the complete response and records it before it is sent, so that a caller who has received it
// gets the same response when it repeats the call. When the store does not record it in time, the claim service
// continues in the background and the response is sent.
func (c *serviceCall) recordResponse(res *http.Response, server *rules.Server) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, c.settings.MaxRecordedResponse+1))
	if err != nil {
		return &engine.FailedError{Server: server.Name, Status: res.StatusCode, Cause: err}
	}
	if int64(len(body)) > c.settings.MaxRecordedResponse {
		return c.fail(http.StatusBadGateway, outcome.CodeServerFailed, "the answer is too large to be recorded", nil)
	}
	c.claim.record(claim.Response{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body})
	return c.sendResponse(res.StatusCode, responseHeader(res), bytes.NewReader(body))
}

// record passes the response to the claim service and waits up to the timeout until the store has recorded it.
func (c *heldClaim) record(a claim.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	err := c.ticket.Done(ctx, a)
	c.done = true
	c.logUnsettled("done", err)
}

// recordingSink records the response of an engine for the claim of its call before the end of the response is sent.
type recordingSink struct {
	Sink
	claim *heldClaim
	// limit bounds events, in bytes. Recording stops beyond it, and the claim service records the response as too
	// large.
	limit  int64
	events bytes.Buffer
}

// Event implements Sink. It buffers the event for the record.
func (s *recordingSink) Event(data []byte) error {
	if int64(s.events.Len()) <= s.limit {
		s.events.WriteString("data: ")
		s.events.Write(data)
		s.events.WriteString("\n\n")
	}
	return s.Sink.Event(data)
}

// Done implements Sink. It records the stream before its end is sent.
func (s *recordingSink) Done() error {
	s.events.WriteString("data: [DONE]\n\n")
	s.claim.record(claim.Response{Status: http.StatusOK, ContentType: "text/event-stream", Body: s.events.Bytes()})
	return s.Sink.Done()
}

// Response implements Sink. It records the response before it is sent.
func (s *recordingSink) Response(status int, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	s.claim.record(claim.Response{Status: status, ContentType: header.Get("Content-Type"), Body: data})
	return s.Sink.Response(status, header, bytes.NewReader(data))
}
