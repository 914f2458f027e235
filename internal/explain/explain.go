// Package explain finds the log lines that tell the story of one request.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// timeLayout is that of the time field of log lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// before is how far back lines about a request's backend servers and host are of interest.
const before = 5 * time.Second

// Line is one log line.
type Line struct {
	Time   time.Time         `json:"time"`
	Text   string            `json:"text"`
	Fields map[string]string `json:"-"`
}

// NotFoundError reports a request without a log line.
type NotFoundError struct{ ID string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no log line has request=%s", e.ID) }

// Parse reads the key=value pairs of a line. It reports whether the line has a time.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: text[start:], Fields: map[string]string{}}
	rest := l.Text
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		value, rest = cutValue(after)
		l.Fields[strings.TrimSpace(key)] = value
	}
	at, err := time.Parse(timeLayout, l.Fields["time"])
	l.Time = at
	return l, err == nil
}

// cutValue splits a plain or quoted value off the rest of a line.
func cutValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return s[1:i], strings.TrimPrefix(s[i+1:], " ")
		}
	}
	return s[1:], ""
}

// Story returns the lines of a request in order of time, and those that changed what was believed of its backend
// servers, of the store or of the configuration shortly before. Errors are *NotFoundError and those of reading.
func Story(logs io.Reader, id string) ([]Line, error) {
	var own, other []Line
	servers := map[string]bool{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		l, ok := Parse(scanner.Text())
		switch {
		case !ok:
		case l.Fields["request"] == id:
			own = append(own, l)
			for _, field := range []string{"server", "prefill", "from"} {
				if name := serverName(l.Fields[field]); name != "" {
					servers[name] = true
				}
			}
		case l.Fields["request"] == "" || l.Fields["event"] == "backend server paused":
			other = append(other, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	if len(own) == 0 {
		return nil, &NotFoundError{ID: id}
	}
	return merge(own, other, servers), nil
}

// serverName drops the start time that tells lifetimes apart.
func serverName(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

func merge(own, other []Line, servers map[string]bool) []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	first, last := own[0].Time.Add(-before), own[len(own)-1].Time
	story := own
	for _, l := range other {
		if l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		server := serverName(l.Fields["server"])
		if server == "" || servers[server] {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}
