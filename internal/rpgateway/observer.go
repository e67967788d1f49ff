package rpgateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
	rpwire "github.com/rattanpaddle/rattanpaddle/platform"
)

// observer records metrics and writes the reducer's notes to the log.
type observer struct {
	metrics *rpmetric.Metrics
	loggers map[string]zerolog.Logger
}

func newObserver(log rplog.Log, metrics *rpmetric.Metrics) *observer {
	o := &observer{metrics: metrics, loggers: map[string]zerolog.Logger{}}
	for _, part := range rplog.Parts {
		o.loggers[part.Name] = log.Part(part.Name)
	}
	return o
}

// metricsHandler serves the metrics and reads those of the accounts from the loop.
func (o *observer) metricsHandler(l *loop) http.Handler {
	handler := o.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status := l.accountStatus()
		o.metrics.Accounts(status.Accounts, status.ConfigAge, status.KeysAccepted)
		handler.ServeHTTP(w, r)
	})
}

func (o *observer) requestEnded(took time.Duration, code string) {
	o.metrics.RoutedRequestEnded(code, took)
}

func (o *observer) firstEvent(rank int, took time.Duration) { o.metrics.RoutedFirstEvent(rank, took) }

// firstEventEstimated records the error of an estimate.
func (o *observer) firstEventEstimated(estimate rpfleet.FirstEventEstimate, actual time.Duration) {
	prompt, engine := rpmetric.PromptShort, rpmetric.EngineFree
	if estimate.LongPrompt {
		prompt = rpmetric.PromptLong
	}
	if estimate.BusyEngine {
		engine = rpmetric.EngineBusy
	}
	o.metrics.FirstEventEstimated(prompt, engine, actual, estimate.Expected)
}

func (o *observer) attemptEnded(reason rpcore.AttemptReason) { o.metrics.AttemptEnded(reason) }

func (o *observer) orderEnded(kind rpfleet.OrderKind, outcome rpfleet.OrderOutcome) {
	o.metrics.OrderEnded(string(kind), string(outcome))
}

// storeTables are the labels of the tables of the store.
var storeTables = map[rpwire.Table]string{
	rpwire.TableConfig: "configuration", rpwire.TableEndpoints: "endpoints", rpwire.TablePlanner: "lease", rpwire.TableDemands: "demands",
	rpwire.TableCrashes: "crashes",
}

// storeCalled counts a call to the store. A condition that does not hold and lost
// history are answers too.
func (o *observer) storeCalled(call rpwire.Call, table rpwire.Table, status int) {
	outcome := "answered"
	switch {
	case status == 0:
		outcome = "lost"
	case status != http.StatusOK && status != http.StatusPreconditionFailed && status != http.StatusGone:
		outcome = "refused"
	}
	o.metrics.StoreCall(string(call), storeTables[table], outcome)
}

func (o *observer) connectionUsed(use rpendpoint.ConnectionUse) {
	o.metrics.EndpointConnection(string(use))
}

// logNote writes a note of the reducer to the log of its part. Durations are in
// milliseconds, and their keys end in _ms.
func (o *observer) logNote(note rpfleet.Note) {
	logger, ok := o.loggers[note.Part]
	if !ok {
		return
	}
	entry := logger.Info()
	if note.Request != "" {
		entry = entry.Str("request_id", string(note.Request))
	}
	for _, field := range note.Fields {
		entry = addField(entry, field)
	}
	entry.Msg(note.Text)
}

func addField(entry *zerolog.Event, field rpfleet.Field) *zerolog.Event {
	switch value := field.Value.(type) {
	case string:
		if value == "" {
			return entry
		}
		return entry.Str(field.Name, value)
	case time.Duration:
		return entry.Int64(field.Name+"_ms", value.Milliseconds())
	case float64:
		return entry.Float64(field.Name, float64(int64(value*1000))/1000)
	}
	return entry.Interface(field.Name, field.Value)
}
