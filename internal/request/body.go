package request

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// body is the validated body of a completion request.
type body struct {
	model, prompt        string
	chat, stream         bool
	includeUsage         bool
	maxOutput, estimated int64
	fields               map[string]json.RawMessage
}

// routerFields are the request fields that control engines. Values from the caller are removed; only the router sets
// them.
var routerFields = []string{"kv_transfer_params", "priority", "request_id", "stream_options", "max_completion_tokens"}

// maxOutputLimit is the largest output limit that a caller may set, in tokens. It keeps sums of tokens from
// overflowing.
const maxOutputLimit = 1 << 30

// parse decodes and validates the body of a model request and estimates its prompt tokens.
func (x *run) parse() error {
	b := &body{chat: x.in.URL.Path == pathChat, maxOutput: x.settings.DefaultMaxOutput}
	d := json.NewDecoder(bytes.NewReader(x.in.Body))
	if err := d.Decode(&b.fields); err != nil || b.fields == nil {
		return malformed("the body is not a JSON object", err)
	}
	if d.More() {
		return malformed("the body holds more than one JSON value", nil)
	}
	if err := b.readOptions(); err != nil {
		return err
	}
	if err := b.readPrompt(); err != nil {
		return err
	}
	extra := len(b.fields["tools"]) + len(b.fields["functions"]) + len(b.fields["response_format"])
	per := x.settings.BytesPerToken
	b.estimated = int64((len(b.prompt) + extra + per - 1) / per)
	for _, name := range routerFields {
		delete(b.fields, name)
	}
	x.body = b
	return nil
}

func (b *body) readOptions() error {
	if err := b.read("model", &b.model); err != nil || b.model == "" {
		return malformed("model must be a string", err)
	}
	if err := b.read("stream", &b.stream); err != nil {
		return malformed("stream must be a boolean", err)
	}
	for _, name := range []string{"n", "best_of"} {
		n := 1
		if err := b.read(name, &n); err != nil || n != 1 {
			return malformed(name+" must be 1", err)
		}
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := b.read(name, &b.maxOutput); err != nil || b.maxOutput < 1 || b.maxOutput > maxOutputLimit {
			return malformed(name+" must be a positive integer", err)
		}
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if err := b.read("stream_options", &options); err != nil {
		return malformed("stream_options must be an object", err)
	}
	b.includeUsage = options.IncludeUsage
	return nil
}

// read decodes a field. An absent or null field leaves the target unchanged.
func (b *body) read(name string, into any) error {
	raw, ok := b.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func (b *body) readPrompt() error {
	if !b.chat {
		raw := b.fields["prompt"]
		if json.Unmarshal(raw, &b.prompt) == nil && b.prompt != "" {
			return nil
		}
		var one []string
		if err := json.Unmarshal(raw, &one); err != nil || len(one) != 1 || one[0] == "" {
			return malformed("prompt must be a string or an array of one string", err)
		}
		b.prompt = one[0]
		return nil
	}
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(b.fields["messages"], &messages); err != nil || len(messages) == 0 {
		return malformed("messages must be a non-empty array of messages", err)
	}
	var text strings.Builder
	for _, m := range messages {
		if m.Role == "" {
			return malformed("each message must have a role", nil)
		}
		if err := writeContent(&text, m.Content); err != nil {
			return malformed("message content must be a string or an array of parts", err)
		}
	}
	b.prompt = text.String()
	return nil
}

// writeContent appends the text of a message. The content is a string, null, or an array of parts; parts without text
// are skipped.
func writeContent(text *strings.Builder, raw json.RawMessage) error {
	var s string
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		text.WriteString(s)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		text.WriteString(p.Text)
	}
	return nil
}

// call builds the engine call of an attempt. The output is limited to maxOutput tokens and continues after the text
// in sent.
func (x *run) call(a engine.Attempt, maxOutput int64, sent string) engine.Call {
	x.body.fields["max_tokens"], _ = json.Marshal(maxOutput)
	data, _ := json.Marshal(x.body.fields)
	return engine.Call{
		Attempt: a, Path: x.in.URL.Path, Body: data, Stream: x.body.stream, Continue: sent,
	}
}
