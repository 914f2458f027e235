package rules

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// MaxLine is the maximum length of a line in bytes, without its terminator. It keeps a chunk of the stored
// configuration well under the platform's limit of 1 MB for one value.
const MaxLine = 8192

// File is a parsed rules file. It retains every byte, so that Format reproduces the file unchanged.
type File struct {
	Name  string
	lines []line
}

type line struct {
	// raw includes the line terminator.
	raw string
	// rule is nil for blank lines and lines with only a comment.
	rule Rule
}

// Rules returns the file's rules in file order.
func (f *File) Rules() []Rule {
	rules := make([]Rule, 0, len(f.lines))
	for _, l := range f.lines {
		if l.rule != nil {
			rules = append(rules, l.rule)
		}
	}
	return rules
}

// Lines returns the number of lines.
func (f *File) Lines() int { return len(f.lines) }

// ParseAndCheck parses a file and checks its rules against each other, as Check does. The error is a *FileError with
// every fault of the file.
func ParseAndCheck(name string, data []byte) (*File, error) {
	f, faults := parse(name, string(data))
	faults = append(faults, check(name, f.Rules())...)
	if len(faults) > 0 {
		return nil, newFileError(faults)
	}
	return f, nil
}

// Parse parses a file or a part of one without the checks across rules that ParseAndCheck does. The error is a
// *FileError with every fault of the lines.
func Parse(name string, data []byte) (*File, error) {
	f, faults := parse(name, string(data))
	if len(faults) > 0 {
		return nil, newFileError(faults)
	}
	return f, nil
}

func parse(name, data string) (*File, []Fault) {
	f := &File{Name: name, lines: make([]line, 0, strings.Count(data, "\n")+1)}
	var faults []Fault
	for number := 1; data != ""; number++ {
		raw := data
		if end := strings.IndexByte(data, '\n'); end >= 0 {
			raw = data[:end+1]
		}
		data = data[len(raw):]
		p := lineParser{pos: Position{File: name, Line: number, Column: 1}}
		rule := p.parse(strings.TrimSuffix(strings.TrimSuffix(raw, "\n"), "\r"))
		faults = append(faults, p.faults...)
		f.lines = append(f.lines, line{raw: raw, rule: rule})
	}
	return f, faults
}

type lineParser struct {
	pos    Position
	faults []Fault
}

func (p *lineParser) at(offset int) Position {
	pos := p.pos
	pos.Column = offset + 1
	return pos
}

func (p *lineParser) syntax(offset int, expected, found string) {
	p.faults = append(p.faults, &SyntaxError{Position: p.at(offset), Expected: expected, Found: found})
}

// parse returns the line's rule, or nil if the line has none or has faults, which it appends to p.faults.
func (p *lineParser) parse(text string) Rule {
	if len(text) > MaxLine {
		p.syntax(MaxLine, fmt.Sprintf("at most %d bytes in a line", MaxLine), fmt.Sprintf("%d bytes", len(text)))
		return nil
	}
	if i := invalidByte(text); i >= 0 {
		p.syntax(i, "UTF-8 text without control characters", fmt.Sprintf("byte %#02x", text[i]))
		return nil
	}
	body, comment, hasComment := strings.Cut(text, "#")
	start := len(body) - len(strings.TrimLeft(body, " \t"))
	if start == len(body) {
		return nil
	}
	origin := Origin{Line: p.pos.Line, Text: strings.TrimRight(body[start:], " \t"), column: start + 1}
	p.comment(&origin, len(body), comment, hasComment)
	rule := p.rule(origin, fields(body))
	if len(p.faults) > 0 {
		return nil
	}
	return rule
}

func invalidByte(text string) int {
	for i, c := range text {
		if c == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(text[i:]); size == 1 {
				return i
			}
		}
		if c < ' ' && c != '\t' || c == 0x7f {
			return i
		}
	}
	return -1
}

// comment parses a comment of the form "WHO: why". It is required, because charges name the person.
func (p *lineParser) comment(origin *Origin, offset int, comment string, hasComment bool) {
	const expected = "a comment of the form \"# WHO: why\""
	if !hasComment {
		p.syntax(offset, expected, "the end of the line")
		return
	}
	who, why, ok := strings.Cut(comment, ":")
	origin.Who, origin.Why = strings.TrimSpace(who), strings.TrimSpace(why)
	if !ok || origin.Who == "" || origin.Why == "" {
		p.syntax(offset, expected, fmt.Sprintf("%q", "#"+comment))
	}
}

type field struct {
	offset int
	text   string
}

// fields splits at spaces and tabs and returns each field with its offset.
func fields(body string) []field {
	out := make([]field, 0, 12)
	start := -1
	for i := 0; i <= len(body); i++ {
		blank := i == len(body) || body[i] == ' ' || body[i] == '\t'
		switch {
		case blank && start >= 0:
			out = append(out, field{start, body[start:i]})
			start = -1
		case !blank && start < 0:
			start = i
		}
	}
	return out
}

func (p *lineParser) rule(origin Origin, words []field) Rule {
	k := kindByKeyword[words[0].text]
	if k == nil {
		p.syntax(words[0].offset, "one of zone, workspace, key, server, route, evacuate", fmt.Sprintf("%q", words[0].text))
		return nil
	}
	end := words[len(words)-1].offset + len(words[len(words)-1].text)
	if len(words) < 2 || strings.Contains(words[1].text, "=") {
		p.syntax(words[0].offset+len(k.keyword), k.subject.expected+" after "+k.keyword, "none")
		return nil
	}
	rule := k.newRule(origin)
	p.set(k.subject, rule, words[1].offset, words[1].text)
	seen := p.attributes(k, rule, words[2:])
	for i, a := range k.attrs {
		if a.required && seen&(1<<i) == 0 {
			p.syntax(end, a.name+"= with "+a.expected, "none")
		}
	}
	if k.check != nil && len(p.faults) == 0 {
		if attr, expected, found := k.check(rule); expected != "" {
			p.syntax(attributeOffset(words, attr, end), expected, found)
		}
	}
	return rule
}

// attributes sets the rule's attributes and returns which ones the line has, as a bit set over the indexes of k.attrs.
func (p *lineParser) attributes(k *kind, rule Rule, words []field) uint {
	var seen uint
	for _, w := range words {
		name, value, ok := strings.Cut(w.text, "=")
		i := k.find(name)
		switch {
		case !ok:
			p.syntax(w.offset, "NAME=VALUE", fmt.Sprintf("%q", w.text))
		case i < 0:
			p.syntax(w.offset, "an attribute of "+k.keyword+" ("+k.names()+")", fmt.Sprintf("%q", name))
		case seen&(1<<i) != 0:
			p.syntax(w.offset, name+"= once", "it again")
		default:
			seen |= 1 << i
			p.set(k.attrs[i], rule, w.offset+len(name)+1, value)
		}
	}
	return seen
}

func (p *lineParser) set(a attribute, rule Rule, offset int, value string) {
	if !a.set(rule, value) {
		p.faults = append(p.faults, &ValueError{Position: p.at(offset), Attribute: a.name, Expected: a.expected, Found: value})
	}
}

func (k *kind) find(name string) int {
	for i := range k.attrs {
		if k.attrs[i].name == name {
			return i
		}
	}
	return -1
}

func (k *kind) names() string {
	names := make([]string, len(k.attrs))
	for i, a := range k.attrs {
		names[i] = a.name
	}
	return strings.Join(names, ", ")
}

func attributeOffset(words []field, name string, end int) int {
	for _, w := range words {
		if name != "" && strings.HasPrefix(w.text, name+"=") {
			return w.offset
		}
	}
	return end
}
