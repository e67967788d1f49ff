package rptimeview

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

const codeComplete = string(rpcore.AttemptComplete)

// Step is one entry that concerns a request, with its text.
type Step struct {
	Clock    rptimeline.Clock `json:"clock"`
	Instance string           `json:"instance"`
	Text     string           `json:"text"`
}

// Explanation describes how one request was handled.
type Explanation struct {
	Request string `json:"request"`
	Model   string `json:"model,omitempty"`
	// BaseModel is the base model if Model is an adapter.
	BaseModel string `json:"base_model,omitempty"`
	Steps     []Step `json:"steps"`
	// Ended is true if the time line shows the end of the request.
	Ended bool `json:"ended"`
	// Verdict is empty if it is not known.
	Verdict string   `json:"verdict"`
	Result  string   `json:"result"`
	Remarks []Remark `json:"remarks"`
}

// UnknownRequestError reports that no instance that answered has an entry about
// a request.
type UnknownRequestError struct {
	Request string
}

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("No instance that answered has an entry about request %s. "+
		"The entries may be overwritten, or another instance may have them", e.Request)
}

// Explain explains a request. The view must contain the entries of the request.
// If it also contains the entries of the model and, for an adapter, of the base
// model, the explanation includes the loads that the request waited for.
func Explain(v *View, request, baseModel string) (*Explanation, error) {
	x := &Explanation{Request: request, BaseModel: baseModel, Remarks: append([]Remark{}, v.Remarks...)}
	about, err := entriesAbout(v, request)
	if err != nil {
		return nil, err
	}
	request = about[0].Request
	x.Request = request
	x.Model = about[0].ModelName()
	x.findResult(about)
	begin, end := about[0].Clock, waitEndClock(about)
	for i := range v.Entries {
		e := &v.Entries[i]
		if e.Request == request || x.isAwaitedLoad(e) && e.Clock > begin && e.Clock < end {
			x.Steps = append(x.Steps, Step{e.Clock, e.Instance, x.stepText(e)})
		}
	}
	return x, nil
}

// isAwaitedLoad reports whether an entry is about a load of the model or of its
// base model.
func (x *Explanation) isAwaitedLoad(e *rptimeline.Entry) bool {
	name := e.ModelName()
	load := e.Request == "" && e.Part == rptimeline.PartReplicas && e.Kind != rptimeline.KindNote
	return load && name != "" && (name == x.Model || name == x.BaseModel)
}

func (x *Explanation) stepText(e *rptimeline.Entry) string {
	text := strings.TrimSpace(stepText(e))
	if e.Request == "" && e.ModelName() == x.BaseModel {
		text += " This is the base model of the adapter."
	}
	return text
}

// entriesAbout returns the entries of the request with the given id. It returns
// an error unless exactly one request matches.
func entriesAbout(v *View, request string) ([]rptimeline.Entry, error) {
	var about []rptimeline.Entry
	var ids []string
	for i := range v.Entries {
		e := &v.Entries[i]
		if !rptimeline.MatchesRequest(request, e.Request) {
			continue
		}
		about = append(about, *e)
		if !slices.Contains(ids, e.Request) {
			ids = append(ids, e.Request)
		}
	}
	switch len(ids) {
	case 0:
		return nil, &UnknownRequestError{Request: request}
	case 1:
		return about, nil
	}
	return nil, &SeveralRequestsError{Request: request, IDs: ids}
}

// SeveralRequestsError reports that callers gave several requests the same id.
type SeveralRequestsError struct {
	Request string
	IDs     []string
}

func (e *SeveralRequestsError) Error() string {
	return fmt.Sprintf("Callers sent %d requests with the id %s. Write the whole id of one: %s",
		len(e.IDs), e.Request, strings.Join(e.IDs, ", "))
}

// waitEndClock returns the timestamp of the first attempt, or of the last entry
// if there was no attempt.
func waitEndClock(about []rptimeline.Entry) rptimeline.Clock {
	for i := range about {
		if about[i].Kind == rptimeline.KindAttemptStarted {
			return about[i].Clock
		}
	}
	return about[len(about)-1].Clock
}

// findResult sets the verdict and the result from the entries of the request.
func (x *Explanation) findResult(about []rptimeline.Entry) {
	x.Result = "The time line does not show the end of the request. It may be in progress."
	started, worst := false, rpverdict.NotRun
	for i := range about {
		e := &about[i]
		switch {
		case e.Kind == rptimeline.KindAttemptStarted:
			started = true
		case e.Kind == rptimeline.KindAttemptEnded && e.Code == codeComplete:
			x.setResult(rpverdict.Ran, "The caller got the whole answer.")
		case e.Kind == rptimeline.KindAttemptEnded && e.Verdict != nil:
			worst = max(worst, *e.Verdict)
		case e.Kind == rptimeline.KindOutcomeReplayed:
			x.setResult(rpverdict.Ran, "The caller got the recorded answer of an earlier request with the same idempotency key.")
		case (e.Kind == rptimeline.KindRequestRefused || e.Kind == rptimeline.KindRequestRejected) && e.Verdict != nil:
			x.setResult(*e.Verdict, "The request was refused with the code "+e.Code+".")
		case e.Kind == rptimeline.KindRequestAbandoned:
			if started {
				worst = max(worst, rpverdict.MayHaveRun)
			}
			x.setResult(worst, "The caller left before the end of the answer.")
		}
	}
}

func (x *Explanation) setResult(verdict rpverdict.Verdict, result string) {
	if !x.Ended {
		x.Ended, x.Verdict, x.Result = true, verdict.String(), result
	}
}

// stepText describes an entry in full sentences.
func stepText(e *rptimeline.Entry) string {
	switch e.Kind {
	case rptimeline.KindRequestArrived:
		return arrivedText(e)
	case rptimeline.KindAttemptStarted:
		text := fmt.Sprintf("The instance sent the request to endpoint %s with rank %s. This is attempt %s.", e.Endpoint, e.Code, e.Attempt)
		if e.Count > 0 {
			text += fmt.Sprintf(" The caller already had %d tokens.", e.Count)
		}
		return text
	case rptimeline.KindFirstToken:
		return fmt.Sprintf("Endpoint %s gave the first byte of the answer.", e.Endpoint)
	case rptimeline.KindAttemptEnded:
		return attemptText(e)
	case rptimeline.KindAttemptCanceled:
		return fmt.Sprintf("The instance canceled attempt %s.", e.Attempt)
	case rptimeline.KindRequestRefused:
		return fmt.Sprintf("The instance refused the request. Code: %s. %s", e.Code, e.Text)
	case rptimeline.KindRequestRejected:
		return fmt.Sprintf("The HTTP interface of the instance refused the request before it was queued. Code: %s. %s", e.Code, e.Text)
	case rptimeline.KindOrderSent:
		return fmt.Sprintf("The instance ordered engine %s: %s of %s.", e.Endpoint, strings.ReplaceAll(e.Code, "_", " "), e.ModelName())
	case rptimeline.KindOrderAnswered:
		return fmt.Sprintf("The order to engine %s ended. Result: %s. %s", e.Endpoint, e.Code, e.Text)
	case rptimeline.KindNote:
		return "Note: " + e.Text + "."
	}
	return e.Kind.Info().Sentence
}

func arrivedText(e *rptimeline.Entry) string {
	what := "service " + e.Service
	if e.Model != "" {
		what = "model " + e.ModelName()
	}
	if e.Code == "" {
		return fmt.Sprintf("The request arrived for %s. The caller named no rank.", what)
	}
	return fmt.Sprintf("The request arrived for %s. The caller named rank %s.", what, e.Code)
}

var attemptReasons = map[rpcore.AttemptReason]string{
	rpcore.AttemptComplete:          "The whole answer went to the caller.",
	rpcore.AttemptRefusedConnection: "No connection could be made.",
	rpcore.AttemptNotLoaded:         "The engine said that it does not have the model.",
	rpcore.AttemptBusy:              "The endpoint said that it takes no more work now.",
	rpcore.AttemptLeaving:           "The endpoint said that it is leaving.",
	rpcore.AttemptBroken:            "The connection broke before the answer was whole.",
	rpcore.AttemptFailed:            "The endpoint answered with a server error.",
	rpcore.AttemptCanceled:          "The instance had canceled it.",
	rpcore.AttemptTimedOut:          "The deadline of the attempt passed.",
}

func attemptText(e *rptimeline.Entry) string {
	reason, ok := attemptReasons[rpcore.AttemptReason(e.Code)]
	if !ok {
		reason = "Reason: " + e.Code + "."
	}
	text := fmt.Sprintf("The attempt at endpoint %s ended. %s", e.Endpoint, reason)
	if e.Count > 0 {
		text += fmt.Sprintf(" Tokens of the stream to the caller: %d.", e.Count)
	}
	if e.Verdict != nil {
		text += " Verdict of the attempt: " + e.Verdict.String() + "."
	}
	return text
}

// Text returns the explanation as text.
func (x *Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Request %s\n\n", x.Request)
	var before rptimeline.Clock
	for i, step := range x.Steps {
		wait := ""
		if i > 0 {
			wait = fmt.Sprintf("+%d ms", step.Clock.Milliseconds()-before.Milliseconds())
		}
		before = step.Clock
		fmt.Fprintf(&b, "%s  %9s  %s: %s\n", formatClock(step.Clock), wait, step.Instance, step.Text)
	}
	verdict := x.Verdict
	if verdict == "" {
		verdict = "not known"
	}
	fmt.Fprintf(&b, "\nVerdict: %s. %s\n", verdict, x.Result)
	for _, remark := range x.Remarks {
		fmt.Fprintf(&b, "Missing: %s (%s)\n", remark.Text, remark.Code)
	}
	return b.String()
}
