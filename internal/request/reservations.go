package request

import (
	"context"

	"github.com/boragecourse/boragecourse/internal/quota"
)

// reservations are the quota reservations of one request, spent in order.
type reservations struct {
	parts []part
}

type part struct {
	quota.Reservation
	left int64
}

// reserve adds tokens of the workspace's bucket. Open routes reserve nothing.
func (x *run) reserve(ctx context.Context, tokens int64) error {
	if x.workspace == nil {
		return nil
	}
	r, err := x.Limiter.Reserve(ctx, x.workspace.Name, tokens)
	if err != nil {
		return err
	}
	x.quota.parts = append(x.quota.parts, part{r, tokens})
	return nil
}

// use marks tokens as consumed.
func (r *reservations) use(tokens int64) {
	for i := range r.parts {
		n := min(tokens, r.parts[i].left)
		if n > 0 {
			r.parts[i].Use(n)
			r.parts[i].left -= n
			tokens -= n
		}
	}
}

// close returns what was not used.
func (r *reservations) close() {
	for _, p := range r.parts {
		p.Close()
	}
}
