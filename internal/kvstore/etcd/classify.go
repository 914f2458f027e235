package etcd

import (
	"context"
	"strings"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// sendTracker records whether a call's headers were handed to a connection. A call that failed before that certainly
// had no effect. The status code alone does not show this: it is Unavailable both for a refused connection and for one
// that broke after the request was sent.
type sendTracker struct{}

type sentKey struct{}

func trackSend(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// TagRPC implements stats.Handler.
func (sendTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sendTracker) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sendTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendTracker) HandleConn(context.Context, stats.ConnStats) {}

// classify converts a call's error to *OutcomeUnknownError or *UnavailableError. Reads have no effect. A write had no
// effect if it never reached a connection or if the store refused it with a code that it returns only before it applies
// anything.
func classify(op string, writes bool, sent *atomic.Bool, err error) error {
	if writes && sent.Load() && !refused(status.Code(err)) {
		return &kvstore.OutcomeUnknownError{Op: op, Cause: err}
	}
	return &kvstore.UnavailableError{Op: op, Cause: err}
}

// refused reports whether the store returns the code only for calls without effect. ResourceExhausted is not among
// these codes, since the gRPC client also returns it for a response above the size limit.
func refused(c codes.Code) bool {
	switch c {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied, codes.Unauthenticated,
		codes.FailedPrecondition, codes.OutOfRange, codes.Unimplemented:
		return true
	default:
		return false
	}
}

// isLeaseNotFound reports whether the store refused a call because its lease has expired or was revoked.
func isLeaseNotFound(err error) bool {
	return status.Code(err) == codes.NotFound && strings.Contains(status.Convert(err).Message(), "lease not found")
}
