package rpgateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpfleet"
)

const (
	// demandTimeout limits a call to the planner. The planner responds at once, so
	// a planner that takes longer is unreachable or stopped.
	demandTimeout = 450 * time.Millisecond
	// maxDemandBytes limits a demand and its response.
	maxDemandBytes = 4 << 20
	pathDemand     = "/peer/v1/demand"
	typeCBOR       = "application/cbor"
)

// peerAPI is the client and server of the interface between instances: every
// instance sends its demand to the planner, which responds with a placement.
type peerAPI struct {
	loop   *loop
	client *http.Client
	log    zerolog.Logger

	mu           sync.Mutex
	nextID       uint64
	pendingCalls map[uint64]chan rpfleet.Placement
}

func (p *peerAPI) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathDemand, p.serveDemand).Methods(http.MethodPost)
	return r
}

func (p *peerAPI) serveDemand(w http.ResponseWriter, r *http.Request) {
	event := rpfleet.DemandReceived{}
	var err error
	if event.Demand, err = decodeDemand(r.Body); err != nil {
		p.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("can't decode a demand from another instance")
		http.Error(w, "the demand can't be read", http.StatusBadRequest)
		return
	}
	call, answered := p.registerCall()
	event.Call = call
	// The exact time decides about the age that the answer gives for the
	// configuration. A demand that was sent during a suspension of the machine is read
	// in the first milliseconds after it.
	event.Stamp = rpfleet.Stamp{At: p.loop.clock.ExactNow()}
	p.loop.apply(event)
	select {
	case placement := <-answered:
		w.Header().Set("Content-Type", typeCBOR)
		body, err := encodePlacement(&placement)
		if err == nil {
			_, err = w.Write(body)
		}
		if err != nil {
			p.log.Debug().Err(err).Msg("failed to send the response to a demand")
		}
	default:
		// The loop is closed, so it did not apply the event.
		http.Error(w, "this instance stops", http.StatusServiceUnavailable)
	}
}

// registerCall returns the ID of a new call and the channel for its answer. The
// loop delivers the answer while it applies the event.
func (p *peerAPI) registerCall() (uint64, chan rpfleet.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingCalls == nil {
		p.pendingCalls = map[uint64]chan rpfleet.Placement{}
	}
	p.nextID++
	answered := make(chan rpfleet.Placement, 1)
	p.pendingCalls[p.nextID] = answered
	return p.nextID, answered
}

func (p *peerAPI) deliverAnswer(cmd rpfleet.AnswerDemand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered := p.pendingCalls[cmd.Call]; answered != nil {
		answered <- cmd.Placement
		delete(p.pendingCalls, cmd.Call)
	}
}

// sendDemand sends a demand to the planner and applies the response to the loop.
func (p *peerAPI) sendDemand(cmd rpfleet.SendDemand) {
	event := rpfleet.PlacementReceived{AskedAt: p.loop.clock.Now()}
	placement, err := p.callPlanner(cmd.Address, cmd.Demand)
	if err != nil {
		p.log.Debug().Err(err).Str("planner", cmd.Address.String()).Msg("the planner did not answer a demand")
		event.Failed = true
	}
	event.Placement = placement
	event.Stamp = p.loop.stamp()
	p.loop.apply(event)
}

func (p *peerAPI) callPlanner(address netip.AddrPort, demand rpfleet.Demand) (rpfleet.Placement, error) {
	var placement rpfleet.Placement
	body, err := encodeDemand(&demand)
	if err != nil {
		return placement, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+pathDemand, bytes.NewReader(body))
	if err != nil {
		return placement, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", typeCBOR)
	resp, err := p.client.Do(req)
	if err != nil {
		return placement, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return placement, fmt.Errorf("unexpected status %d from the planner", resp.StatusCode)
	}
	return decodePlacement(resp.Body)
}

// encodeDemand encodes a demand, its extension, its evidence and its load report as
// CBOR items. Earlier versions of the program read only the first ones.
func encodeDemand(demand *rpfleet.Demand) ([]byte, error) {
	switch {
	case demand.Load != nil:
		return encodeItems(demand, &demand.Extension, &demand.Evidence, demand.Load)
	case demand.Evidence.IsEmpty():
		return encodeItems(demand, &demand.Extension)
	}
	return encodeItems(demand, &demand.Extension, &demand.Evidence)
}

// decodeDemand decodes a demand with its extension, evidence and load report, which
// earlier versions of the program don't send.
func decodeDemand(r io.Reader) (rpfleet.Demand, error) {
	var demand rpfleet.Demand
	return demand, decodeItems(r, &demand, &demand.Extension, &demand.Evidence, &demand.Load)
}

// encodePlacement encodes a placement, its quarantine, its load summary and the state of
// the store as CBOR items. Earlier versions of the program read only the first ones. An
// item that is missing before another one is encoded as null.
func encodePlacement(placement *rpfleet.Placement) ([]byte, error) {
	switch {
	case placement.Store != nil:
		return encodeItems(placement, placement.Quarantine, placement.Load, placement.Store)
	case placement.Load != nil:
		return encodeItems(placement, placement.Quarantine, placement.Load)
	case placement.Quarantine == nil:
		return encodeItems(placement)
	}
	return encodeItems(placement, placement.Quarantine)
}

// decodePlacement decodes a placement and the items behind it, which earlier versions of
// the program don't send.
func decodePlacement(r io.Reader) (rpfleet.Placement, error) {
	var placement rpfleet.Placement
	return placement, decodeItems(r, &placement, &placement.Quarantine, &placement.Load, &placement.Store)
}

func encodeItems(items ...any) ([]byte, error) {
	var body []byte
	for _, item := range items {
		encoded, err := cbor.Marshal(item)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		body = append(body, encoded...)
	}
	return body, nil
}

// decodeItems decodes CBOR items. Only the first one must be there.
func decodeItems(r io.Reader, items ...any) error {
	decoder := cbor.NewDecoder(io.LimitReader(r, maxDemandBytes))
	for i, item := range items {
		err := decoder.Decode(item)
		if i > 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
