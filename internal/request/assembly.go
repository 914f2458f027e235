package request

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
)

// answerID is the id of the answer's object, the same over all attempts.
func (g *generation) answerID() string {
	if g.body.chat {
		return "chatcmpl-" + g.in.ID
	}
	return "cmpl-" + g.in.ID
}

// stamp gives an event the id and model of this answer, whichever engine it came from.
func (g *generation) stamp(data []byte) ([]byte, error) {
	var event map[string]json.RawMessage
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, err
	}
	g.stampFields(event)
	delete(event, "usage")
	return json.Marshal(event)
}

func (g *generation) stampFields(event map[string]json.RawMessage) {
	event["id"], _ = json.Marshal(g.answerID())
	event["model"], _ = json.Marshal(g.body.model)
	event["created"], _ = json.Marshal(g.in.Arrived.Unix())
}

func (g *generation) usage() openai.Usage {
	u := openai.Usage{PromptTokens: g.ran.prompt, CompletionTokens: g.ran.output, TotalTokens: g.ran.prompt + g.ran.output}
	if g.ran.cached > 0 {
		u.PromptTokensDetails = &openai.PromptTokensDetails{CachedTokens: g.ran.cached}
	}
	return u
}

// usageEvent is the last event of a stream whose caller asked for usage.
func (g *generation) usageEvent() []byte {
	event := map[string]json.RawMessage{"choices": json.RawMessage("[]")}
	event["object"], _ = json.Marshal(g.object(true))
	event["usage"], _ = json.Marshal(g.usage())
	g.stampFields(event)
	data, _ := json.Marshal(event)
	return data
}

// finishEvent ends an answer whose last engine was lost between the last token and the end mark.
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

// sendWhole sends the assembled answer.
func (g *generation) sendWhole() error {
	choice := g.whole.choice
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
	answer := map[string]json.RawMessage{}
	answer["object"], _ = json.Marshal(g.object(false))
	answer["usage"], _ = json.Marshal(g.usage())
	answer["choices"], _ = json.Marshal([]any{choice})
	g.stampFields(answer)
	data, _ := json.Marshal(answer)
	header := http.Header{"Content-Type": {"application/json"}}
	if err := g.sink.Answer(http.StatusOK, header, bytes.NewReader(data)); err != nil {
		return g.callerGone(err)
	}
	return nil
}

// assembly builds a whole answer from the chunks of a stream.
type assembly struct {
	choice map[string]any
}

// grown are the string fields whose parts are appended to each other; other fields are replaced.
var grown = map[string]bool{"text": true, "content": true, "refusal": true, "reasoning_content": true, "arguments": true}

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

// merge adds the fields of a delta to the object that is built up.
func merge(into, delta map[string]any) {
	for name, v := range delta {
		switch v := v.(type) {
		case nil:
			if _, ok := into[name]; !ok {
				into[name] = nil
			}
		case string:
			old, _ := into[name].(string)
			if grown[name] {
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

// mergeList merges elements that name the same index, as parts of one tool call do, and appends the others.
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
