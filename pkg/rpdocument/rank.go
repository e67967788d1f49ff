package rpdocument

import (
	"fmt"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// Rank is the priority class of a request. The zero value means that the
// caller gave no rank, so the rank in the document applies.
type Rank int

const (
	// RankUnset selects the rank that the document gives for the model,
	// adapter or route.
	RankUnset Rank = iota
	// RankUrgent is work that a person is waiting for.
	RankUrgent
	// RankNormal is work with a deadline of seconds to minutes.
	RankNormal
	// RankBackground is work that may wait but must still be done.
	RankBackground
)

// Ranks lists the ranks that requests can have, most urgent first.
var Ranks = [...]Rank{RankUrgent, RankNormal, RankBackground}

// RankCount is the number of ranks that requests can have.
const RankCount = len(Ranks)

var rankNames = [...]string{"", "urgent", "normal", "background"}

// Index returns the index of the rank in Ranks, or -1 for RankUnset and
// unknown values.
func (r Rank) Index() int {
	if r < RankUrgent || r > RankBackground {
		return -1
	}
	return int(r) - 1
}

// String returns the name used in documents and headers.
func (r Rank) String() string {
	if r < 0 || int(r) >= len(rankNames) {
		return fmt.Sprintf("rank(%d)", int(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name. An empty name is an error.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if i > 0 && n == name {
			return Rank(i), nil
		}
	}
	return RankUnset, UnknownRankError{Name: name}
}

// MarshalText encodes the rank by name.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes a rank from its name. An empty name is RankUnset.
func (r *Rank) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*r = RankUnset
		return nil
	}
	rank, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = rank
	return nil
}

// UnknownRankError reports a name that is not the name of a rank.
type UnknownRankError struct {
	Name string
}

func (e UnknownRankError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong implements rptoml.TextError.
func (e UnknownRankError) Wrong() string {
	return fmt.Sprintf("%q is not a rank.", rptoml.Shorten(e.Name))
}

// Fix implements rptoml.TextError.
func (e UnknownRankError) Fix() string {
	return "Write urgent, normal or background, in double quotes."
}
