package rpoperator

import (
	"context"
	"sync"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// maxSubmissions bounds the submissions that wait for their answer.
const maxSubmissions = 64

// submissions matches answers of the reducer with requests that wait. Its
// zero value is empty.
type submissions struct {
	mu      sync.Mutex
	waiting map[string]chan rpcore.AnswerSubmission
}

// register returns the channel for the answer of a submission; ok is false
// where too many wait.
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

// deliver hands over an answer. Answers that nobody waits for are dropped.
func (s *submissions) deliver(answer rpcore.AnswerSubmission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch, ok := s.waiting[answer.Submission]; ok {
		delete(s.waiting, answer.Submission)
		ch <- answer
	}
}

// waitForAnswer returns the answer, or SubmissionUnknown when it does not come in
// time: the document may then still be accepted.
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
		// The answer came together with the end of the wait.
		return a
	default:
	}
	return rpcore.AnswerSubmission{Result: rpcore.SubmissionUnknown}
}
