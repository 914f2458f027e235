package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// stream reads the response of one decode call. Next must be called by one goroutine only; Close may be called by
// another.
type stream struct {
	server string
	body   io.ReadCloser
	events *sseReader
	cancel context.CancelFunc
	close  sync.Once
	offset int64
	done   bool
}

func newStream(server string, body io.ReadCloser, cancel context.CancelFunc, offset int64) *stream {
	return &stream{server: server, body: body, events: newSSEReader(body), cancel: cancel, offset: offset}
}

// chunkJSON holds the fields of an OpenAI stream event that are needed for a Chunk.
type chunkJSON struct {
	Choices []struct {
		Text         string                     `json:"text"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason string                     `json:"finish_reason"`
	} `json:"choices"`
}

// DeltaOutput returns the text of a chat delta and whether the delta holds any output: text, reasoning, or a part of a
// tool call.
func DeltaOutput(delta map[string]json.RawMessage) (text string, hasOutput bool) {
	_ = json.Unmarshal(delta["content"], &text)
	for name, v := range delta {
		empty := bytes.Equal(v, []byte("null")) || bytes.Equal(v, []byte(`""`)) || bytes.Equal(v, []byte("[]"))
		hasOutput = hasOutput || (name != "role" && !empty)
	}
	return text, hasOutput
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	e, err := s.events.next()
	if errors.Is(err, io.EOF) {
		err = errIncomplete
	}
	if err != nil {
		return engine.Chunk{}, s.lostError(err)
	}
	if bytes.Equal(e.data, []byte("[DONE]")) {
		s.done = true
		return engine.Chunk{}, io.EOF
	}
	if e.name == "error" {
		return engine.Chunk{}, s.lostError(&StreamEventError{Data: string(e.data)})
	}
	return s.chunk(e)
}

func (s *stream) chunk(e sseEvent) (engine.Chunk, error) {
	var in chunkJSON
	if err := json.Unmarshal(e.data, &in); err != nil {
		return engine.Chunk{}, s.lostError(err)
	}
	ch := engine.Chunk{Offset: s.offset, Data: e.data}
	hasOutput := false
	if len(in.Choices) > 0 {
		choice := in.Choices[0]
		ch.Text, hasOutput = DeltaOutput(choice.Delta)
		ch.Text += choice.Text
		ch.FinishReason = choice.FinishReason
	}
	switch {
	case e.id != "":
		after, err := strconv.ParseInt(e.id, 10, 64)
		if err == nil && after < s.offset {
			err = errEventOrder
		}
		if err != nil {
			return engine.Chunk{}, s.lostError(err)
		}
		ch.Tokens = after - s.offset
	case hasOutput || ch.Text != "":
		// Engines without event ids send about one token per event; the usage in their last event has the exact count.
		ch.Tokens = 1
	}
	s.offset += ch.Tokens
	return ch, nil
}

func (s *stream) lostError(cause error) error {
	return &engine.StreamLostError{Server: s.server, Offset: s.offset, Cause: cause}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.close.Do(func() {
		if s.done {
			closeBody(s.body)
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
