package request

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
)

// responseID returns the id of the response object, which is the same for all attempts.
func (g *generation) responseID() string {
	if g.body.chat {
		return "chatcmpl-" + g.in.ID
	}
	return "cmpl-" + g.in.ID
}

// rewriteEvent replaces the id, model and creation time of an engine's event, so that all events of a response agree
// whichever engine sent them. It removes the engine's usage.
func (g *generation) rewriteEvent(data []byte) ([]byte, error) {
	var event map[string]json.RawMessage
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, err
	}
	g.setResponseFields(event)
	delete(event, "usage")
	return json.Marshal(event)
}

func (g *generation) setResponseFields(event map[string]json.RawMessage) {
	event["id"], _ = json.Marshal(g.responseID())
	event["model"], _ = json.Marshal(g.body.model)
	event["created"], _ = json.Marshal(g.in.Arrived.Unix())
}

func (g *generation) usage() openai.Usage {
	u := openai.Usage{PromptTokens: g.progress.prompt, CompletionTokens: g.progress.output, TotalTokens: g.progress.prompt + g.progress.output}
	if g.progress.cached > 0 {
		u.PromptTokensDetails = &openai.PromptTokensDetails{CachedTokens: g.progress.cached}
	}
	return u
}

// usageEvent returns the last event of a stream whose caller requested usage.
func (g *generation) usageEvent() []byte {
	event := map[string]json.RawMessage{"choices": json.RawMessage("[]")}
	event["object"], _ = json.Marshal(g.object(true))
	event["usage"], _ = json.Marshal(g.usage())
	g.setResponseFields(event)
	data, _ := json.Marshal(event)
	return data
}

// finishEvent returns the final event of a response whose engine was lost after the last token and before the finish
// reason.
func (g *generation) finishEvent() []byte {
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	if g.body.chat {
		choice["delta"] = map[string]any{}
	} else {
		choice["text"] = ""
	}
	data, _ := json.Marshal(map[string]any{"object": g.object(true), "choices": []any{choice}})
	return data
}

func (g *generation) object(chunk bool) string {
	switch {
	case !g.body.chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

// sendAssembled sends the assembled response to a caller that did not request a stream.
func (g *generation) sendAssembled() error {
	choice := g.assembled.choice
	if choice == nil {
		choice = map[string]any{"index": 0, "finish_reason": nil}
	}
	if g.body.chat {
		message, _ := choice["delta"].(map[string]any)
		if message == nil {
			message = map[string]any{"content": ""}
		}
		message["role"] = "assistant"
		delete(choice, "delta")
		choice["message"] = message
	} else if choice["text"] == nil {
		choice["text"] = ""
	}
	response := map[string]json.RawMessage{}
	response["object"], _ = json.Marshal(g.object(false))
	response["usage"], _ = json.Marshal(g.usage())
	response["choices"], _ = json.Marshal([]any{choice})
	g.setResponseFields(response)
	data, _ := json.Marshal(response)
	header := http.Header{"Content-Type": {"application/json"}}
	if err := g.sink.Response(http.StatusOK, header, bytes.NewReader(data)); err != nil {
		return g.writeFailure(err)
	}
	return nil
}

// assembly builds a non-streamed response from the chunks of a stream.
type assembly struct {
	choice map[string]any
}

// appendedFields are the string fields whose deltas are concatenated. Other strings are replaced.
var appendedFields = map[string]bool{"text": true, "content": true, "refusal": true, "reasoning_content": true, "arguments": true}

func (a *assembly) add(data []byte) error {
	var event struct {
		Choices []map[string]any `json:"choices"`
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&event); err != nil {
		return &engine.StreamLostError{Cause: err}
	}
	if len(event.Choices) == 0 {
		return nil
	}
	if a.choice == nil {
		a.choice = map[string]any{}
	}
	merge(a.choice, event.Choices[0])
	return nil
}

// merge adds the fields of a delta to the assembled object.
func merge(into, delta map[string]any) {
	for name, v := range delta {
		switch v := v.(type) {
		case nil:
			if _, ok := into[name]; !ok {
				into[name] = nil
			}
		case string:
			old, _ := into[name].(string)
			if appendedFields[name] {
				v = old + v
			}
			into[name] = v
		case map[string]any:
			if old, ok := into[name].(map[string]any); ok {
				merge(old, v)
			} else {
				into[name] = v
			}
		case []any:
			old, _ := into[name].([]any)
			into[name] = mergeList(old, v)
		default:
			into[name] = v
		}
	}
}

// mergeList merges elements with the same index, such as the deltas of one tool call, and appends the others.
func mergeList(into, delta []any) []any {
	for _, v := range delta {
		part, _ := v.(map[string]any)
		merged := false
		for _, o := range into {
			old, _ := o.(map[string]any)
			if part != nil && old != nil && part["index"] != nil && old["index"] == part["index"] {
				merge(old, part)
				merged = true
			}
		}
		if !merged {
			into = append(into, v)
		}
	}
	return into
}
