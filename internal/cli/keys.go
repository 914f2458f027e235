package cli

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// keyBytes is the number of random bytes in a key: 192 bits.
const keyBytes = 24

// KeysCmd groups the commands that add and remove callers' keys in the rules.
type KeysCmd struct {
	Issue    IssueCmd    `cmd:"" help:"Issue a key and print it once. Example: boragecourse keys issue inspectors --id=k2 --who=ana --why='second office'"`
	Withdraw WithdrawCmd `cmd:"" help:"Withdraw a key. Example: boragecourse keys withdraw inspectors k2"`
}

// IssueCmd generates a key, adds its hash to the rules and prints the key once.
type IssueCmd struct {
	Workspace string `arg:"" help:"Workspace that the key is for."`
	ID        string `help:"Name of the key in charges and logs." required:""`
	Who       string `help:"Who asked for the key." required:""`
	Why       string `help:"Why it was asked for." required:""`
}

// issuedKey is the result of IssueCmd. Only the hash of the key is stored.
type issuedKey struct {
	Workspace string                  `json:"workspace"`
	ID        string                  `json:"id"`
	Key       string                  `json:"key"`
	Apply     operatorapi.ApplyResult `json:"apply"`
}

// Run prints the key even if its rule is not known to be active, since only the hash of the key is stored and the key
// cannot be printed later.
func (c *IssueCmd) Run(e *Env) error {
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	key := "bc-" + base64.RawURLEncoding.EncodeToString(secret)
	rule := &rules.Key{
		Origin:    rules.Origin{Who: c.Who, Why: c.Why},
		Workspace: c.Workspace, KeyID: c.ID, Hash: rules.HashKey(key),
	}
	result, err := e.edit(func(f *rules.File) error { return f.Append(rule) })
	if err != nil {
		return err
	}
	issued := issuedKey{Workspace: c.Workspace, ID: c.ID, Key: key, Apply: result}
	if err := e.print(issued, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key %s for workspace %s: %s\n", c.ID, c.Workspace, key)
	}); err != nil {
		return err
	}
	return e.editOutcome(result)
}

// WithdrawCmd removes a key from the rules.
type WithdrawCmd struct {
	Workspace string `arg:"" help:"Workspace of the key."`
	ID        string `arg:"" help:"Name of the key."`
}

// Run returns a *noSuchKeyError if the rules do not contain the key.
func (c *WithdrawCmd) Run(e *Env) error {
	key := &rules.Key{Workspace: c.Workspace, KeyID: c.ID}
	result, err := e.edit(func(f *rules.File) error {
		if !f.Remove(key.ID()) {
			return &noSuchKeyError{Workspace: c.Workspace, ID: c.ID}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return e.reportApply(result)
}

// edit changes the installed rules file and applies it. When another change is accepted first, edit makes its change
// again in the new file, since adding or removing one key does not conflict with other changes. It tries at most
// maxRaces times.
func (e *Env) edit(change func(*rules.File) error) (operatorapi.ApplyResult, error) {
	var raceErr error
	for range maxRaces {
		base, err := e.fetchInstalled()
		if err != nil {
			return operatorapi.ApplyResult{}, err
		}
		if err := change(base.parsed); err != nil {
			return operatorapi.ApplyResult{}, err
		}
		request := operatorapi.ApplyRequest{BaseGeneration: base.Generation, Text: string(base.parsed.Format())}
		result, err := e.Client.Apply(e.Context, request)
		var api *operatorapi.Error
		if errors.As(err, &api) && api.Code == operatorapi.CodeRace {
			raceErr = err
			continue
		}
		return result, err
	}
	return operatorapi.ApplyResult{}, raceErr
}

// editOutcome returns the error of a command whose change is not known to be active. The result is already printed.
func (e *Env) editOutcome(r operatorapi.ApplyResult) error {
	switch r.Status {
	case operatorapi.StatusUnknown:
		return &ExitError{Code: ExitUnknown, Err: &unknownApplyError{}}
	case operatorapi.StatusStored:
		return &ExitError{Code: ExitNotActive, Err: &notActiveError{Generation: r.Generation}}
	}
	return nil
}
