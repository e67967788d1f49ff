package rpdocument

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// Parse decodes and checks a document. It returns either the document or all
// of its problems.
func Parse(body []byte) (*Document, []Problem) {
	if len(body) > MaxBodyBytes {
		return nil, []Problem{{
			Code:  rptoml.CodeFileTooLarge,
			Wrong: fmt.Sprintf("The document has %d bytes.", len(body)),
			Fix:   fmt.Sprintf("Write at most %d bytes.", MaxBodyBytes),
		}}
	}
	doc := &Document{Ranks: DefaultRanks()}
	report := rptoml.Decode(body, doc)
	if !report.Unreadable() {
		c := checker{report: report, doc: doc}
		c.fillDefaults()
		c.check()
	}
	if problems := report.Problems(); len(problems) > 0 {
		return nil, convertProblems(problems)
	}
	return doc, nil
}

// Hash returns the SHA-256 sum (hex) of a document or of a credential.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func convertProblems(found []rptoml.Problem) []Problem {
	problems := make([]Problem, len(found))
	for i := range found {
		problems[i] = Problem(found[i])
	}
	return problems
}

// checker fills in the defaults of a decoded document and checks it.
type checker struct {
	report *rptoml.Report
	doc    *Document
}

// fillDefaults sets the optional keys that the document lacks. The defaults of
// the table ranks are already set before decoding.
func (c checker) fillDefaults() {
	for i := range c.doc.Models {
		model, key := &c.doc.Models[i], fmt.Sprintf("models[%d]", i)
		setDefault(c, key+".accelerators", &model.Accelerators, DefaultAccelerators)
		setDefault(c, key+".rank", &model.Rank, DefaultRank)
	}
	for i := range c.doc.Adapters {
		setDefault(c, fmt.Sprintf("adapters[%d].rank", i), &c.doc.Adapters[i].Rank, DefaultRank)
	}
	for i := range c.doc.Routes {
		setDefault(c, fmt.Sprintf("routes[%d].rank", i), &c.doc.Routes[i].Rank, DefaultRank)
	}
	hours := HoursPerDay * float64(c.doc.Spend.Accelerators)
	setDefault(c, "spend.accelerator_hours_per_day", &c.doc.Spend.AcceleratorHoursPerDay, hours)
}

func setDefault[T any](c checker, key string, field *T, value T) {
	if !c.report.Has(key) {
		*field = value
	}
}

func (c checker) check() {
	c.checkService()
	c.checkCredentials("editors", c.doc.Editors)
	c.checkCredentials("callers", c.doc.Callers)
	c.checkSpend()
	c.checkRanks()
	c.checkModels()
	c.checkAdapters()
	c.checkRoutes()
}
