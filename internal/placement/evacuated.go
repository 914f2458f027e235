package placement

import (
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// evacuated reports whether requests of the model cannot be placed because all servers of one of their stages are in
// evacuated zones. Requests with a fixed prefill server need only a decode server.
func (s *Service) evacuated(snap *config.Snapshot, model string, fixed *rules.Server) bool {
	snap = s.installed(snap)
	engines := snap.Engines(model)
	decodes, noDecode := remaining(snap, engines, StageDecode)
	if fixed != nil {
		return decodes && noDecode
	}
	prefills, noPrefill := remaining(snap, engines, StagePrefill)
	return prefills && decodes && (noPrefill || noDecode)
}

// poolEvacuated reports whether all services of a pool are in evacuated zones.
func poolEvacuated(snap *config.Snapshot, pool string) bool {
	known, none := remaining(snap, snap.Pool(pool), StageService)
	return known && none
}

// remaining reports whether there are servers that run the stage, and whether none of them is left outside evacuated
// zones. Servers that an operator takes out by state=leaving in other zones count as gone.
func remaining(snap *config.Snapshot, servers []*rules.Server, stage Stage) (known, none bool) {
	none = true
	for _, s := range servers {
		evacuated := snap.Evacuated(s.Zone)
		if !runsStage(s.Role, stage) || s.State == rules.ServerLeaving && !evacuated {
			continue
		}
		known = true
		none = none && evacuated
	}
	return known, none
}
