// Package operator serves operators: health, metrics and the configuration.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/strictjson"
	"balsamproxy/io/store"
)

const (
	// ConfigPath is where the configuration is read and replaced.
	ConfigPath = "/balsamproxy/v1/config"

	documentMax       = 1 << 20
	readHeaderTimeout = 5 * time.Second
	bearerScheme      = "Bearer "
)

// Problem is the JSON answer to a query or command that failed.
type Problem struct {
	Problem  string               `json:"problem"`
	Faults   []strictjson.Fault   `json:"faults,omitempty"`
	Revision balsamproxy.Revision `json:"revision,omitempty"`
	// Difference lists what another operator changed since the revision
	// that this one saw.
	Difference []string `json:"difference,omitempty"`
}

// Configuration is the JSON form of a document with its revision.
type Configuration struct {
	Revision balsamproxy.Revision `json:"revision"`
	Document json.RawMessage      `json:"document"`
}

// Accepted is the JSON answer to a document that was stored.
type Accepted struct {
	Revision balsamproxy.Revision `json:"revision"`
	Status   Status               `json:"status"`
	// Missing are the hosts that are not known to hold the document. If it
	// is accepted all the same, they have no standing without it.
	Missing []balsamproxy.HostID `json:"missing,omitempty"`
}

// Status tells what became of a document.
type Status string

// Kinds of status.
const (
	// StatusAccepted says that the document is in force on every daemon that
	// has standing.
	StatusAccepted Status = "accepted"
	// StatusStored says that the document is stored, but that daemons with
	// standing may still use the one before.
	StatusStored Status = "stored, not yet in force everywhere"
)

// Spreader brings a stored document into force on all daemons.
type Spreader interface {
	// Spread waits until a document is in force. It returns the hosts that
	// are not known to hold it, and whether it is in force.
	Spread(ctx context.Context, name store.DocumentName, revision balsamproxy.Revision) ([]balsamproxy.HostID, bool)
}

// Handler serves operators. Its fields must be set.
type Handler struct {
	Editor  store.ConfigEditor
	Current *config.Current
	Spread  Spreader
	// TokenDigest is the digest of the operators' token; empty refuses all
	// queries and commands of operators.
	TokenDigest string
	// Ready says whether the daemon can serve callers, and why not.
	Ready func() (bool, string)
	// Metrics serves the counters.
	Metrics http.Handler
}

// Server returns an HTTP server for operators.
func (handler *Handler) Server() *http.Server {
	return &http.Server{Handler: handler.Mux(), ReadHeaderTimeout: readHeaderTimeout}
}

// Mux returns the routes of the operators' listener.
func (handler *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", handler.serveReady)
	mux.Handle("GET /metrics", handler.Metrics)
	mux.HandleFunc("GET "+ConfigPath, handler.authorized(handler.serveConfig))
	mux.HandleFunc("PUT "+ConfigPath, handler.authorized(handler.serveApply))
	return mux
}

func serveHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(writer, "ok\n")
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request) {
	ready, why := handler.Ready()
	if !ready {
		http.Error(writer, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// authorized lets only requests with the operators' token through.
func (handler *Handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token, found := strings.CutPrefix(request.Header.Get("Authorization"), bearerScheme)
		shown := config.FormatDigest(token)
		if !found || handler.TokenDigest == "" || subtle.ConstantTimeCompare([]byte(shown), []byte(handler.TokenDigest)) != 1 {
			writeJSON(writer, http.StatusUnauthorized, Problem{Problem: "the operators' token is missing or wrong"})
			return
		}
		next(writer, request)
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (handler *Handler) serveConfig(writer http.ResponseWriter, request *http.Request) {
	document, revision, err := handler.Editor.Read(request.Context())
	if err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, Problem{Problem: "the store gave no answer: " + err.Error()})
		return
	}
	if revision == 0 {
		document = []byte("null")
	}
	writeJSON(writer, http.StatusOK, Configuration{Revision: revision, Document: document})
}

func (handler *Handler) serveApply(writer http.ResponseWriter, request *http.Request) {
	seen, err := strconv.ParseInt(request.URL.Query().Get("revision"), 10, 64)
	if err != nil || seen < 0 {
		writeJSON(writer, http.StatusBadRequest, Problem{Problem: "revision must be the number that the operator saw"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, documentMax))
	if err != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, Problem{Problem: "the document is too large or was cut off"})
		return
	}
	before := handler.Current.AtRevision(balsamproxy.Revision(seen))
	revision, faults, err := handler.Editor.Apply(request.Context(), data, balsamproxy.Revision(seen))
	switch {
	case len(faults) > 0:
		writeJSON(writer, http.StatusUnprocessableEntity, Problem{Problem: "document refused", Faults: faults})
	case errors.Is(err, balsamproxy.ErrStoreConflict):
		handler.writeConflict(writer, request, before)
	case errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown):
		writeJSON(writer, http.StatusBadGateway, Problem{Problem: "the store's answer was lost; the document may be stored: read it before trying again"})
	case err != nil:
		writeJSON(writer, http.StatusServiceUnavailable, Problem{Problem: "the store gave no answer; nothing was stored: " + err.Error()})
	default:
		writeJSON(writer, http.StatusOK, handler.accept(request.Context(), revision))
	}
}

// accept brings a stored document into force and tells how far that went.
func (handler *Handler) accept(ctx context.Context, revision balsamproxy.Revision) Accepted {
	missing, inForce := handler.Spread.Spread(ctx, store.DocumentConfig, revision)
	accepted := Accepted{Revision: revision, Status: StatusStored, Missing: missing}
	if inForce {
		accepted.Status = StatusAccepted
	}
	return accepted
}

// writeConflict shows what stands now, and what changed since the revision
// that the operator saw if this daemon still knows that one: a daemon that has
// the other operator's document already knows the one before it.
func (handler *Handler) writeConflict(writer http.ResponseWriter, request *http.Request, before *config.Index) {
	problem := Problem{Problem: "the configuration has changed since the revision that you saw; nothing was stored"}
	data, revision, err := handler.Editor.Read(request.Context())
	if err == nil {
		problem.Revision = revision
	}
	standing, faults := config.Parse(data)
	if before != nil && len(faults) == 0 {
		problem.Difference = config.Diff(before.Document(), standing)
	}
	writeJSON(writer, http.StatusConflict, problem)
}
