package rplog

// Part is a part of the program that has its own logger.
type Part struct {
	Name string
	// Help describes what the part logs.
	Help string
}

// Parts lists all parts. The notes of the reducers belong to the first five.
var Parts = []Part{
	{"requests", "requests of callers: queues, attempts, refusals"},
	{"replicas", "loads and unloads of models and adapters"},
	{"documents", "service documents: accepted, received, in force"},
	{"members", "instances and endpoints that join, leave or fail"},
	{"accounts", "client accounts: keys and quotas"},
	{"claims", "requests that may run only once"},
	{"front", "the HTTP interface for callers"},
	{"operator", "the HTTP interface for operators"},
	{"endpoint", "the clients of engines and plain services"},
	{"peer", "the links to other instances"},
	{"platform", "the clients of the table, the object store and the instance list"},
	{"node", "the event loop, start and planned stop"},
	{"standin", "the stand-ins"},
	{"load", "the load generator"},
	{"demo", "the embedded demo deployment"},
}

func isPart(name string) bool {
	for _, part := range Parts {
		if part.Name == name {
			return true
		}
	}
	return false
}

func partNames() []string {
	names := make([]string, len(Parts))
	for i, part := range Parts {
		names[i] = part.Name
	}
	return names
}
