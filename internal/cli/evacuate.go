package cli

import (
	"slices"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// EvacuateCmd adds or removes the rule that evacuates a zone.
type EvacuateCmd struct {
	Zone string `arg:"" help:"Zone to evacuate."`
	End  bool   `help:"End the evacuation."`
	Who  string `help:"Who asked for the evacuation." env:"USER"`
	Why  string `help:"Why it was asked for." default:"evacuated by the operator"`
}

// Run returns an *evacuationError if the zone is in the requested state already.
func (c *EvacuateCmd) Run(e *Env) error {
	if !c.End && c.Who == "" {
		return &ExitError{Code: ExitUsage, Err: &missingAuthorError{}}
	}
	rule := &rules.Evacuation{Origin: rules.Origin{Who: c.Who, Why: c.Why}, Zone: c.Zone}
	result, err := e.edit(func(f *rules.File) error {
		inForce := slices.ContainsFunc(f.Rules(), func(r rules.Rule) bool { return r.ID() == rule.ID() })
		if inForce != c.End {
			return &evacuationError{Zone: c.Zone, InForce: inForce}
		}
		if c.End {
			f.Remove(rule.ID())
			return nil
		}
		return f.Append(rule)
	})
	if err != nil {
		return err
	}
	return e.reportApply(result)
}
