package engine

import (
	"encoding/json"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"github.com/boragecourse/boragecourse/internal/defaults"
)

// prompt holds the request fields that determine the token counts and the generated text.
type prompt struct {
	text      string
	chat      bool
	model     string
	maxTokens int64
	// tag is a hash of the prompt. Every word of the output starts with it, so that tests detect output for another
	// prompt.
	tag string
	// next is the index of the first word to generate; the words before it are the end of the prompt.
	next int64
}

var trailingWords = regexp.MustCompile(`(?:[a-z]{4}[0-9]+ )+$`)

// parsePrompt parses an OpenAI request. The output for a prompt consists of the words tag0, tag1 and so on. A prompt
// that ends with such words is continued after the last of them, as a model continues its own text.
func parsePrompt(path string, body []byte, continued string) (prompt, error) {
	var in struct {
		Model               string          `json:"model"`
		Prompt              json.RawMessage `json:"prompt"`
		MaxTokens           int64           `json:"max_tokens"`
		MaxCompletionTokens int64           `json:"max_completion_tokens"`
		Messages            []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return prompt{}, &BadRequestError{Cause: err}
	}
	p := prompt{chat: strings.Contains(path, "chat"), model: in.Model, maxTokens: in.MaxCompletionTokens}
	defaults.Set(&p.maxTokens, in.MaxTokens)
	defaults.Set(&p.maxTokens, defaultOutputTokens)
	p.text = textOf(in.Prompt)
	for _, m := range in.Messages {
		p.text += textOf(m.Content)
	}
	p.text += continued
	start := p.text
	if words := trailingWords.FindString(start); words != "" {
		start = strings.TrimSuffix(start, words)
		fields := strings.Fields(words)
		last, _ := strconv.ParseInt(fields[len(fields)-1][promptTagLetters:], 10, 64)
		p.next = last + 1
	}
	p.tag = tagOf(start)
	return p, nil
}

// textOf returns the text of a string, an array of strings or an array of content parts.
func textOf(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var parts []json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		var part struct {
			Text string `json:"text"`
		}
		_ = json.Unmarshal(raw, &part)
		return part.Text
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(textOf(p))
	}
	return b.String()
}

func tagOf(text string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	sum := h.Sum32()
	tag := make([]byte, promptTagLetters)
	for i := range tag {
		tag[i] = 'a' + byte(sum%alphabet)
		sum /= alphabet
	}
	return string(tag)
}

// Answer returns the first n words of the stand-in's answer to a prompt text.
func Answer(promptText string, n int64) string {
	var b strings.Builder
	tag := tagOf(promptText)
	for i := range n {
		b.WriteString(word(tag, i))
	}
	return b.String()
}

func word(tag string, i int64) string { return tag + strconv.FormatInt(i, 10) + " " }

// chunkJSON encodes one event of the OpenAI streaming format. An empty text adds no delta content, except in the
// first event.
func (p prompt) chunkJSON(id, text, finish string, first bool) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	if p.chat {
		object = "chat.completion.chunk"
		delta := map[string]any{}
		if first {
			delta["role"] = "assistant"
		}
		if text != "" || first {
			delta["content"] = text
		}
		choice["delta"] = delta
	} else {
		choice["text"] = text
	}
	return p.eventJSON(id, object, []any{choice}, nil)
}

func (p prompt) usageJSON(id string, prompted, cached, generated int64) []byte {
	object := "text_completion"
	if p.chat {
		object = "chat.completion.chunk"
	}
	return p.eventJSON(id, object, []any{}, usage(prompted, cached, generated))
}

func usage(prompted, cached, generated int64) map[string]any {
	return map[string]any{
		"prompt_tokens": prompted, "completion_tokens": generated, "total_tokens": prompted + generated,
		"prompt_tokens_details": map[string]any{"cached_tokens": cached},
	}
}

func (p prompt) eventJSON(id, object string, choices []any, use map[string]any) []byte {
	event := map[string]any{"id": id, "object": object, "created": 0, "model": p.model, "choices": choices}
	if use != nil {
		event["usage"] = use
	}
	data, _ := json.Marshal(event)
	return data
}
