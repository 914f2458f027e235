package rules

import (
	"fmt"
	"strings"
)

// Position is a place in a rules file.
type Position struct {
	File string
	// Line and Column count from 1; Column counts bytes.
	Line, Column int
}

// String returns file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Pos returns the position itself, so that errors which embed it implement Fault.
func (p Position) Pos() Position { return p }

// Fault is one error in a rules file: *SyntaxError, *ValueError, *DuplicateError, *ReferenceError or
// *UnservedRouteError.
type Fault interface {
	error
	// Pos returns the position of the fault.
	Pos() Position
}

// FileError holds all faults of one file, in file order. No part of a file with faults may be applied.
type FileError struct {
	Faults []Fault
}

// Error implements error with one line per fault.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.As.
func (e *FileError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// SyntaxError reports a line that does not have the form of a rule.
type SyntaxError struct {
	Position
	Expected, Found string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s: expected %s, found %s", e.Position, e.Expected, e.Found)
}

// ValueError reports a name or an attribute with an invalid value.
type ValueError struct {
	Position
	// Attribute is the attribute's name, or the rule's kind for its first argument.
	Attribute       string
	Expected, Found string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s: expected %s, found %q", e.Position, e.Attribute, e.Expected, e.Found)
}

// DuplicateError reports a rule that repeats a name, key, address or route that must be unique in the file.
type DuplicateError struct {
	Position
	// What is the repeated item, for example "workspace inspectors" or "addr 10.0.0.1:80".
	What string
	// FirstLine is the line of the first occurrence; Position is that of the repetition.
	FirstLine int
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s: expected a unique rule, found %s again (first in line %d)", e.Position, e.What, e.FirstLine)
}

// ReferenceError reports a name that no rule declares.
type ReferenceError struct {
	Position
	// Kind is what the name should refer to: "zone", "workspace", "model" or "pool".
	Kind, Name string
}

// Error implements error.
func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: expected the name of a declared %s, found %q", e.Position, e.Kind, e.Name)
}

// UnservedRouteError reports a route whose model or pool has no active servers with the necessary roles.
type UnservedRouteError struct {
	Position
	// Target is the route's model or pool.
	Target string
	// Missing is the kind of server that is missing, for example "an active server that decodes".
	Missing string
}

// Error implements error.
func (e *UnservedRouteError) Error() string {
	return fmt.Sprintf("%s: expected %s for %q, found none", e.Position, e.Missing, e.Target)
}
