package rptimeline

import "github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"

// Entry is one thing that happened. Fields that do not apply are empty.
type Entry struct {
	Clock    Clock  `json:"clock"`
	Instance string `json:"instance"`
	Part     Part   `json:"part"`
	Kind     Kind   `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Service  string `json:"service,omitempty"`
	// Model is a model or an adapter; its full name is Service/Model.
	Model    string `json:"model,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Order    string `json:"order,omitempty"`
	// Peer is the other instance of a message or link.
	Peer string `json:"peer,omitempty"`
	// Code is a reason, result, rank or kind of message by its stable name.
	Code string `json:"code,omitempty"`
	// Verdict is set for an attempt that ended and for a refusal.
	Verdict *rpverdict.Verdict `json:"verdict,omitempty"`
	// Count is the number of tokens of an attempt, or the version of a
	// document.
	Count uint64 `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
}

// ModelName returns service/model, or "" without a model.
func (e *Entry) ModelName() string {
	if e.Model == "" {
		return ""
	}
	return e.Service + "/" + e.Model
}
