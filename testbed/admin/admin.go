// Package admin holds what the admin handlers of the stand-ins share.
package admin

import (
	"encoding/json"
	"net/http"
)

// Decode reads a JSON body without unknown fields; on an error it answers 400
// and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
