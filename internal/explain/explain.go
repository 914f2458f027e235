// Package explain extracts the log lines that are relevant to one request from the logs of the hosts.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// timeLayout is the layout of the time field in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// leadTime is the time before a request's first line from which other lines are included: lines about its backend
// servers and lines about no particular backend server.
const leadTime = 5 * time.Second

// Line is one parsed log line. Text starts at the time field.
type Line struct {
	Time   time.Time         `json:"time"`
	Text   string            `json:"text"`
	Fields map[string]string `json:"-"`
}

// NotFoundError reports that the logs have no line of the request.
type NotFoundError struct{ ID string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no log line found with request=%s", e.ID) }

// Parse parses the key=value pairs of a line. Text before the time field, such as a prefix added by a log collector, is
// dropped. It reports false if the line has no valid time.
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

// cutValue returns the plain or quoted value at the start of s, and the text after it. Escape sequences in a quoted
// value are not decoded.
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

// RequestLines returns the lines of a request, and those other lines between leadTime before its first line and its
// last line that concern its backend servers or no particular backend server. They are sorted by time. Errors are
// *NotFoundError and errors from reading the logs.
func RequestLines(logs io.Reader, id string) ([]Line, error) {
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

// serverName returns the id of a backend server from a log field, which holds either the id alone or id/start-time.
func serverName(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}

// merge adds to the request's own lines those lines of other that concern its backend servers or no particular backend
// server, and sorts all of them by time.
func merge(own, other []Line, servers map[string]bool) []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	first, last := own[0].Time.Add(-leadTime), own[len(own)-1].Time
	lines := own
	for _, l := range other {
		if l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		server := serverName(l.Fields["server"])
		if server == "" || servers[server] {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines
}
