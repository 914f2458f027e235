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
func (c *serviceCall) takeClaim(ctx context.Context) (replayed bool, err error) {
	if c.route.Repeatable || c.in.IdempotencyKey == "" || c.workspace == nil {
		return false, nil
	}
	ticket, answer, err := c.Claims.Claim(ctx, claim.Call{
		Workspace: c.workspace.Name, IdempotencyKey: c.in.IdempotencyKey, Digest: c.digest(),
		Attempt: c.in.ID,
	})
	if err != nil {
		if gone := c.canceled(ctx); gone != nil {
			return false, gone
		}
		return false, claimRefusal(err)
	}
	if answer != nil {
		header := http.Header{headerReplayed: {"true"}}
		if answer.ContentType != "" {
			header.Set("Content-Type", answer.ContentType)
		}
		return true, c.send(answer.Status, header, bytes.NewReader(answer.Body))
	}
	c.claim = &claimed{ticket: ticket, timeout: c.settings.RecordTimeout, log: c.Log.WithValues("request", c.in.ID)}
	return false, nil
}

// digest identifies the call under its idempotency key.
func (c *serviceCall) digest() [sha256.Size]byte {
	d := sha256.New()
	for _, part := range []string{c.in.Method, "\x00", c.in.URL.RequestURI(), "\x00"} {
		d.Write([]byte(part))
	}
	d.Write(c.in.Body)
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

// settle ends a claim whose answer was not recorded. The failure says whether the call may have run.
func (c *claimed) settle(failure error) {
	if c == nil || c.done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var e *outcome.Error
	if errors.As(failure, &e) && e.Outcome == outcome.NotRun {
		err := c.ticket.GiveUp(ctx)
		if err == nil || !c.dispatched {
			c.note("give up", err)
			return
		}
		// A claim service that cannot take a dispatched call back keeps the key as unknown, which is safe.
		c.note("give up after dispatch", err)
	}
	c.note("unknown", c.ticket.Unknown(ctx))
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
	ctx, cancel := context.WithTimeout(context.Background(), c.claim.timeout)
	defer cancel()
	err = c.claim.ticket.Done(ctx, claim.Answer{
		Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body,
	})
	c.claim.done = true
	c.claim.note("done", err)
	return c.send(res.StatusCode, answerHeader(res), bytes.NewReader(body))
}
