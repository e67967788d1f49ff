package rpcore

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpreducer"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpverdict"
)

// maxIdempotencyKeyBytes limits the idempotency key, which becomes part of a
// table key.
const maxIdempotencyKeyBytes = 255

// target is what a request resolves to in the document of its service.
type target struct {
	// key is the model or adapter. Its name is empty for a plain service.
	key ModelKey
	// model is the base model, and adapter the name of the adapter. Each is
	// empty if it doesn't apply.
	model   ModelKey
	adapter string
	version string
	rank    rpdocument.Rank
	// singleRun is set if the request may run only once.
	singleRun bool
}

// serviceState holds the current document of a service with an index of its
// models and adapters, and the queues of the service.
type serviceState struct {
	name     string
	document *rpdocument.Document
	models   map[string]*rpdocument.Model
	adapters map[string]*rpdocument.Adapter
	lanes    []*lane
	// waiting and credit have one entry for each rank queue: the number of
	// queued requests, and the credit that nextQueueIndex describes.
	waiting [rpdocument.RankCount]int
	credit  [rpdocument.RankCount]float64
	// lastServed is the value of requestView.dispatchCount at the last
	// dispatch. It orders services that share an endpoint.
	lastServed     uint64
	recentRequests rpreducer.DecayingSum
	recentRetries  rpreducer.DecayingSum
	meanRunTime    meanDuration
}

// serviceOf returns the state of a service with its current document, or nil if
// there is no document.
func (s *State) serviceOf(name string) *serviceState {
	document := s.requests.deps.document(s, name)
	if document == nil {
		return nil
	}
	service := s.requests.services[name]
	if service == nil {
		service = &serviceState{name: name}
		s.requests.services[name] = service
	}
	if service.document != document {
		service.indexDocument(document)
	}
	return service
}

func (service *serviceState) indexDocument(document *rpdocument.Document) {
	service.document = document
	service.models = make(map[string]*rpdocument.Model, len(document.Models))
	for i := range document.Models {
		service.models[document.Models[i].Name] = &document.Models[i]
	}
	service.adapters = make(map[string]*rpdocument.Adapter, len(document.Adapters))
	for i := range document.Adapters {
		service.adapters[document.Adapters[i].Name] = &document.Adapters[i]
	}
}

// resolveTarget finds the service and the target of a request. The credential
// is checked before the names, so that unauthorized callers can't find out
// which models exist.
func (s *State) resolveTarget(req *Request) (*serviceState, target, *rpverdict.Refusal) {
	key := ModelKey{Service: req.Service}
	if req.ModelName != "" {
		parsed, err := ParseModelKey(req.ModelName)
		if err != nil {
			return nil, target{}, newRefusal(rpverdict.CodeUnknownModel, err.Error())
		}
		key = parsed
	}
	if key.Service == "" {
		return nil, target{}, newRefusal(rpverdict.CodeMalformedRequest, "The request names no model and no service.")
	}
	service := s.serviceOf(key.Service)
	if service == nil {
		return nil, target{}, s.unknownServiceRefusal(key.Service)
	}
	if !isCallerAllowed(service.document, req.Credential) {
		return nil, target{}, newRefusal(rpverdict.CodeCallerNotAllowed,
			fmt.Sprintf("The document of service %s does not list this credential.", key.Service))
	}
	resolved, refusal := service.findTarget(key, req)
	if refusal != nil {
		return nil, target{}, refusal
	}
	if req.Rank != rpdocument.RankUnset {
		resolved.rank = req.Rank
	}
	if resolved.rank == rpdocument.RankUnset {
		resolved.rank = rpdocument.RankNormal
	}
	if resolved.rank.Index() < 0 {
		return nil, target{}, newRefusal(rpverdict.CodeInvalidHeader, "The rank does not exist.")
	}
	return service, resolved, nil
}

func (s *State) unknownServiceRefusal(name string) *rpverdict.Refusal {
	if !s.requests.deps.hasDocuments(s) {
		refusal := newRefusal(rpverdict.CodeNoDocument, "The instance has not learned the accepted documents yet.")
		refusal.RetryAfter = retryAfterDefault
		return refusal
	}
	return newRefusal(rpverdict.CodeUnknownService, fmt.Sprintf("No accepted document declares service %q.", name))
}

func isCallerAllowed(document *rpdocument.Document, credential string) bool {
	if len(document.Callers) == 0 {
		return true
	}
	return slices.ContainsFunc(document.Callers, func(caller string) bool {
		return strings.EqualFold(caller, credential)
	})
}

func (service *serviceState) findTarget(key ModelKey, req *Request) (target, *rpverdict.Refusal) {
	if key.Name == "" {
		return service.routeTarget(key, req)
	}
	if model, ok := service.models[key.Name]; ok {
		return target{
			key: key, model: key, version: model.Version,
			rank: model.Rank, singleRun: model.SingleRun,
		}, nil
	}
	if adapter, ok := service.adapters[key.Name]; ok {
		return service.adapterTarget(key, adapter)
	}
	return target{}, newRefusal(rpverdict.CodeUnknownModel,
		fmt.Sprintf("The document of service %s declares no model or adapter %q.", key.Service, key.Name))
}

func (service *serviceState) adapterTarget(key ModelKey, adapter *rpdocument.Adapter) (target, *rpverdict.Refusal) {
	base, ok := service.models[adapter.BaseModel]
	if !ok {
		return target{}, newRefusal(rpverdict.CodeUnknownModel,
			fmt.Sprintf("The base model %q of adapter %q is not declared.", adapter.BaseModel, adapter.Name))
	}
	resolved := target{
		key: key, model: ModelKey{Service: key.Service, Name: base.Name}, adapter: adapter.Name,
		version: adapter.Version, rank: adapter.Rank, singleRun: base.SingleRun,
	}
	if resolved.rank == rpdocument.RankUnset {
		resolved.rank = base.Rank
	}
	return resolved, nil
}

func (service *serviceState) routeTarget(key ModelKey, req *Request) (target, *rpverdict.Refusal) {
	if hasDotSegment(req.Path) {
		return target{}, newRefusal(rpverdict.CodeMalformedRequest, `The path has a segment "." or "..".`)
	}
	route := findRoute(service.document.Routes, req.Method, req.Path)
	if route == nil {
		return target{}, newRefusal(rpverdict.CodeUnknownRoute,
			fmt.Sprintf("The document of service %s has no route for %s %s.", service.name, req.Method, req.Path))
	}
	return target{key: key, rank: route.Rank, singleRun: !route.Repeatable}, nil
}

// hasDotSegment reports whether a path has a segment "." or "..", which an
// endpoint may resolve to another route than the one matched here.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// findRoute returns the route with the longest prefix among those that allow
// the method, or nil.
func findRoute(routes []rpdocument.Route, method, path string) *rpdocument.Route {
	path = withSlash(path)
	var best *rpdocument.Route
	for i := range routes {
		route := &routes[i]
		if !pathHasPrefix(path, withSlash(route.PathPrefix)) || !allowsMethod(route, method) {
			continue
		}
		if best == nil || len(withSlash(route.PathPrefix)) > len(withSlash(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// allowsMethod reports whether a route covers a method; a route that lists
// none covers all.
func allowsMethod(route *rpdocument.Route, method string) bool {
	return len(route.Methods) == 0 || slices.Contains(route.Methods, method)
}

func withSlash(path string) string {
	if strings.HasPrefix(path, "/") {
		return path
	}
	return "/" + path
}

// pathHasPrefix matches whole segments, so that a repeatable /order does not
// cover /order-charge.
func pathHasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func (s *State) checkIdempotencyKey(r *request) *rpverdict.Refusal {
	if !r.singleRun {
		return nil
	}
	if r.IdempotencyKey == "" {
		return newRefusal(rpverdict.CodeIdempotencyKeyRequired, "The document says that this request may run only once.")
	}
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return newRefusal(rpverdict.CodeInvalidHeader,
			fmt.Sprintf("Idempotency-Key is longer than %d bytes.", maxIdempotencyKeyBytes))
	}
	return nil
}
