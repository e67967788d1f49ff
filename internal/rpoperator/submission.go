package rpoperator

import (
	"context"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// maxSubmissions is the maximum number of submissions that wait for an answer.
const maxSubmissions = 64

// submissions matches answers of the reducer with waiting requests. The zero value
// is ready to use.
type submissions struct {
	mu      sync.Mutex
	waiting map[string]chan rpcore.AnswerSubmission
}

// register returns the channel for the answer to a submission. ok is false if too
// many submissions are waiting.
func (s *submissions) register(id string) (answer <-chan rpcore.AnswerSubmission, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) >= maxSubmissions {
		return nil, false
	}
	if s.waiting == nil {
		s.waiting = map[string]chan rpcore.AnswerSubmission{}
	}
	ch := make(chan rpcore.AnswerSubmission, 1)
	s.waiting[id] = ch
	return ch, true
}

func (s *submissions) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// deliver sends an answer to the waiting request, or drops it if there is none.
func (s *submissions) deliver(answer rpcore.AnswerSubmission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch, ok := s.waiting[answer.Submission]; ok {
		delete(s.waiting, answer.Submission)
		ch <- answer
	}
}

// waitForAnswer waits for the answer. After the timeout, or if ctx ends, it returns
// SubmissionUnknown, because the document may still be accepted.
func waitForAnswer(ctx context.Context, answer <-chan rpcore.AnswerSubmission, timeout time.Duration) rpcore.AnswerSubmission {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case a := <-answer:
		// The answer arrived just as the wait ended.
		return a
	default:
	}
	return rpcore.AnswerSubmission{Result: rpcore.SubmissionUnknown}
}
