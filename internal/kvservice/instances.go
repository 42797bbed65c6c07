package kvservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/kv"
)

// List is a version of the platform's list.
type List struct {
	Instances []fleet.Instance
	// Tag names the version; it is handed back to learn of changes only.
	Tag string
}

// Instances reads the platform's list of live and leaving instances, which
// lags what is true by seconds. changed is false, and the list empty, while the
// version is still the one that tag names.
func (c *Client) Instances(ctx context.Context, tag string) (list List, changed bool, err error) {
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	answer, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/instances", header: header, timeout: c.timeout})
	if err != nil {
		return List{}, false, fmt.Errorf("%w: instances: %v", kv.ErrUnavailable, err)
	}
	switch answer.status {
	case http.StatusNotModified:
		return List{}, false, nil
	case http.StatusOK:
	default:
		return List{}, false, fmt.Errorf("%w: instances: status %d", kv.ErrUnavailable, answer.status)
	}
	list.Tag = answer.tag
	if err := json.Unmarshal(answer.body, &list.Instances); err != nil {
		return List{}, false, fmt.Errorf("%w: instances: %v", kv.ErrUnavailable, err)
	}
	if list.Instances == nil {
		return List{}, false, fmt.Errorf("%w: instances: no list", kv.ErrUnavailable)
	}
	return list, true, nil
}
