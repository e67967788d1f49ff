package rpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// EndpointError is an error that an engine reported in a stream.
type EndpointError struct {
	Body string
}

func (e EndpointError) Error() string {
	return fmt.Sprintf("the engine reported an error in the stream: %s", e.Body)
}

// streamRelay relays one attempt of a streamed response.
type streamRelay struct {
	state   *StreamState
	out     *relayer
	resumed bool
	tokens  int
	buf     []byte
}

// relayStream relays events until [DONE]. A stream that ends without [DONE] is
// broken.
func (c *Client) relayStream(ctx context.Context, a Attempt, body io.Reader, out *relayer) Result {
	s := &streamRelay{state: a.Stream, out: out, resumed: a.Stream.started}
	err := s.relayEvents(newEventReader(body, c.limits.LineBytes))
	result := s.result(ctx, err)
	result.TokensRelayed = s.tokens
	result.CallerGone = out.callerGone
	result.AnswerStarted = a.Stream.started && a.Stream.Choices > 1
	return result
}

func (s *streamRelay) result(ctx context.Context, err error) Result {
	var reported EndpointError
	switch {
	case err == nil:
		return Result{Reason: rpcore.AttemptComplete, Verdict: rpverdict.Ran, Outcome: s.out.outcome}
	case errors.Is(err, errCallerGone):
		return newFailure(rpcore.AttemptCanceled, rpverdict.MayHaveRun, err.Error())
	case errors.As(err, &reported):
		return newFailure(rpcore.AttemptFailed, rpverdict.MayHaveRun, err.Error())
	case errors.Is(err, io.EOF):
		return bodyFailure(ctx, errors.New("the stream ended without [DONE]"))
	}
	return bodyFailure(ctx, err)
}

func (s *streamRelay) relayEvents(events *eventReader) error {
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		if bytes.Equal(ev.data, doneMarker) {
			return s.sendDone()
		}
		if ev.name == "error" {
			return EndpointError{Body: string(ev.data)}
		}
		if err := s.relayChunk(ev.data); err != nil {
			return err
		}
	}
}

func (s *streamRelay) relayChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("invalid chunk from the engine: %w", err)
	}
	kind, finishes := c.kind()
	if kind == chunkError {
		return EndpointError{Body: string(data)}
	}
	if !s.state.shouldRelay(kind, s.resumed, s.tokens == 0) {
		return nil
	}
	data, err := s.state.replaceID(data, &c)
	if err != nil {
		return err
	}
	if err := s.sendEvent(data); err != nil {
		return err
	}
	s.state.recordRelayed(&c, kind, finishes)
	if kind == chunkToken && !s.out.callerGone {
		s.tokens++
	}
	return nil
}

func (s *streamRelay) sendDone() error {
	return s.sendEvent(doneMarker)
}

func (s *streamRelay) sendEvent(data []byte) error {
	if !s.out.bodyStarted {
		if err := s.out.sendHeader(http.StatusOK, streamHeader()); err != nil {
			return err
		}
	}
	s.buf = appendEvent(s.buf[:0], data)
	return s.out.write(s.buf)
}

func streamHeader() http.Header {
	return http.Header{"Content-Type": {typeEventStream}, "Cache-Control": {"no-cache"}}
}
