package rpcapacity_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcapacity"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

const (
	// loadedModels is the number of models on each engine.
	loadedModels = 3
	// modelsPerService keeps a document below its size limit of 64 KiB.
	modelsPerService = 50
	editorHash       = "0000000000000000000000000000000000000000000000000000000000000001"
)

// benchState drives one State of a deployment of a given size.
type benchState struct {
	state   *rpcore.State
	now     time.Time
	size    rpcapacity.Size
	members []rpcore.Member
	// localEngines lists the engines in the failure domain of the State.
	localEngines []rpcore.EndpointID
	sequence     uint64
	requests     int
}

var testAddress = netip.MustParseAddrPort("127.0.0.1:9000")

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func domainName(i int) rpcore.FailureDomain {
	return rpcore.FailureDomain(fmt.Sprintf("domain-%02d", i))
}

func (s *benchState) services() int { return (s.size.Models + modelsPerService - 1) / modelsPerService }

// withBenchState returns a State that has all members, all documents and the
// reports of the engines in its failure domain.
func withBenchState(size rpcapacity.Size) *benchState {
	s := &benchState{state: new(rpcore.State), now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), size: size}
	s.reduce(rpcore.Start{Stamp: s.stamp(), Self: s.identity(0), Seed: 1})
	s.listMembers()
	s.reduce(rpcore.MembersListed{Stamp: s.stamp(), Members: s.members})
	s.loadDocuments()
	for _, id := range s.localEngines {
		s.report(id)
	}
	return s
}

func (s *benchState) stamp() rpcore.Stamp { return rpcore.Stamp{At: s.now} }

func (s *benchState) reduce(ev rpcore.Event) []rpcore.Effect { return s.state.Reduce(ev) }

func (s *benchState) identity(i int) rpcore.Identity {
	return rpcore.Identity{
		Instance:      rpcore.InstanceID(fmt.Sprintf("entry-%03d", i)),
		Incarnation:   "1a2401e7ec2-b31114c6750ed6c9",
		FailureDomain: domainName(i % s.size.Domains),
	}
}

func (s *benchState) listMembers() {
	for i := range s.size.Instances {
		identity := s.identity(i)
		s.members = append(s.members, rpcore.Member{
			ID: string(identity.Instance), Kind: rpcore.MemberInstance, FailureDomain: identity.FailureDomain,
			Incarnation: identity.Incarnation, Address: testAddress,
		})
	}
	for i := range s.size.Engines {
		id := fmt.Sprintf("engine-%05d", i)
		domain := domainName(i % s.size.Domains)
		if domain == domainName(0) {
			s.localEngines = append(s.localEngines, rpcore.EndpointID(id))
		}
		s.members = append(s.members, rpcore.Member{
			ID: id, Kind: rpcore.MemberEngine, Service: serviceName(i / s.size.Domains % s.services()),
			FailureDomain: domain, Incarnation: "1a2401e7ec2-b31114c6750ed6c9", Address: testAddress,
			EnforcesFencing: true, Memory: 80 * rpdocument.GiB, Accelerators: 2,
		})
	}
}

// loadDocuments answers the read of the document rows that follows the start.
func (s *benchState) loadDocuments() {
	s.now = s.now.Add(time.Second)
	bodies := make(map[string][]byte)
	var rows []rpcore.Row
	for i := range s.services() {
		body := s.document(i)
		row := &rpcore.DocumentRow{Service: serviceName(i), Version: 1, Hash: rpdocument.Hash(body)}
		bodies[row.Service] = body
		rows = append(rows, rpcore.Row{
			Key: rpcore.RowKey{Kind: rpcore.RowDocument, Service: row.Service}, Version: 1,
			RowBody: rpcore.RowBody{Document: row},
		})
	}
	for _, effect := range s.reduce(rpcore.Tick{Stamp: s.stamp()}) {
		read, ok := effect.(rpcore.ReadTable)
		if !ok || read.Prefix != rpcore.RowDocument {
			continue
		}
		s.reduce(rpcore.TableReadDone{Stamp: s.stamp(), Op: read.Op, Rows: rows})
	}
	for i := range s.services() {
		body := bodies[serviceName(i)]
		s.reduce(rpcore.DocumentLoaded{
			Stamp: s.stamp(), Service: serviceName(i), Version: 1, Hash: rpdocument.Hash(body), Body: body,
		})
	}
}

func (s *benchState) document(i int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format = 1\nservice = %q\nteam = \"team\"\neditors = [%q]\n[spend]\naccelerators = 1000\n", serviceName(i), editorHash)
	models := min(modelsPerService, s.size.Models-i*modelsPerService)
	for m := range models {
		fmt.Fprintf(&b, "[[models]]\nname = \"model-%02d\"\nversion = \"1\"\ncheckpoint = \"weights/%d/%d\"\n", m, i, m)
		b.WriteString("memory = \"16GiB\"\nmax_replicas = 1000\n")
	}
	for a := range models * s.size.Adapters / s.size.Models {
		fmt.Fprintf(&b, "[[adapters]]\nname = \"adapter-%02d\"\nversion = \"1\"\nbase_model = \"model-%02d\"\n", a, a%models)
		fmt.Fprintf(&b, "checkpoint = \"weights/%d/a%d\"\nmemory = \"256MiB\"\n", i, a)
	}
	return []byte(b.String())
}

func (s *benchState) engineReport(id rpcore.EndpointID) rpcore.EngineReport {
	s.sequence++
	var number int
	_, _ = fmt.Sscanf(string(id), "engine-%d", &number)
	service := number / s.size.Domains % s.services()
	report := rpcore.EngineReport{
		Endpoint: id, Incarnation: "1a2401e7ec2-b31114c6750ed6c9", Sequence: s.sequence, TakenAt: s.now,
		Memory: 80 * rpdocument.GiB, Running: int(s.sequence % 7),
	}
	for m := range loadedModels {
		report.Loaded = append(report.Loaded, rpcore.LoadedModel{
			Key:     rpcore.ModelKey{Service: serviceName(service), Name: fmt.Sprintf("model-%02d", m)},
			Version: "1", Memory: 16 * rpdocument.GiB,
		})
		report.Cached = append(report.Cached, rpcore.CachedCheckpoint{
			Checkpoint: fmt.Sprintf("weights/%d/%d", service, m), Place: rpcore.PlaceDisk,
		})
	}
	return report
}

func (s *benchState) report(id rpcore.EndpointID) {
	s.reduce(rpcore.EngineReported{Stamp: s.stamp(), Report: s.engineReport(id)})
}

// request runs one request from its arrival to its end and reports whether the
// State started an attempt.
func (s *benchState) request() bool {
	s.requests++
	id := rpcore.RequestID(fmt.Sprintf("r%d", s.requests))
	service := serviceName(s.requests % s.services())
	arrived := rpcore.RequestArrived{Stamp: s.stamp(), Request: rpcore.Request{ID: id, ModelName: service + "/model-01", MaxTokens: 240}}
	started := false
	for _, effect := range s.reduce(arrived) {
		if start, ok := effect.(rpcore.StartAttempt); ok {
			started = true
			s.reduce(rpcore.AttemptFirstToken{Stamp: s.stamp(), Attempt: start.Attempt, Request: id})
			s.reduce(rpcore.AttemptEnded{
				Stamp: s.stamp(), Attempt: start.Attempt, Request: id, Reason: rpcore.AttemptComplete, TokensRelayed: 240,
			})
			break
		}
	}
	return started
}
