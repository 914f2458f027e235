package rules

import (
	"slices"
	"strings"
)

// Format returns the file's text. Lines that were not edited are returned byte for byte.
func (f *File) Format() []byte {
	size := 0
	for _, l := range f.lines {
		size += len(l.raw)
	}
	out := make([]byte, 0, size)
	for _, l := range f.lines {
		out = append(out, l.raw...)
	}
	return out
}

// FormatRule returns a rule in canonical form: attributes in the order of docs/rules.md, defaults omitted, then the
// comment. It returns a *FileError if the result is not a valid rule, for example because no person is named.
func FormatRule(r Rule) (string, error) {
	k, o := kindOf(r), r.Source()
	var b strings.Builder
	b.WriteString(k.keyword + " " + k.subject.get(r))
	for _, a := range k.attrs {
		if v := a.get(r); v != "" {
			b.WriteString(" " + a.name + "=" + v)
		}
	}
	b.WriteString(" # " + o.Who + ": " + o.Why)
	text := b.String()
	// A line break or a # inside a value would change the meaning of the text, so the result is parsed to verify it.
	back, faults := parse("rule", text)
	if len(faults) > 0 {
		return "", newFileError(faults)
	}
	if len(back.lines) != 1 || back.lines[0].rule == nil || back.lines[0].rule.ID() != r.ID() {
		return "", newFileError([]Fault{&SyntaxError{
			Position: Position{File: "rule", Line: 1, Column: 1}, Expected: "one rule in one line", Found: text,
		}})
	}
	return text, nil
}

// Append inserts a rule in canonical form after the last rule of the same kind, or at the end. The text of the lines
// after it does not change, but their rules get new line numbers.
func (f *File) Append(r Rule) error {
	text, err := FormatRule(r)
	if err != nil {
		return err
	}
	k, at := kindOf(r), len(f.lines)
	for i, l := range f.lines {
		if l.rule != nil && kindOf(l.rule) == k {
			at = i + 1
		}
	}
	if at > 0 && !strings.HasSuffix(f.lines[at-1].raw, "\n") {
		f.lines[at-1].raw += "\n"
	}
	f.lines = slices.Insert(f.lines, at, line{raw: text + "\n", rule: r})
	f.renumber(at)
	return nil
}

// Remove deletes the line of the rule with the given ID and reports whether there was one. The rules after it get new
// line numbers.
func (f *File) Remove(id string) bool {
	for i, l := range f.lines {
		if l.rule != nil && l.rule.ID() == id {
			f.lines = slices.Delete(f.lines, i, i+1)
			f.renumber(i)
			return true
		}
	}
	return false
}

func (f *File) renumber(from int) {
	for i := from; i < len(f.lines); i++ {
		if r := f.lines[i].rule; r != nil {
			f.lines[i].rule = WithLine(r, i+1)
		}
	}
}

// WithLine returns a copy of the rule with another line number.
func WithLine(r Rule, number int) Rule {
	switch r := r.(type) {
	case *Zone:
		c := *r
		c.Line = number
		return &c
	case *Workspace:
		c := *r
		c.Line = number
		return &c
	case *Key:
		c := *r
		c.Line = number
		return &c
	case *Server:
		c := *r
		c.Line = number
		return &c
	case *Route:
		c := *r
		c.Line = number
		return &c
	case *Evacuation:
		c := *r
		c.Line = number
		return &c
	}
	return r
}
