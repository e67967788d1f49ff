package main

// host is the host of all routes.
const host = "shop.example"

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	maxAttempts           int
	resumable             bool
	targetMs, timeoutMs   int
}

// putConfig writes a configuration as the operator does. models are those of the
// service named engines, whose engines hold one model at a time.
func (d *drill) putConfig(version int, routes []route, models []string, services ...string) error {
	rows := make([]map[string]any, len(routes))
	for i, r := range routes {
		rows[i] = map[string]any{
			"name": "r" + r.prefix, "host": host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": r.targetMs, "gap_target_ms": 600, "priority": 0, "service": r.service,
			"max_attempts": r.maxAttempts, "resumable": r.resumable, "sticky": r.kind == "stream",
		}
	}
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_conns": 110})
	}
	if len(models) > 0 {
		specs := []map[string]any{}
		for _, name := range models {
			specs = append(specs, map[string]any{
				"name": name, "weights_mb": 72700, "load_s": 6, "warm_s": 0.2, "disk_load_s": 0.3, "adapters": 0, "adapter_mb": 66,
			})
		}
		list = append(list, map[string]any{"name": "engines", "health_path": "/health", "max_conns": 370, "engine": map[string]any{
			"slots": 64, "kv_capacity": 224170, "weights_mb": 80000, "adapter_slots": 8, "loads_per_s": 6.2, "models": specs,
		}})
	}
	return d.store.Put("op", "config", map[string]any{
		"version": version, "routes": rows, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
