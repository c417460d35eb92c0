package engine

import (
	"crypto/subtle"
	"net/http"

	"github.com/boragelead/boragelead/api/endpoint"
)

// serveOrder starts the change to the state that an order asks for. The answer
// reports whether that state is reached. Weights are loaded in the background.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if !decodeBody(w, r, &order) {
		return
	}
	if !e.authorized(r) {
		writeRefusal(w, &refusal{http.StatusUnauthorized, endpoint.CodeUnauthorized, "the sender of the order is not accepted"})
		return
	}
	if !e.acceptFencingNumber(order.FencingNumber) {
		writeRefusal(w, &refusal{http.StatusConflict, endpoint.CodeStaleFencing, "a larger fencing number was seen"})
		return
	}
	done, refused := e.applyOrder(&order)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	e.triggerAnnounce()
	writeJSON(w, http.StatusOK, endpoint.OrderResult{Done: done})
}

func (e *Engine) authorized(r *http.Request) bool {
	if e.config.ControllerToken == "" {
		return true
	}
	token := r.Header.Get(endpoint.HeaderController)
	return subtle.ConstantTimeCompare([]byte(token), []byte(e.config.ControllerToken)) == 1
}

// acceptFencingNumber reports whether an order with the fencing number may be
// applied, and remembers the highest number.
func (e *Engine) acceptFencingNumber(number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencingNumber {
		return e.config.Fencing == endpoint.FencingIgnored
	}
	e.fencingNumber = number
	return true
}

func (e *Engine) applyOrder(order *endpoint.Order) (bool, *refusal) {
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
		e.startLeaving(0)
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.attempts) == 0, nil
	}
	return false, &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, "unknown kind of order"}
}

// load starts a download unless the weights are loaded already or are being
// loaded. It reports whether they are loaded.
func (e *Engine) load(order *endpoint.Order) (bool, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Kind == endpoint.OrderLoadAdapter && !e.hasModel(order.Model, order.Version, "") {
		return false, &refusal{http.StatusConflict, endpoint.CodeNoModel, "the model of the adapter is not loaded"}
	}
	adapter := order.Adapter
	if order.Kind == endpoint.OrderLoadModel {
		adapter = ""
	}
	if e.hasModel(order.Model, order.Version, adapter) {
		return true, nil
	}
	key := order.Model + "\x00" + order.Version + "\x00" + adapter
	if !e.loading[key] {
		e.loading[key] = true
		go e.download(key, order.Model, order.Version, adapter)
	}
	return false, nil
}

// download fetches weights and makes them usable. After a failure the order can
// be repeated.
func (e *Engine) download(key, model, version, adapter string) {
	var err error
	if e.config.Weights != nil {
		_, err = e.config.Weights.Fetch(e.ctx, model, version, adapter)
	}
	e.mu.Lock()
	delete(e.loading, key)
	if err == nil {
		e.addLoaded(model, version, adapter)
	}
	e.mu.Unlock()
	e.triggerAnnounce()
}

// addLoaded adds weights to the loaded models. The caller holds mu.
func (e *Engine) addLoaded(model, version, adapter string) {
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
		matches := m.Name == order.Model && (order.Version == "" || m.Version == order.Version)
		if matches && order.Kind == endpoint.OrderUnloadModel {
			continue
		}
		if matches {
			m.Adapters = withoutItem(m.Adapters, order.Adapter)
		}
		kept = append(kept, m)
	}
	e.models = kept
}

func withoutItem(list []string, s string) []string {
	var kept []string
	for _, item := range list {
		if item != s {
			kept = append(kept, item)
		}
	}
	return kept
}
