package daemon

import "net/http"

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", d.metrics.Handler())
	return mux
}
