package relay

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// responseStartedError marks an error that occurred after the response had started.
type responseStartedError struct{ err error }

func (started *responseStartedError) Error() string { return started.err.Error() }
func (started *responseStartedError) Unwrap() error { return started.err }

func hasResponseStarted(err error) bool {
	var started *responseStartedError
	return errors.As(err, &started)
}

func writeOK(w http.ResponseWriter, contentType string, body []byte) {
	header := w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the caller's team may use.
func (relay *Relay) serveModels(w http.ResponseWriter, r *http.Request, catalog *note.Catalog) error {
	if r.Method != http.MethodGet {
		return code.Errorf(code.MethodNotAllowed, "%s is not GET", r.Method)
	}
	caller, err := relay.authenticate(r, catalog)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range catalog.Models {
		if checkAccess(caller.team, model.Name) == nil {
			list.Data = append(list.Data, modelItem{ID: model.Name, Object: "model", Created: time.Now().Unix(), OwnedBy: "mangopier"})
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return code.Wrap(err, code.Internal, "encode models")
	}
	writeOK(w, "application/json", body)
	return nil
}
