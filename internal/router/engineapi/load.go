// Package engineapi calls what engines offer to their routers besides serving requests.
//
//	load.go    GET /v1/load: how many requests an engine runs
//	orders.go  POST /v1/orders: what it is to hold
package engineapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// loadReport is an engine's answer to GET /v1/load.
type loadReport struct {
	// Running is nil if the answer lacks it.
	Running *int `json:"running"`
}

// Load returns how many requests an engine runs, whoever sent them. address is its host:port.
func Load(ctx context.Context, client *http.Client, address string) (int, error) {
	const maxReport = 4 << 10
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("router: load: status %d", resp.StatusCode)
	}
	var report loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&report); err != nil {
		return 0, fmt.Errorf("router: load: %w", err)
	}
	if report.Running == nil || *report.Running < 0 {
		return 0, errors.New("router: load: report without a load")
	}
	return *report.Running, nil
}
