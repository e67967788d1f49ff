package rpcore

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files of the scenarios")

// scenario runs a simulation and records its events and effects as readable
// text.
type scenario struct {
	*sim
	text bytes.Buffer
}

// withScenario returns a scenario with one instance in each of n failure
// domains.
func withScenario(n int) *scenario {
	rec := &scenario{sim: withSim(panicOnFatal{}, 1, n, n)}
	rec.onStep = append(rec.onStep, rec.record)
	return rec
}

// panicOnFatal is the test handle of a scenario. It ends a scenario whose
// checks fail with a panic.
type panicOnFatal struct{}

func (panicOnFatal) Helper() {}

func (panicOnFatal) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// step writes a heading and runs one step of the scenario.
func (rec *scenario) step(text string, do func()) {
	fmt.Fprintf(&rec.text, "\n== %s\n", text)
	do()
}

// record writes an event and its effects. It omits the effects of periodic
// traffic, and events without other effects.
func (rec *scenario) record(n *simNode, ev Event, effects []Effect) {
	var lines []string
	for _, effect := range effects {
		if !isPeriodicEffect(ev, effect) {
			lines = append(lines, "    "+describe(effect))
		}
	}
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(&rec.text, "%8.3fs %s %s\n%s\n", rec.now.Sub(rec.start).Seconds(), n.self.Incarnation, describe(ev), strings.Join(lines, "\n"))
}

func isPeriodicEffect(ev Event, effect Effect) bool {
	switch effect := effect.(type) {
	case SetAlarm:
		return true
	case ReadTable:
		return effect.Prefix != ""
	case SendPeer:
		message := effect.Message
		return message.Heartbeat != nil || message.ReportShare != nil || isRepeatedDemand(message) ||
			message.DemandAnswer != nil && message.DemandAnswer.Refusal == nil && receivedRepeatedDemand(ev)
	default:
		return false
	}
}

// isRepeatedDemand reports whether a message repeats a demand. A demand is sent
// again every 250 ms while requests wait.
func isRepeatedDemand(message PeerMessage) bool {
	return message.Demand != nil && message.Demand.Oldest > 0
}

func receivedRepeatedDemand(ev Event) bool {
	received, ok := ev.(PeerReceived)
	return ok && isRepeatedDemand(received.Message)
}

// describe formats a value as its type and its non-zero fields.
func describe(value any) string {
	v := reflect.ValueOf(value)
	return v.Type().Name() + describeFields(v)
}

func describeFields(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || field.Name == "Stamp" || field.Name == "Address" || v.Field(i).IsZero() {
			continue
		}
		parts = append(parts, field.Name+"="+describeValue(v.Field(i)))
	}
	return "{" + strings.Join(parts, " ") + "}"
}

func describeValue(v reflect.Value) string {
	if at, ok := v.Interface().(time.Time); ok {
		return at.Format("15:04:05.000")
	}
	switch v.Kind() {
	case reflect.Pointer:
		return describeValue(v.Elem())
	case reflect.Struct:
		return describeFields(v)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return fmt.Sprintf("%d bytes", v.Len())
		}
		var parts []string
		for i := range v.Len() {
			parts = append(parts, describeValue(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.String:
		if v.Len() == 64 {
			// This is a hash. Its first characters are sufficient.
			return v.String()[:8]
		}
		return fmt.Sprintf("%q", v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

// Guards against unintended changes of the order, number or content of effects
// that no other test checks. Run with -update to rewrite the golden files, and
// review the diff.
func TestScenarios(t *testing.T) {
	for name, run := range map[string]func() *scenario{
		"document_race": runDocumentRace, "platform_outage": runPlatformOutage, "partition": runPartition,
		"leaving_endpoint": runLeavingEndpoint, "planned_restart": runPlannedRestart,
		"cold_start_burst": runColdStartBurst, "overload_urgent": runOverload(rpdocument.RankUrgent),
		"overload_normal": runOverload(rpdocument.RankNormal), "overload_background": runOverload(rpdocument.RankBackground),
		"charge_table_answer_lost": runChargeTableAnswerLost, "charge_endpoint_answer_lost": runChargeEndpointAnswerLost,
		"paused_holder": runPausedOwner,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := run().text.String()
			g.Expect(run().text.String()).To(Equal(got), "a second run of the scenario")
			path := filepath.Join("testdata", name+".txt")
			if *updateGolden {
				g.Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
				g.Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(string(want)))
		})
	}
}

func (rec *scenario) startInstances() {
	rec.step("all instances start", func() { rec.startAll().advance(2 * time.Second) })
}

func runDocumentRace() *scenario {
	rec := withScenario(3)
	rec.startInstances()
	rec.step("the first document is accepted", func() {
		rec.nodes[0].submit("first", "mixadvies", 0)
		rec.advance(2 * time.Second)
	})
	rec.step("two operators edit version 1 at different instances", func() {
		rec.nodes[0].submit("by anna", "mixadvies", 1)
		rec.nodes[1].submit("by bram", "mixadvies", 1)
		rec.advance(2 * time.Second)
	})
	rec.step("the answers to writes are lost", func() {
		rec.table.answerLossRate = 1
		rec.nodes[2].submit("by cees", "mixadvies", 2)
		rec.advance(10 * time.Second)
	})
	return rec
}

func runPlatformOutage() *scenario {
	rec := withScenario(2)
	rec.startInstances()
	rec.step("a document is accepted", func() {
		rec.nodes[0].submit("first", "kodovac", 0)
		rec.advance(2 * time.Second)
	})
	rec.step("table and object store go down; a submission fails", func() {
		rec.table.down, rec.objects.down = true, true
		rec.nodes[0].submit("second", "kodovac", 1)
		rec.advance(2 * time.Second)
	})
	rec.step("i001 restarts and takes the document of its peer", func() {
		rec.nodes[1].restart()
		rec.advance(4 * time.Second)
	})
	rec.step("the platform is back; the submission is repeated", func() {
		rec.table.down, rec.objects.down = false, false
		rec.nodes[1].submit("third", "kodovac", 1)
		rec.advance(2 * time.Second)
	})
	return rec
}

func runPartition() *scenario {
	rec := withScenario(3)
	rec.startInstances()
	rec.step("domain C is cut from the others and from the platform", func() {
		rec.net.setCut("A", "C", true)
		rec.net.setCut("B", "C", true)
		rec.net.platformCut["C"] = true
		rec.advance(6 * time.Second)
	})
	rec.step("a document is accepted in domain A", func() {
		rec.nodes[0].submit("first", "sber", 0)
		rec.advance(3 * time.Second)
	})
	rec.step("domains B and C meet again", func() {
		rec.net.setCut("B", "C", false)
		rec.advance(3 * time.Second)
	})
	return rec
}

func runLeavingEndpoint() *scenario {
	rec := withScenario(2)
	e := rec.addEngine("engine-1", "A", "e1")
	rec.startInstances()
	rec.step("the engine refuses a connection of i001", func() {
		rec.nodes[1].reduce(func(at Stamp) Event { return EngineUnreachable{at, "engine-1", true} })
		rec.advance(2 * time.Second)
	})
	rec.step("the engine reports that it is leaving", func() {
		e.reportsLeaving = true
		rec.advance(2 * time.Second)
	})
	rec.step("a new incarnation is listed", func() {
		e.Incarnation, e.reportsLeaving, e.sequence = "e2", false, 0
		rec.list.put(rec.sim, e.Member)
		rec.advance(3 * time.Second)
	})
	return rec
}

func runPlannedRestart() *scenario {
	rec := withScenario(3)
	rec.addEngine("engine-1", "B", "e1")
	rec.startInstances()
	rec.step("a document is accepted", func() {
		rec.nodes[0].submit("first", "kodovac", 0)
		rec.advance(2 * time.Second)
	})
	rec.step("i001 is asked to stop", func() {
		n := rec.nodes[1]
		n.reduce(func(at Stamp) Event { return DrainRequested{at} })
		rec.advance(time.Second)
	})
	rec.step("i001 ends and starts again; the list lags by 3 s", func() {
		rec.list.minLag, rec.list.maxLag = 3*time.Second, 3*time.Second
		rec.nodes[1].restart()
		rec.advance(8 * time.Second)
	})
	return rec
}
