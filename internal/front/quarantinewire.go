package front

import (
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/quarantine"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

func encodeEvidence(e quarantine.Evidence) *peerv1.CrashEvidence {
	out := &peerv1.CrashEvidence{Survived: partsToWire(e.Survived)}
	for _, c := range e.Crashes {
		crash := &peerv1.EngineCrash{Server: c.Server}
		for _, run := range c.Runs {
			crash.Runs = append(crash.Runs, &peerv1.PromptParts{Parts: partsToWire(run)})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, entry := range e.Entries {
		out.Quarantined = append(out.Quarantined, &peerv1.QuarantinedParts{Parts: partsToWire(entry.Parts), UntilUnix: entry.UntilUnix})
	}
	return out
}

func decodeEvidence(e *peerv1.CrashEvidence) quarantine.Evidence {
	out := quarantine.Evidence{Survived: partsFromWire(e.Survived)}
	for _, c := range e.Crashes {
		crash := quarantine.Crash{Server: c.Server}
		for _, run := range c.Runs {
			crash.Runs = append(crash.Runs, partsFromWire(run.Parts))
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, q := range e.Quarantined {
		out.Entries = append(out.Entries, quarantine.Entry{Parts: partsFromWire(q.Parts), UntilUnix: q.UntilUnix})
	}
	return out
}

func partsToWire(parts []fleet.PromptPart) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

func partsFromWire(parts []uint64) []fleet.PromptPart {
	out := make([]fleet.PromptPart, len(parts))
	for i, p := range parts {
		out[i] = fleet.PromptPart(p)
	}
	return out
}
