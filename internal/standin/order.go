package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is an order that an engine took.
type Order struct {
	Token       uint64 `json:"token"`
	LoadAdapter string `json:"load_adapter"`
}

// takeOrder takes an order to load an adapter, unless the engine checks tokens
// and has seen a larger one.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksOrders && o.Token < e.token {
		http.Error(w, "fenced", http.StatusConflict)
		return
	}
	e.token = max(e.token, o.Token)
	e.orders = append(e.orders, o)
}

// Orders returns the orders that the engine took.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
