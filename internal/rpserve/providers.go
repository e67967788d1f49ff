package rpserve

import (
	"context"

	"github.com/gravitational/trace"
	"go.uber.org/fx"

	"github.com/rattanpaddle/rattanpaddle/internal/rpendpoint"
	"github.com/rattanpaddle/rattanpaddle/internal/rpfront"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpmetric"
	"github.com/rattanpaddle/rattanpaddle/internal/rpnode"
	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/internal/rppeer"
	"github.com/rattanpaddle/rattanpaddle/internal/rpplatform"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpcore"
)

func newMetrics() *rpmetric.Metrics { return rpmetric.New() }

func newTimeline() *rptimeline.Recorder { return &rptimeline.Recorder{} }

func newNode(observer *observer, timeline *rptimeline.Recorder) *rpnode.Node {
	return &rpnode.Node{Observe: observer.observe, Record: timeline.Record}
}

func newEndpoints(log rplog.Log, node *rpnode.Node) *rpendpoint.Client {
	return &rpendpoint.Client{Post: node.Post, Log: log.Part("endpoint")}
}

func newCallerServer(settings *rpsettings.Settings, log rplog.Log, node *rpnode.Node, endpoints *rpendpoint.Client) *rpfront.Server {
	limits := settings.Limits
	return &rpfront.Server{
		Post:       node.Post,
		Models:     func(ctx context.Context) []rpfront.Model { return listModels(ctx, node) },
		RunAttempt: endpoints.Run,
		Limits: rpfront.Limits{
			BodyBytes:          int64(limits.RequestBodyBytes),
			HeaderBytes:        limits.RequestHeaderBytes,
			ReadHeaderTimeout:  duration(limits.HeaderTimeout),
			BodyTimeout:        duration(limits.BodyTimeout),
			IdleTimeout:        duration(limits.IdleTimeout),
			RequestsInProgress: limits.RequestsInProgress,
		},
		Log: log.Part("front"),
	}
}

// listModels returns the models and adapters of all documents in force.
func listModels(ctx context.Context, node *rpnode.Node) []rpfront.Model {
	var documents []rpcore.DocumentInForce
	if err := node.Query(ctx, func(s *rpcore.State) { documents = s.Documents() }); err != nil {
		return nil
	}
	var models []rpfront.Model
	for _, document := range documents {
		created := document.AcceptedAt.Unix()
		for i := range document.Document.Models {
			key := rpcore.ModelKey{Service: document.Service, Name: document.Document.Models[i].Name}
			models = append(models, rpfront.Model{Key: key, Created: created})
		}
		for i := range document.Document.Adapters {
			key := rpcore.ModelKey{Service: document.Service, Name: document.Document.Adapters[i].Name}
			models = append(models, rpfront.Model{Key: key, Created: created})
		}
	}
	return models
}

func platformAccess(settings *rpsettings.Settings, endpoint rpsettings.URL) rpplatform.Access {
	return rpplatform.Access{
		Endpoint:  endpoint.String(),
		Region:    settings.Platform.Region,
		AccessKey: settings.Platform.AccessKey.Reveal(),
		SecretKey: settings.Platform.SecretKey.Reveal(),
	}
}

func newTable(settings *rpsettings.Settings, log rplog.Log, node *rpnode.Node) *rpplatform.Table {
	return &rpplatform.Table{
		Access: platformAccess(settings, settings.Platform.TableEndpoint),
		Name:   settings.Platform.TableName,
		Post:   node.Post,
		Log:    log.Part("platform"),
	}
}

func newObjects(settings *rpsettings.Settings, log rplog.Log, node *rpnode.Node) *rpplatform.Objects {
	return &rpplatform.Objects{
		Access: platformAccess(settings, settings.Platform.ObjectEndpoint),
		Bucket: settings.Platform.Bucket,
		Post:   node.Post,
		Log:    log.Part("platform"),
	}
}

func newList(settings *rpsettings.Settings, start rpcore.Start, log rplog.Log, node *rpnode.Node) *rpplatform.List {
	return &rpplatform.List{
		Endpoint: settings.Platform.ListEndpoint.String(),
		Self: rpcore.Member{
			ID:            string(start.Self.Instance),
			Kind:          rpcore.MemberInstance,
			FailureDomain: start.Self.FailureDomain,
			Incarnation:   start.Self.Incarnation,
			Address:       settings.PeersAddress(),
		},
		Interval: duration(settings.Platform.ListInterval),
		Post:     node.Post,
		Log:      log.Part("platform"),
	}
}

func newLinks(settings *rpsettings.Settings, start rpcore.Start, log rplog.Log, node *rpnode.Node, timeline *rptimeline.Recorder) *rppeer.Links {
	return &rppeer.Links{
		Self:        start.Self.Instance,
		Listen:      settings.Listen.Peers.AddrPort,
		Credentials: rppeer.Credentials{Certificate: settings.TLS.Pair, Authority: settings.TLS.Pool},
		Post:        node.Post,
		Tick:        timeline.Tick,
		Merge:       timeline.Merge,
		Log:         log.Part("peer"),
	}
}

type operatorIn struct {
	fx.In

	Settings *rpsettings.Settings
	Log      rplog.Log
	Node     *rpnode.Node
	Metrics  *rpmetric.Metrics
	Observer *observer
	Timeline *rptimeline.Recorder
	Table    *rpplatform.Table
	Objects  *rpplatform.Objects
}

func newOperator(in operatorIn) *rpoperator.Server {
	node, metrics := in.Node, in.Metrics
	return &rpoperator.Server{
		Document:         func(service string) (rpoperator.InForce, bool) { return documentInForce(node, service) },
		Documents:        func() []rpcore.DocumentRow { return documentRows(node) },
		AcceptedRow:      in.Table.ReadDocumentRow,
		LoadBody:         in.Objects.Load,
		Post:             node.Post,
		Status:           func() any { return status(node) },
		Healthy:          func() error { return queryState(node, func(*rpcore.State) {}) },
		Timeline:         in.Timeline.Select,
		Ready:            in.Observer.ready,
		Metrics:          metrics.Handler(),
		BootstrapEditors: in.Settings.Operators.BootstrapEditors,
		Submitted:        metrics.SubmissionEnded,
		Log:              in.Log.Part("operator"),
	}
}

// queryState queries the state with a timeout, so that operators get an error if the
// event loop does not respond.
func queryState(node *rpnode.Node, query func(*rpcore.State)) error {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	return trace.Wrap(node.Query(ctx, query), "the event loop did not answer within %s", queryTimeout)
}

func documentInForce(node *rpnode.Node, service string) (rpoperator.InForce, bool) {
	var document rpcore.DocumentInForce
	var ok bool
	if err := queryState(node, func(s *rpcore.State) { document, ok = s.DocumentInForce(service) }); err != nil {
		return rpoperator.InForce{}, false
	}
	return rpoperator.InForce{Row: document.DocumentRow, Document: document.Document, Body: document.Body}, ok
}

func documentRows(node *rpnode.Node) []rpcore.DocumentRow {
	var rows []rpcore.DocumentRow
	_ = queryState(node, func(s *rpcore.State) {
		for _, document := range s.Documents() {
			rows = append(rows, document.DocumentRow)
		}
	})
	return rows
}

func status(node *rpnode.Node) rpcore.Status {
	var status rpcore.Status
	_ = queryState(node, func(s *rpcore.State) { status = s.Status() })
	return status
}
