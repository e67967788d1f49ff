package rpgateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpaccount"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

// Guards against demands that an earlier or a later version of the program can't
// read while instances are upgraded one after another.
func TestDemandExtensionIsOptional(t *testing.T) {
	g := NewWithT(t)
	demand := rpfleet.Demand{Instance: "front-1", Full: true, Extension: rpfleet.DemandExtension{
		Leaving: []rpfleet.LeavingEndpoint{{ID: "e1", Incarnation: "7"}}, HeldOff: []rpcore.EndpointID{"e2"},
	}}
	body, err := encodeDemand(&demand)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(demand))

	// An earlier version reads the first item only, and sends no second one.
	demand.Evidence.Crashes = []rpfleet.CrashReport{{Endpoint: "e1", Incarnation: "7", Age: time.Second, Prompts: [][]string{{"a", "b"}}}}
	body, err = encodeDemand(&demand)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(demand))
	var first rpfleet.Demand
	g.Expect(cbor.NewDecoder(bytes.NewReader(body)).Decode(&first)).To(Succeed())
	g.Expect(first.Instance).To(Equal(demand.Instance))
	body, err = cbor.Marshal(first)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(first))
}

// Guards against answers of the planner that an earlier version can't read, and against
// answers of an earlier version that clear the quarantine.
func TestPlacementQuarantineIsOptional(t *testing.T) {
	g := NewWithT(t)
	placement := rpfleet.Placement{IsPlanner: true, Epoch: 3, Quarantine: &rpfleet.Quarantine{
		Quarantined: []rpfleet.PartTime{{Part: "deadly", Time: time.Minute}}, Watched: []string{"a"}, Unused: []string{"a"},
	}}
	body, err := encodePlacement(&placement)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := decodePlacement(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(placement))
	var first rpfleet.Placement
	g.Expect(cbor.NewDecoder(bytes.NewReader(body)).Decode(&first)).To(Succeed())
	g.Expect(first.Epoch).To(Equal(placement.Epoch))
	body, err = cbor.Marshal(first)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err = decodePlacement(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.Quarantine).To(BeNil())
}

// Guards against load reports and summaries that an earlier or a later version of the
// program can't read, and against a summary that is taken for a quarantine.
func TestLoadItemsAreOptional(t *testing.T) {
	g := NewWithT(t)
	demand := rpfleet.Demand{Instance: "front-1", Full: true, Load: &rpfleet.LoadReport{
		Process:  7,
		Accounts: []rpaccount.Usage{{Account: "shop", Used: -5, Offered: 12}},
		Engines:  []rpfleet.EngineObservation{{Endpoint: "e1", Samples: 3, Speed: 900, Prefill: 4000}},
	}}
	body, err := encodeDemand(&demand)
	g.Expect(err).NotTo(HaveOccurred())
	decodedDemand, err := decodeDemand(bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decodedDemand).To(Equal(demand))
	// An earlier version reads the first three items.
	decoder := cbor.NewDecoder(bytes.NewReader(body))
	var first rpfleet.Demand
	var extension rpfleet.DemandExtension
	var evidence rpfleet.CrashEvidence
	g.Expect(decoder.Decode(&first)).To(Succeed())
	g.Expect(decoder.Decode(&extension)).To(Succeed())
	g.Expect(decoder.Decode(&evidence)).To(Succeed())
	g.Expect(evidence.IsEmpty()).To(BeTrue())

	summary := &rpfleet.LoadSummary{
		ConfigAge: 300 * time.Millisecond,
		Accounts:  []rpaccount.Summary{{Account: "shop", Offered: 40, Level: -100}},
		Engines:   []rpfleet.EngineSummary{{Endpoint: "e1", Speed: 900, Prefill: 4000}},
	}
	for _, quarantine := range []*rpfleet.Quarantine{nil, {Watched: []string{"a"}}} {
		placement := rpfleet.Placement{IsPlanner: true, Epoch: 3, Quarantine: quarantine, Load: summary}
		body, err = encodePlacement(&placement)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := decodePlacement(bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(placement))
		placement.Load = nil
		body, err = encodePlacement(&placement)
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err = decodePlacement(bytes.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded.Load).To(BeNil())
	}
}

// Guards against an era of the store that is lost on the way, and against one that keeps
// an earlier version of the program from reading the items before it.
func TestStoreStateFollowsOtherItems(t *testing.T) {
	g := NewWithT(t)
	state := &rpfleet.StoreState{Era: 3, ConfigRevision: rpfleet.NewRevision(2, 40)}
	for _, quarantine := range []*rpfleet.Quarantine{nil, {Watched: []string{"a"}}} {
		for _, load := range []*rpfleet.LoadSummary{nil, {ConfigAge: time.Second}} {
			placement := rpfleet.Placement{IsPlanner: true, Epoch: 3, Quarantine: quarantine, Load: load, Store: state}
			body, err := encodePlacement(&placement)
			g.Expect(err).NotTo(HaveOccurred())
			decoded, err := decodePlacement(bytes.NewReader(body))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded).To(Equal(placement))
			var earlier rpfleet.Placement
			g.Expect(decodeItems(bytes.NewReader(body), &earlier, &earlier.Quarantine, &earlier.Load)).To(Succeed())
			earlier.Store = state
			g.Expect(earlier).To(Equal(placement))
		}
	}
}

// Guards against load reports and summaries that are too large for the links between
// failure domains. 16 accounts and 89 engines are in use at 75 instances.
func TestLoadItemSizes(t *testing.T) {
	g := NewWithT(t)
	report, summary := &rpfleet.LoadReport{Process: 1 << 63}, &rpfleet.LoadSummary{ConfigAge: time.Second}
	size := func(item any) int {
		body, err := cbor.Marshal(item)
		g.Expect(err).NotTo(HaveOccurred())
		return len(body)
	}
	for i := range 16 {
		name := fmt.Sprintf("account-%02d", i)
		report.Accounts = append(report.Accounts, rpaccount.Usage{Account: name, Used: 1e6, Offered: 5000})
		summary.Accounts = append(summary.Accounts, rpaccount.Summary{Account: name, Offered: 1e5, Level: -1e5})
	}
	t.Logf("16 accounts: report %d bytes, summary %d bytes", size(report), size(summary))
	// An exchange comes every 0.75 s, so this is less than 1 KB/s in both directions
	// together.
	g.Expect(size(report) + size(summary)).To(BeNumerically("<", 750))
	report.Accounts, summary.Accounts = nil, nil
	for i := range 89 {
		id := rpcore.EndpointID(fmt.Sprintf("engine-%03d", i))
		report.Engines = append(report.Engines, rpfleet.EngineObservation{Endpoint: id, Samples: 9, Speed: 900, Prefill: 40000})
		summary.Engines = append(summary.Engines, rpfleet.EngineSummary{Endpoint: id, Speed: 900, Prefill: 40000})
	}
	t.Logf("89 engines: report %d bytes, summary %d bytes", size(report), size(summary))
	g.Expect(size(report)).To(BeNumerically("<", 25*len(report.Engines)))
	g.Expect(size(summary)).To(BeNumerically("<", 25*len(summary.Engines)))

	// An exchange has at most 6 engines in the report and 10 in the summary, without
	// prompt tokens, and comes every 0.58 s at 58 instances.
	report.Engines, summary.Engines = report.Engines[:6], summary.Engines[:10]
	for i := range report.Engines {
		report.Engines[i].Prefill = 0
	}
	for i := range summary.Engines {
		summary.Engines[i].Prefill = 0
	}
	t.Logf("speeds: report %d bytes, summary %d bytes", size(report), size(summary))
	g.Expect(float64(size(report)+size(summary)) / 0.58).To(BeNumerically("<", 500))
}

// Guards against a planner that gives an age of its configuration without a suspension
// of its machine that has just ended. Instances without the store would accept withdrawn
// keys longer by that time.
func TestAnswerCountsRecentSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspended := time.Duration(0)
		l := &loop{clock: &clock{Suspended: func() (time.Duration, error) { return suspended, nil }}}
		p := &peerAPI{loop: l}
		l.execute = func(effect rpfleet.Effect) {
			if answer, ok := effect.(rpfleet.AnswerDemand); ok {
				p.deliverAnswer(answer)
			}
		}
		defer l.close()
		l.apply(rpfleet.Start{Stamp: l.stamp(), Seed: 1})
		l.apply(rpfleet.ConfigRead{Stamp: l.stamp(), Config: &rpfleet.Config{Version: 1}})
		l.apply(rpfleet.ConfigChecked{Stamp: l.stamp(), AskedAt: l.clock.Now()})
		body, err := encodeDemand(&rpfleet.Demand{Instance: "front-2"})
		g.Expect(err).NotTo(HaveOccurred())
		suspended = 8 * time.Second
		w := httptest.NewRecorder()
		p.serveDemand(w, httptest.NewRequest(http.MethodPost, pathDemand, bytes.NewReader(body)))
		g.Expect(w.Code).To(Equal(http.StatusOK))
		g.Expect(l.state.ConfigAge()).To(Equal(8 * time.Second))
	})
}
