package rig

// Config is a configuration of the form that the pages show: two streaming routes to a service
// of models, one that runs once and one that may be repeated to a plain service.
func Config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-brief", "host": Host, "path_prefix": "/pufi791/", "type": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 0, "service": LLM, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 300},
			map[string]any{"name": "r-chat", "host": Host, "path_prefix": "/volo102/", "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2, "service": LLM, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 300},
			map[string]any{"name": "r-check", "host": Host, "path_prefix": "/puxa403/", "type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": API, "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "r-fetch", "host": Host, "path_prefix": "/cufi504/", "type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": API, "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": LLM, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 232000, "kv_bytes": 327680, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 3, "most": 2,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": API, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []any{Key}, "priority": 1}},
	}
}

// The services of Config.
const (
	LLM = "huvo11a"
	API = "wuno96b"
)
