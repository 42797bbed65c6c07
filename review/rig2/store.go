package rig2

import (
	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// Store is the project's stand-in of the platform's store.
type Store struct {
	*standin.Store
	Address string
	server  *standin.Server
}

// StartStore starts a store that holds a configuration.
func StartStore(config any) (*Store, error) {
	s := &Store{Store: standin.NewStore()}
	s.Put(platform.ConfigKey, config)
	var err error
	if s.server, err = standin.Serve("127.0.0.1:0", s.Handler("router")); err != nil {
		return nil, err
	}
	s.Address = s.server.Address
	return s, nil
}

// Close ends it.
func (s *Store) Close() { s.server.Close() }

// The only tenant, with its keys.
const (
	Tenant    = "hule930"
	Key       = "n2ctnfzs989anu6wsjnb"
	SecondKey = "anfqasnmgkcuyj8pjbvk"
)

// Host is that of all routes, Plain the plain service.
const (
	Host  = "ficu95.example"
	Plain = "wuno96b"
)

// TenantWith returns the tenant with keys.
func TenantWith(keys ...string) any {
	return map[string]any{"name": Tenant, "api_keys": append([]string{}, keys...), "priority": 1}
}

// PlainConfig is a configuration with one plain service and two routes to it, as on the small sites:
// /unsafe/ may run at most once, /safe/ may be repeated.
func PlainConfig(version uint64, tenants []any) any {
	const timeout, target = 4000, 300
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-unsafe", "host": Host, "path_prefix": "/unsafe/", "type": "non_idempotent", "timeout_ms": timeout, "target_latency_ms": target, "priority": 2, "service": Plain, "max_attempts": 1, "public": false},
			map[string]any{"name": "r-safe", "host": Host, "path_prefix": "/safe/", "type": "idempotent", "timeout_ms": timeout, "target_latency_ms": target, "priority": 2, "service": Plain, "max_attempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": Plain, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}
