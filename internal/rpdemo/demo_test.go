package rpdemo

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rpstandin"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

// smallDeployment starts quickly.
var smallDeployment = Deployment{
	Name:           "small",
	Domains:        []rpcore.FailureDomain{"one", "two"},
	Services:       []Service{{Name: "assistant", Engines: 2, Models: 4, Adapters: 2, PlainEndpoints: 1}},
	LoadsPerSecond: 12,
	LoadsAtOnce:    4,
}

// withCluster starts a deployment and waits until its documents are in force.
func withCluster(t *testing.T, deployment Deployment) *cluster {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{deployment: deployment, network: freeNetwork()}
	t.Cleanup(func() {
		c.stopInstances()
		stop()
		c.wg.Wait()
	})
	g.Expect(c.start(ctx)).To(Succeed())
	g.Expect(checkDocuments(ctx, c).Problem).To(BeEmpty())
	return c
}

// Guards against a callers' interface that the official OpenAI client library can't
// use. The library must list the models and stream a whole answer from a model that
// is loaded on demand.
func TestOpenAIClientStreams(t *testing.T) {
	g := NewWithT(t)
	c := withCluster(t, smallDeployment)
	client := openai.NewClient(
		option.WithBaseURL(fmt.Sprintf("http://%s/v1", c.instances[1].callers)),
		option.WithAPIKey("none"),
	)
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:     "assistant/" + modelName(1),
		MaxTokens: openai.Int(40),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("whole answer")},
	})
	var got strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Delta.Content)
		}
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	var want strings.Builder
	for i := range 40 {
		want.WriteString(rpstandin.EngineToken("user\x00whole answer\x00", i))
	}
	g.Expect(got.String()).To(Equal(want.String()))

	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data).To(HaveLen(6))
}

// Guards against an instance that accepts a document with a credential that is not
// an editor's, such as that of a caller or another team.
func TestForeignCredentialIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := withCluster(t, smallDeployment)
	client := rpoperator.Client{Address: c.instances[0].operators, Credential: "another team"}
	_, err := client.Accept(t.Context(), "assistant", 1, smallDeployment.Services[0].documentText(credentialHash()))
	g.Expect(err).To(HaveField("Code", rpoperator.CodeCredentialNotAllowed))
}

// Guards against a demo that reports success although a check failed or none ran.
func TestReportFails(t *testing.T) {
	g := NewWithT(t)
	report := Report{Checks: []Check{{Name: "a"}, {Name: "b", Problem: "it failed"}}}
	g.Expect(report.Passed()).To(BeFalse())
	g.Expect(Report{}.Passed()).To(BeFalse())
	var out bytes.Buffer
	g.Expect(report.WriteText(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("1 checks passed, 1 failed"))
}
