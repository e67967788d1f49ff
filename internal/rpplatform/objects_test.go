package rpplatform_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func documentHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func withObjects(t *testing.T, access rpplatform.Access) (*rpplatform.Objects, chan rpcore.Event) {
	t.Helper()
	events := make(chan rpcore.Event, 10)
	objects := &rpplatform.Objects{
		Access: access, Bucket: "rattanpaddle", Timeout: eventTimeout,
		Post: func(ev rpcore.Event) { events <- ev },
	}
	t.Cleanup(func() { _ = objects.Close(t.Context()) })
	return objects, events
}

// Guards against bodies that are lost, altered or mixed up, and against reporting
// success after a lost response or during an outage.
func TestObjects(t *testing.T) {
	g := NewWithT(t)
	service := &rpstandin.Objects{}
	objects, events := withObjects(t, withServer(t, service))
	body := []byte("name = \"mixadvies\"\n")
	store := rpcore.StoreDocument{Submission: "s1", Hash: documentHash(body), Body: body}
	load := rpcore.LoadDocument{Service: "mixadvies", Version: 3, Hash: documentHash(body)}

	objects.LoadDocument(load)
	g.Expect(receive[rpcore.DocumentLoaded](t, events).Unavailable).To(BeTrue(), "not stored yet")
	service.SetFaults(unavailable)
	objects.StoreDocument(store)
	g.Expect(receive[rpcore.DocumentStored](t, events).Unavailable).To(BeTrue(), "outage")
	service.SetFaults(rpstandin.FaultSettings{LoseNextAnswers: 1})
	objects.StoreDocument(store)
	g.Expect(receive[rpcore.DocumentStored](t, events).Unavailable).To(BeTrue(), "lost answer")
	objects.StoreDocument(store)
	stored := receive[rpcore.DocumentStored](t, events)
	g.Expect(stored.Unavailable).To(BeFalse())
	g.Expect(stored.Submission).To(Equal("s1"))
	objects.LoadDocument(load)
	loaded := receive[rpcore.DocumentLoaded](t, events)
	g.Expect(loaded.Unavailable).To(BeFalse())
	g.Expect(loaded.Body).To(Equal(body))
	g.Expect(loaded.Version).To(Equal(uint64(3)))
}

// Guards against using a body other than the accepted one.
func TestWrongBodiesAreRejected(t *testing.T) {
	g := NewWithT(t)
	objects, _ := withObjects(t, withResponse(200, "another body"))
	_, err := objects.Load(t.Context(), documentHash([]byte("body")))
	g.Expect(err).To(BeAssignableToTypeOf(rpplatform.BodyError{}))
	_, err = objects.Load(t.Context(), "../secret")
	g.Expect(err).To(BeAssignableToTypeOf(rpplatform.BodyError{}))
	large := bytes.Repeat([]byte("x"), rpplatform.DocumentBodyLimit+1)
	g.Expect(objects.Store(t.Context(), documentHash(large), large)).To(BeAssignableToTypeOf(rpplatform.BodyError{}))
	objects, _ = withObjects(t, withResponse(200, string(large)))
	_, err = objects.Load(t.Context(), documentHash(large))
	g.Expect(err).To(BeAssignableToTypeOf(rpplatform.BodyError{}))
}
