package rplog_test

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
)

// Guards against a missing prefix, and against one that is inserted into a field
// whose value contains the text before the message.
func TestPrefix(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := rplog.New(&out, rplog.FormatJSON, rplog.Levels{}).Part("replicas")
	log.Info().Str("name", `x,"message":"y`).Msg(`The model ,"message":" is loaded.`)
	var entry map[string]string
	g.Expect(json.Unmarshal(out.Bytes(), &entry)).To(Succeed())
	g.Expect(entry).To(HaveKeyWithValue("part", "replicas"))
	g.Expect(entry).To(HaveKeyWithValue("name", `x,"message":"y`))
	g.Expect(entry).To(HaveKeyWithValue("message", `replicas: The model ,"message":" is loaded.`))

	out.Reset()
	console := rplog.New(&out, rplog.FormatConsole, rplog.Levels{}).Part("peer")
	console.Warn().Msg("The link broke.")
	g.Expect(out.String()).To(HaveSuffix("WRN peer: The link broke.\n"))
}

// Guards against a level that applies to the wrong part, and against an unknown
// part or level that is accepted.
func TestLevels(t *testing.T) {
	g := NewWithT(t)
	levels, err := rplog.ParseLevels("warn, requests=debug,peer=off")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(levels.Of("requests")).To(Equal(zerolog.DebugLevel))
	g.Expect(levels.Of("peer")).To(Equal(zerolog.Disabled))
	g.Expect(levels.Of("node")).To(Equal(zerolog.WarnLevel))
	g.Expect(rplog.Levels{}.Of("node")).To(Equal(zerolog.InfoLevel))

	flag, err := rplog.ParseLevels("peer=info")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(levels.Override(flag).Of("peer")).To(Equal(zerolog.InfoLevel))
	g.Expect(levels.Override(flag).Of("node")).To(Equal(zerolog.WarnLevel))

	_, err = rplog.ParseLevels("request=debug")
	g.Expect(err).To(MatchError(rplog.UnknownPartError{Name: "request"}))
	_, err = rplog.ParseLevels("requests=loud")
	g.Expect(err).To(MatchError(`"loud" is not a level. Write one of: debug, info, warn, error, off.`))
}
