package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/kv"
)

// Instances reads the platform's list of live and leaving instances. It lags
// what is true by seconds.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	answer, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/instances", timeout: c.timeout})
	if err != nil {
		return nil, fmt.Errorf("%w: instances: %v", kv.ErrUnavailable, err)
	}
	if answer.status != http.StatusOK {
		return nil, fmt.Errorf("%w: instances: status %d", kv.ErrUnavailable, answer.status)
	}
	var list []fleet.Instance
	if err := json.Unmarshal(answer.body, &list); err != nil {
		return nil, fmt.Errorf("%w: instances: %v", kv.ErrUnavailable, err)
	}
	return list, nil
}
