package quota

import (
	"testing"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

type soloView struct{ epoch membership.Epoch }

func (v soloView) Self() host.ID                     { return v.epoch.Hosts[0] }
func (v soloView) Epoch() membership.Epoch           { return v.epoch }
func (v soloView) CanAdmit(time.Time) error          { return nil }
func (v soloView) Reachable(host.ID) bool            { return true }
func (v soloView) EpochKnownByMajority(uint64) bool  { return true }
func (v soloView) KeyedRequestsAllowed(string) error { return nil }
func (v soloView) Current() *config.Snapshot         { return soloSnapshot }

var soloSnapshot = config.NewSnapshot(1, []rules.Rule{
	&rules.Zone{Name: "za", Share: 1}, &rules.Workspace{Name: "ws", Rate: maxTokens, Burst: maxTokens},
})

// BenchmarkReserve measures an admission that the host covers itself, with its end.
func BenchmarkReserve(b *testing.B) {
	v := soloView{membership.Epoch{Number: 1, Hosts: []host.ID{{Name: "h", Zone: "za", Incarnation: 1}}}}
	s := New(Options{Viewer: v, Spread: v, Config: v})
	s.sync(time.Now())
	s.node.workspace("ws").home = NewHome(time.Now().Add(-time.Hour), s.node.share("ws"))
	for b.Loop() {
		r, err := s.Reserve(b.Context(), "ws", 1)
		if err != nil {
			// The division is in force only after the term of older grants.
			s.node.divisions.Advance(time.Now().Add(time.Minute))
			continue
		}
		r.Use(1)
		r.Close()
	}
}
