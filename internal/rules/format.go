package rules

import (
	"slices"
	"strings"
)

// Format gives the file back, byte for byte where it was not edited.
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

// FormatRule writes a rule built by a program in canonical form: attributes in the order of docs/rules.md,
// defaults left out, then the comment. It returns a *FileError when the result would not be a valid rule,
// for example because nobody is named.
func FormatRule(r Rule) (string, error) {
	k, o := kindOf(r), r.Source()
	var b strings.Builder
	b.WriteString(k.word + " " + k.subject.get(r))
	for _, a := range k.attrs {
		if v := a.get(r); v != "" {
			b.WriteString(" " + a.name + "=" + v)
		}
	}
	b.WriteString(" # " + o.Who + ": " + o.Why)
	text := b.String()
	// A line break or a # inside a value would make another rule out of the text, so the result is parsed back.
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

// Append adds a rule in canonical form behind the last rule of the same kind, or at the end. Lines behind it
// keep their bytes.
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

// Remove deletes the line of the rule with the given ID and reports whether there was one.
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

// WithLine returns a copy of the rule on another line.
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
	}
	return r
}
