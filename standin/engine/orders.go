package engine

import (
	"crypto/subtle"
	"net/http"

	"github.com/boragelead/boragelead/api/endpoint"
)

// serveOrder brings the engine towards the wanted state. The answer says
// whether that state is reached; loading goes on in the background.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if !decode(w, r, &order) {
		return
	}
	if !e.authorized(r) {
		refuse(w, &refusal{http.StatusUnauthorized, endpoint.CodeUnauthorized, "the sender of the order is not accepted"})
		return
	}
	if !e.fence(order.FencingNumber) {
		refuse(w, &refusal{http.StatusConflict, endpoint.CodeStaleFencing, "a larger fencing number was seen"})
		return
	}
	done, refused := e.apply(&order)
	if refused != nil {
		refuse(w, refused)
		return
	}
	e.announceSoon()
	answer(w, http.StatusOK, endpoint.OrderResult{Done: done})
}

func (e *Engine) authorized(r *http.Request) bool {
	if e.config.ControllerToken == "" {
		return true
	}
	given := r.Header.Get(endpoint.HeaderController)
	return subtle.ConstantTimeCompare([]byte(given), []byte(e.config.ControllerToken)) == 1
}

// fence reports whether an order with the fencing number may be applied.
func (e *Engine) fence(number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencing {
		return e.config.Fencing == endpoint.FencingIgnored
	}
	e.fencing = number
	return true
}

func (e *Engine) apply(order *endpoint.Order) (bool, *refusal) {
	switch order.Kind {
	case endpoint.OrderLoadModel, endpoint.OrderLoadAdapter:
		return e.load(order)
	case endpoint.OrderUnloadModel, endpoint.OrderUnloadAdapter:
		e.unload(order)
		return true, nil
	case endpoint.OrderSetRole:
		e.mu.Lock()
		e.role = order.Role
		e.mu.Unlock()
		return true, nil
	case endpoint.OrderDrain:
		e.leave(0)
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.attempts) == 0, nil
	}
	return false, &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, "unknown kind of order"}
}

// load starts a download unless the wanted state is reached or under way.
func (e *Engine) load(order *endpoint.Order) (bool, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Kind == endpoint.OrderLoadAdapter && !e.holds(order.Model, order.Version, "") {
		return false, &refusal{http.StatusConflict, endpoint.CodeNoModel, "the model of the adapter is not loaded"}
	}
	adapter := order.Adapter
	if order.Kind == endpoint.OrderLoadModel {
		adapter = ""
	}
	if e.holds(order.Model, order.Version, adapter) {
		return true, nil
	}
	name := order.Model + "\x00" + order.Version + "\x00" + adapter
	if !e.loading[name] {
		e.loading[name] = true
		go e.download(name, order.Model, order.Version, adapter)
	}
	return false, nil
}

// download fetches weights and makes them usable. A failed one can be ordered again.
func (e *Engine) download(name, model, version, adapter string) {
	var err error
	if e.config.Weights != nil {
		_, err = e.config.Weights.Fetch(e.ctx, model, version, adapter)
	}
	e.mu.Lock()
	delete(e.loading, name)
	if err == nil {
		e.add(model, version, adapter)
	}
	e.mu.Unlock()
	e.announceSoon()
}

// add enters loaded weights. The caller holds mu.
func (e *Engine) add(model, version, adapter string) {
	if adapter == "" {
		e.models = append(cloneModels(e.models), endpoint.LoadedModel{Name: model, Version: version})
		return
	}
	models := cloneModels(e.models)
	for i := range models {
		if models[i].Name == model && (version == "" || models[i].Version == version) {
			models[i].Adapters = append(models[i].Adapters, adapter)
		}
	}
	e.models = models
}

func (e *Engine) unload(order *endpoint.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []endpoint.LoadedModel
	for _, m := range cloneModels(e.models) {
		named := m.Name == order.Model && (order.Version == "" || m.Version == order.Version)
		if named && order.Kind == endpoint.OrderUnloadModel {
			continue
		}
		if named {
			m.Adapters = without(m.Adapters, order.Adapter)
		}
		kept = append(kept, m)
	}
	e.models = kept
}

func without(list []string, s string) []string {
	var kept []string
	for _, item := range list {
		if item != s {
			kept = append(kept, item)
		}
	}
	return kept
}
