package quota

import (
	"testing"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

type singleHostView struct{ epoch membership.Epoch }

func (v singleHostView) Self() host.ID                     { return v.epoch.Hosts[0] }
func (v singleHostView) Epoch() membership.Epoch           { return v.epoch }
func (v singleHostView) CheckAuthority(time.Time) error    { return nil }
func (v singleHostView) Reachable(host.ID) bool            { return true }
func (v singleHostView) EpochKnownByMajority(uint64) bool  { return true }
func (v singleHostView) KeyedRequestsAllowed(string) error { return nil }
func (v singleHostView) Current() *config.Snapshot         { return singleHostSnapshot }

var singleHostSnapshot = config.NewSnapshot(1, []rules.Rule{
	&rules.Zone{Name: "za", Share: 1}, &rules.Workspace{Name: "ws", Rate: maxTokens, Burst: maxTokens},
})

// BenchmarkReserve measures reserving, using and closing on a host whose own bucket covers the request.
func BenchmarkReserve(b *testing.B) {
	v := singleHostView{membership.Epoch{Number: 1, Hosts: []host.ID{{Name: "h", Zone: "za", Incarnation: 1}}}}
	s := New(Options{Viewer: v, Spread: v, Config: v})
	s.sync(time.Now())
	s.node.workspace("ws").bucket = NewBucket(time.Now().Add(-time.Hour), s.node.share("ws"))
	for b.Loop() {
		r, err := s.Reserve(b.Context(), "ws", 1)
		if err != nil {
			// The division becomes active only after the term of older grants.
			s.node.divisions.Advance(time.Now().Add(time.Minute))
			continue
		}
		r.Use(1)
		r.Close()
	}
}
