package rpfleet

import "fmt"

// Revision orders the states of the store, and the rows by the state in which they
// were written. The store numbers its transactions. When it comes back from a copy it
// gives numbers out again, in a new era, so a revision is the era and then the number.
// A store that tells no era is always in era 0. The zero value stands for a row that does
// not exist, or for a revision that is not known.
type Revision uint64

// numberBits is the number of bits of a revision for the number of the transaction: 550
// years of 1,000 transactions a second. The others are for the era.
const (
	numberBits = 44
	maxEra     = 1<<(64-numberBits) - 1
)

// NewRevision returns the revision of a transaction.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, maxEra)<<numberBits | number&(1<<numberBits-1))
}

// inEra returns the revision with a number in an era. A revision that is not known stays
// so.
func inEra(era uint64, number Revision) Revision {
	if number == 0 {
		return 0
	}
	return NewRevision(era, number.Number())
}

// Era returns the era of the store in which the revision was read.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number that the store has given to the transaction.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the number, with the era in front of it if the store tells one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
