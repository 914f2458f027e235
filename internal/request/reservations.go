package request

import (
	"context"

	"github.com/boragecourse/boragecourse/internal/quota"
)

// reservations are the quota reservations of one request. Tokens are consumed from them in order.
type reservations struct {
	entries []reservationEntry
}

type reservationEntry struct {
	quota.Reservation
	remaining int64
}

// reserve reserves tokens of the workspace's quota. Requests on open routes reserve nothing.
func (x *run) reserve(ctx context.Context, tokens int64) error {
	if x.workspace == nil {
		return nil
	}
	r, err := x.Limiter.Reserve(ctx, x.workspace.Name, tokens)
	if err != nil {
		return err
	}
	x.quota.entries = append(x.quota.entries, reservationEntry{r, tokens})
	return nil
}

// use marks tokens as consumed. Tokens beyond the reserved amount are ignored.
func (r *reservations) use(tokens int64) {
	for i := range r.entries {
		n := min(tokens, r.entries[i].remaining)
		if n > 0 {
			r.entries[i].Use(n)
			r.entries[i].remaining -= n
			tokens -= n
		}
	}
}

// close returns the unused tokens.
func (r *reservations) close() {
	for _, p := range r.entries {
		p.Close()
	}
}
