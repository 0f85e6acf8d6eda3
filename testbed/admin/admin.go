// Package admin holds helpers shared by the admin handlers of the stand-ins.
package admin

import (
	"encoding/json"
	"net/http"
)

// Decode decodes the JSON body of a request into v and rejects unknown fields.
// On an error it answers 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
