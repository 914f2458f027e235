package request

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
)

// Values of Retry-After where the failed component provides none.
const (
	retryDraining    = time.Second
	retryFull        = time.Second
	retryUnconfirmed = 3 * time.Second
	retryNoServer    = 5 * time.Second
	retryClaims      = 2 * time.Second
	// When an evacuation ends is not known. The random part up to retryEvacuatedSpread keeps refused callers from
	// returning all at once.
	retryEvacuated       = time.Second
	retryEvacuatedSpread = 3 * time.Second
)

func errDraining() *outcome.Error {
	e := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "this host is leaving; try another one")
	e.RetryAfter = retryDraining
	return e
}

// errTooManyOpen refuses a request at the limit of open requests, which bounds this host's memory. The caller may retry
// soon, since the load balancer may then select another host.
func errTooManyOpen(limit int) *outcome.Error {
	e := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeTooManyOpen, "this host has too many open requests; try another one")
	e.RetryAfter, e.Cause = retryFull, &OpenLimitError{Limit: limit}
	return e
}

// chargesFull refuses a request whose charge could not be recorded.
func chargesFull(cause error) *outcome.Error {
	e := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeChargesFull, "charges cannot be recorded now")
	e.RetryAfter, e.Cause = retryDraining, cause
	return e
}

func errNoConfiguration() *outcome.Error {
	e := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoConfiguration, "this host has no configuration yet")
	e.RetryAfter = retryDraining
	return e
}

// unknownPath refuses a path that no route serves. The message contains the path with the caller's key redacted.
func unknownPath(in *Input) *outcome.Error {
	return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownRoute, "no route serves %q", in.redact(in.URL.Path))
}

func malformed(message string, cause error) *outcome.Error {
	e := outcome.Refuse(http.StatusBadRequest, outcome.CodeMalformedRequest, "%s", message)
	e.Cause = cause
	return e
}

func keyWithdrawn() *outcome.Error {
	return outcome.Refuse(http.StatusUnauthorized, outcome.CodeKeyWithdrawn, "the key was withdrawn")
}

// quotaRefusal converts an error of the limiter to the error of the request. The outcome is derived from the progress
// of the request, since quota is also reserved after the prefill.
func (x *run) quotaRefusal(err error) error {
	var refused *quota.RefusedError
	var large *quota.ExceedsBurstError
	var unavailable *quota.UnavailableError
	switch {
	case errors.As(err, &large):
		return x.fail(http.StatusBadRequest, outcome.CodeExceedsBurst, "the request needs more tokens than the workspace's burst", err)
	case errors.As(err, &refused):
		e := x.fail(http.StatusTooManyRequests, outcome.CodeRateExceeded, "the workspace's rate is exceeded", err)
		e.RetryAfter = refused.RetryAfter
		return e
	case errors.As(err, &unavailable):
		e := x.fail(http.StatusServiceUnavailable, outcome.CodeQuotaUnavailable, "this host cannot admit requests now", err)
		e.RetryAfter = retryDraining
		return e
	}
	return x.fail(http.StatusInternalServerError, outcome.CodeInternal, "internal failure", err)
}

// placeRefusal converts an error of the placer to the error of the request. The outcome is derived from the progress of
// the request, since a request is also placed for retries.
func (x *run) placeRefusal(err error) error {
	var none *placement.NoServerError
	var late *placement.DeadlineError
	var full *placement.QueueFullError
	e := x.fail(http.StatusServiceUnavailable, outcome.CodeNoServer, "no backend server can take the request", err)
	e.RetryAfter = retryNoServer
	switch {
	case errors.As(err, &none) && none.Evacuated:
		e.Code, e.Message = outcome.CodeZoneEvacuated, "all backend servers that could take the request are in evacuated zones"
		e.RetryAfter = retryEvacuated + rand.N(retryEvacuatedSpread) //nolint:gosec // The spread needs no secret.
	case errors.As(err, &none):
	case errors.As(err, &late):
		e.Code, e.Message, e.RetryAfter = outcome.CodeDeadline, "the request cannot be answered in time", late.RetryAfter
	case errors.As(err, &full):
		e.Code, e.Message, e.RetryAfter = outcome.CodeQueueFull, "too many requests are waiting", full.RetryAfter
	default:
		e.Code, e.Status, e.Message = outcome.CodeInternal, http.StatusInternalServerError, "internal failure"
	}
	return e
}

// claimRefusal converts an error of the claim service to the error of the request. The outcome is that of the error if
// it has one, since an earlier request with the same idempotency key may have run the call; otherwise it is not-run.
func claimRefusal(err error) error {
	var own interface{ Outcome() outcome.Outcome }
	e := &outcome.Error{
		Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeClaimUnavailable,
		Message: "the call cannot be claimed now", RetryAfter: retryClaims, Cause: err,
	}
	if errors.As(err, &own) {
		e.Outcome = own.Outcome()
	}
	var reused *claim.ReusedKeyError
	var running *claim.InProgressError
	var unknown *claim.UnknownOutcomeError
	var large *claim.ResponseTooLargeError
	switch {
	case errors.As(err, &reused):
		e.Status, e.Code, e.RetryAfter = http.StatusUnprocessableEntity, outcome.CodeKeyReused, 0
		e.Message = "the idempotency key was used for another request"
	case errors.As(err, &running):
		e.Status, e.Code = http.StatusConflict, outcome.CodeCallInProgress
		e.Message = "a call with this idempotency key is in progress"
	case errors.As(err, &unknown):
		e.Status, e.Code, e.RetryAfter = http.StatusConflict, outcome.CodeClaimUnknown, 0
		e.Message = "an earlier call with this idempotency key may have run"
	case errors.As(err, &large):
		e.Status, e.Code, e.RetryAfter = http.StatusConflict, outcome.CodeClaimUnknown, 0
		e.Message = "an earlier call with this idempotency key ran; its answer was too large to keep"
	}
	return e
}
