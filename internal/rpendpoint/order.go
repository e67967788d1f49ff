package rpendpoint

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// defaultOrderTimeout limits the wait for the response to an order without its own
// timeout. A load from the weight store can take minutes.
const defaultOrderTimeout = 10 * time.Minute

// orderParameters are the parameters of an order to an engine.
type orderParameters struct {
	FencingNumber uint64             `json:"fencing_number"`
	Incarnation   rpcore.Incarnation `json:"incarnation"`
	Kind          rpcore.OrderKind   `json:"kind"`
	Version       string             `json:"version"`
	MemoryBytes   uint64             `json:"memory_bytes"`
	Checkpoint    string             `json:"checkpoint"`
	BaseModel     string             `json:"base_model,omitempty"`
}

// SendOrder sends an order in the background, at most once, and posts the result as
// OrderAnswered.
func (c *Client) SendOrder(order rpcore.SendOrder) {
	started := c.startBackground(func() {
		result, detail := c.sendOrder(order)
		c.postOrderAnswered(order, result, detail)
	})
	if !started {
		go c.postOrderAnswered(order, rpcore.OrderNotSent, "the client is closed")
	}
}

func (c *Client) postOrderAnswered(order rpcore.SendOrder, result rpcore.OrderResult, detail string) {
	c.post(rpcore.OrderAnswered{
		Stamp:    stamp(),
		Order:    order.Order,
		Endpoint: order.Endpoint,
		Result:   result,
		Detail:   detail,
	})
}

func (c *Client) sendOrder(order rpcore.SendOrder) (rpcore.OrderResult, string) {
	ctx, cancel := context.WithTimeout(c.ctx, cmp.Or(order.Timeout, defaultOrderTimeout))
	defer cancel()
	req, err := orderRequest(ctx, order)
	if err != nil {
		return rpcore.OrderNotSent, err.Error()
	}
	resp, done, failure := c.roundTrip(ctx, req, true)
	if failure != nil {
		if failure.Verdict == rpverdict.NotRun {
			return rpcore.OrderNotSent, failure.Detail
		}
		return rpcore.OrderUnknown, failure.Detail
	}
	defer done()
	defer resp.Body.Close()
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return rpcore.OrderDone, ""
	}
	return orderRefusal(resp.StatusCode, readErrorBody(resp.Body))
}

// orderRefusal maps an error response to a result. After a server error the engine
// may still execute the order, unless the code says that it did not start.
func orderRefusal(status int, body []byte) (rpcore.OrderResult, string) {
	code := errorCode(body)
	detail := errorDetail(body)
	switch {
	case status == http.StatusConflict && code == codeFenced:
		return rpcore.OrderFenced, detail
	case status >= 400 && status < 500:
		return rpcore.OrderRejected, detail
	case status == http.StatusServiceUnavailable && (code == codeBusy || code == codeLeaving):
		return rpcore.OrderRejected, detail
	}
	return rpcore.OrderUnknown, detail
}

// maxDetailBytes limits the detail of an engine's error in an event.
const maxDetailBytes = 512

// errorDetail returns the message of an error response, or the beginning of the
// body if it has none.
func errorDetail(body []byte) string {
	var response struct {
		Detail  json.RawMessage `json:"detail"`
		Message json.RawMessage `json:"message"`
		Error   struct {
			Message json.RawMessage `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &response)
	detail := string(body)
	for _, raw := range []json.RawMessage{response.Detail, response.Message, response.Error.Message} {
		if s := jsonString(raw); s != "" {
			detail = s
			break
		}
	}
	return detail[:min(len(detail), maxDetailBytes)]
}

func orderRequest(ctx context.Context, order rpcore.SendOrder) (*http.Request, error) {
	body, err := json.Marshal(map[string]orderParameters{"parameters": {
		FencingNumber: order.Fence,
		Incarnation:   order.Incarnation,
		Kind:          order.Kind,
		Version:       order.Version,
		MemoryBytes:   uint64(order.Memory),
		Checkpoint:    order.Checkpoint,
		BaseModel:     order.BaseModel,
	}})
	if err != nil {
		return nil, err
	}
	action := "/load"
	if order.Kind == rpcore.OrderUnloadModel || order.Kind == rpcore.OrderUnloadAdapter {
		action = "/unload"
	}
	path := "/v2/repository/models/" + pathEscape(order.Model.String()) + action
	target := endpointURL(order.Address, path, "")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequestID, string(order.Order))
	return req, nil
}
