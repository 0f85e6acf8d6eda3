package target

import (
	"encoding/json"
	"net/http"

	"filbertmill.example/testbed/admin"
)

// Admin returns the handler by which a test controls a stand-in that runs as a
// separate process:
//
//	PUT  /behavior  a Behavior in JSON
//	PUT  /schedule  a list of Steps in JSON
//	POST /leave
//	POST /crash
//	GET  /runs      the runs in JSON
func (t *Target) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /behavior", func(w http.ResponseWriter, r *http.Request) {
		var b Behavior
		if admin.Decode(w, r, &b) {
			t.Set(b)
		}
	})
	mux.HandleFunc("PUT /schedule", func(w http.ResponseWriter, r *http.Request) {
		var steps []Step
		if admin.Decode(w, r, &steps) {
			t.Schedule(steps)
		}
	})
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { t.Leave() })
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { t.Crash() })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(t.ledger.All())
	})
	return mux
}
