package rptimeview

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
)

// Format is an output format of a view.
type Format string

// The output formats.
const (
	FormatText   Format = "text"
	FormatJSON   Format = "json"
	FormatChrome Format = "chrome"
	FormatHTML   Format = "html"
)

// Formats lists all formats.
var Formats = []Format{FormatText, FormatJSON, FormatChrome, FormatHTML}

const timeLayout = "2006-01-02T15:04:05.000Z"

// Write writes the view in a format. Unknown formats are written as text.
func (v *View) Write(w io.Writer, format Format) error {
	buffered := bufio.NewWriter(w)
	var err error
	switch format {
	case FormatJSON:
		err = v.writeJSON(buffered)
	case FormatChrome:
		err = v.writeChrome(buffered)
	case FormatHTML:
		err = v.writeHTML(buffered)
	default:
		v.writeText(buffered)
	}
	if err != nil {
		return err
	}
	return buffered.Flush()
}

func (v *View) writeText(w io.Writer) {
	width := 8
	for _, head := range v.Heads {
		width = max(width, len(head.Instance))
	}
	v.eachLine(func(remark *Remark, entry *rptimeline.Entry) {
		switch {
		case entry != nil:
			_, _ = fmt.Fprintf(w, "%s  %-*s  %-9s  %s\n", formatClock(entry.Clock), width, entry.Instance, entry.Part, Sentence(entry))
		case remark.Clock > 0:
			_, _ = fmt.Fprintf(w, "%s  %-*s  %-9s  %s (%s)\n", formatClock(remark.Clock), width, remark.Instance, "-- gap --", remark.Text, remark.Code)
		default:
			_, _ = fmt.Fprintf(w, "Missing: %s (%s)\n", remark.Text, remark.Code)
		}
	})
	_, _ = fmt.Fprintf(w, "Entries: %d. Instances that answered: %d of %d addresses.\n", len(v.Entries), len(v.Heads), v.addressCount)
}

func formatClock(c rptimeline.Clock) string { return formatTime(c.Time()) }

func formatTime(t time.Time) string { return t.UTC().Format(timeLayout) }

// Sentence returns the text of an entry: the sentence of its kind, followed by
// the fields that are set.
func Sentence(e *rptimeline.Entry) string {
	var b strings.Builder
	if e.Kind == rptimeline.KindNote {
		b.WriteString("Note: " + e.Text + ".")
	} else {
		b.WriteString(e.Kind.Info().Sentence)
	}
	field := func(name, value string) {
		if value != "" {
			b.WriteString(" " + name + "=" + value)
		}
	}
	field("code", e.Code)
	field("request", e.Request)
	field("attempt", e.Attempt)
	if e.Model != "" {
		field("model", e.ModelName())
	} else {
		field("service", e.Service)
	}
	field("endpoint", e.Endpoint)
	field("order", e.Order)
	field("peer", e.Peer)
	if e.Verdict != nil {
		field("verdict", e.Verdict.String())
	}
	if e.Count > 0 {
		field(countName(e.Kind), strconv.FormatUint(e.Count, 10))
	}
	if e.Text != "" && e.Kind != rptimeline.KindNote {
		field("text", strconv.Quote(e.Text))
	}
	return b.String()
}

// countName returns the name under which Count is shown.
func countName(kind rptimeline.Kind) string {
	switch kind {
	case rptimeline.KindAttemptStarted:
		return "resume_after_tokens"
	case rptimeline.KindAttemptEnded:
		return "tokens"
	case rptimeline.KindOrderSent:
		return "fencing_number"
	case rptimeline.KindTableWriteSent:
		return "rows"
	default:
		return "version"
	}
}

// jsonRemark is a JSON line for a remark. Lines of entries have no such wrapper.
type jsonRemark struct {
	Remark *Remark `json:"remark"`
}

type jsonHead struct {
	Head *rptimeline.Head `json:"head"`
}

func (v *View) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for i := range v.Heads {
		if err := encoder.Encode(jsonHead{&v.Heads[i]}); err != nil {
			return err
		}
	}
	var err error
	v.eachLine(func(remark *Remark, entry *rptimeline.Entry) {
		var line any = entry
		if remark != nil {
			line = jsonRemark{remark}
		}
		if err == nil {
			err = encoder.Encode(line)
		}
	})
	return err
}
