package faultproxy

import (
	"net/http"

	"filbertmill.example/testbed/admin"
)

// Admin returns the handler by which a test controls a proxy that runs as a
// separate process. DIRECTION is to_upstream or to_caller:
//
//	PUT  /faults/DIRECTION   a Fault in JSON
//	POST /release/DIRECTION  with ?order=reversed, the newest segment first
//	POST /cut
//	PUT  /refuse             true or false
func (p *Proxy) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults/{direction}", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if d, ok := directionOf(w, r); ok && admin.Decode(w, r, &f) {
			p.Set(d, f)
		}
	})
	mux.HandleFunc("POST /release/{direction}", func(w http.ResponseWriter, r *http.Request) {
		d, ok := directionOf(w, r)
		if !ok {
			return
		}
		order := InOrder
		if r.URL.Query().Get("order") == "reversed" {
			order = Reversed
		}
		p.Release(d, order)
	})
	mux.HandleFunc("POST /cut", func(http.ResponseWriter, *http.Request) { p.Cut() })
	mux.HandleFunc("PUT /refuse", func(w http.ResponseWriter, r *http.Request) {
		var refuse bool
		if admin.Decode(w, r, &refuse) {
			p.Refuse(refuse)
		}
	})
	return mux
}

// directionOf returns the direction that the path names, or answers 404.
func directionOf(w http.ResponseWriter, r *http.Request) (Direction, bool) {
	switch r.PathValue("direction") {
	case "to_upstream":
		return ToUpstream, true
	case "to_caller":
		return ToCaller, true
	}
	http.Error(w, "direction must be to_upstream or to_caller", http.StatusNotFound)
	return 0, false
}
