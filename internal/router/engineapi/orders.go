package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// LoadOrder is the body of POST /v1/orders to an engine.
type LoadOrder struct {
	// Token is the fencing token: a target that checks refuses smaller ones.
	Token uint64 `json:"token"`
	// LoadAdapter is the adapter that the engine is to hold.
	LoadAdapter string `json:"load_adapter"`
}

// orderClient sends orders. A faulty target may answer with a head without an end.
var orderClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 32 << 10}}

// SendOrder sends an order to the engine at address, its host:port. An error does not tell that the order
// was not taken.
func SendOrder(ctx context.Context, address string, order LoadOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("router: order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("router: order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := orderClient.Do(req)
	if err != nil {
		return fmt.Errorf("router: order: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("router: order: status %d", resp.StatusCode)
	}
	return nil
}
