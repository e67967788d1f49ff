package rptimeline

import "github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"

// Entry is one recorded event or effect. Fields that do not apply are empty.
type Entry struct {
	Clock    Clock  `json:"clock"`
	Instance string `json:"instance"`
	Part     Part   `json:"part"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Service  string `json:"service,omitempty"`
	// Model is the name of a model or adapter without its service.
	Model    string `json:"model,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Order    string `json:"order,omitempty"`
	// Peer is the instance at the other end of a message or link.
	Peer string `json:"peer,omitempty"`
	// Code is the stable name of a reason, result, rank or message kind,
	// depending on Kind.
	Code string `json:"code,omitempty"`
	// Verdict is set if an attempt ended or a request was refused.
	Verdict *rpverdict.Verdict `json:"verdict,omitempty"`
	// Count depends on Kind: the tokens of an attempt, the fencing number of
	// an order, the rows of a table write or the version of a document.
	Count uint64 `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// ModelName returns SERVICE/MODEL, or "" if the entry has no model.
func (e *Entry) ModelName() string {
	if e.Model == "" {
		return ""
	}
	return e.Service + "/" + e.Model
}
