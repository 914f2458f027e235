package request

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// statusClientClosed is the non-standard status 499 (client closed request), for callers that have disconnected.
const statusClientClosed = 499

// identity is an API key with its workspace.
type identity struct {
	key       *rules.Key
	workspace *rules.Workspace
}

// identify returns the request's key with its workspace. It refuses the request if the configuration was last confirmed
// too long ago, since the key may have been withdrawn since then.
func (r *Router) identify(snap *config.Snapshot, in *Input) (identity, *outcome.Error) {
	if in.Key == "" {
		return identity{}, outcome.Refuse(http.StatusUnauthorized, outcome.CodeMissingKey, "a key is required: send Authorization: Bearer")
	}
	key := snap.Key(rules.HashKey(in.Key))
	if key == nil {
		return identity{}, outcome.Refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "the key is not valid")
	}
	workspace := snap.Workspace(key.Workspace)
	if workspace == nil {
		return identity{}, outcome.Refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "the key's workspace does not exist")
	}
	if err := r.Config.KeyedRequestsAllowed(workspace.Name); err != nil {
		e := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeConfigUnconfirmed,
			"this host cannot confirm that the key is still valid")
		e.Cause, e.RetryAfter = err, retryUnconfirmed
		return identity{}, e
	}
	return identity{key, workspace}, nil
}

// resolve finds the route of the request and, unless the route is open, authenticates the caller.
func (x *run) resolve() error {
	model := ""
	if x.body != nil {
		model = x.body.model
	}
	x.route = x.snap.Route(x.in.URL.Path, model)
	if x.route == nil {
		if x.body == nil || !x.snap.KnownPath(x.in.URL.Path) {
			return unknownPath(x.in)
		}
		return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownModel, "no route serves this model")
	}
	if x.route.Model != "" && x.body == nil {
		return unknownPath(x.in)
	}
	if x.route.Open {
		return nil
	}
	who, err := x.identify(x.snap, x.in)
	if err != nil {
		return err
	}
	x.key, x.workspace = who.key, who.workspace
	return nil
}

// recheck validates the key against the current configuration before the first call, since the configuration may have
// changed while the request was queued.
func (x *run) recheck() error {
	snap := x.Config.Current()
	if x.key == nil {
		x.snap = snap
		return nil
	}
	if snap.Key(x.key.Hash) == nil || snap.Workspace(x.workspace.Name) == nil {
		return keyWithdrawn()
	}
	if _, err := x.identify(snap, x.in); err != nil {
		return err
	}
	x.snap = snap
	return nil
}

// rejectExposedKey refuses requests that contain the caller's key in a part that is forwarded to backend servers: the
// URL, the body or the idempotency key. Other headers that contain it are removed.
func (x *run) rejectExposedKey() error {
	if x.in.Key == "" {
		return nil
	}
	u := x.in.URL
	query, err := url.QueryUnescape(u.RawQuery)
	if err != nil {
		return malformed("the query is not well formed", err)
	}
	where := ""
	switch {
	case strings.Contains(u.Path, x.in.Key), strings.Contains(query, x.in.Key), strings.Contains(u.RawQuery, x.in.Key):
		where = "URL"
	case containsKey(x.in.Body, x.in.Key):
		where = "body"
	case strings.Contains(x.in.IdempotencyKey, x.in.Key):
		where = "Idempotency-Key header"
	}
	if where != "" {
		return malformed("the "+where+" contains the caller's key", nil)
	}
	for name, values := range x.in.Header {
		for _, v := range values {
			if strings.Contains(v, x.in.Key) {
				x.in.Header.Del(name)
				break
			}
		}
	}
	return nil
}

// containsKey reports whether the key occurs in the raw body or in the decoded strings of a JSON or form body.
func containsKey(body []byte, key string) bool {
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	if bytes.IndexByte(body, '%') >= 0 || bytes.IndexByte(body, '+') >= 0 {
		if form, err := url.QueryUnescape(string(body)); err == nil && strings.Contains(form, key) {
			return true
		}
	}
	if bytes.IndexByte(body, '\\') < 0 {
		return false
	}
	d := json.NewDecoder(bytes.NewReader(body))
	for {
		token, err := d.Token()
		if err != nil {
			return !errors.Is(err, io.EOF) && strings.Contains(unescaped(body), key)
		}
		if s, ok := token.(string); ok && strings.Contains(s, key) {
			return true
		}
	}
}

// unescaped decodes the escapes of a body that is not valid JSON as if it were one string, so that an escaped key in it
// is found.
func unescaped(body []byte) string {
	quoted := `"` + strings.NewReplacer(`"`, " ", "\n", " ", "\r", " ", "\t", " ").Replace(string(body)) + `"`
	var s string
	_ = json.Unmarshal([]byte(quoted), &s)
	return s
}
