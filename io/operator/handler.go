// Package operator implements the HTTP API for operators: health checks, metrics
// and the configuration.
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
	// ConfigPath is the path for reading and replacing the configuration.
	ConfigPath = "/balsamproxy/v1/config"

	maxDocumentBytes  = 1 << 20
	readHeaderTimeout = 5 * time.Second
	bearerScheme      = "Bearer "
)

// Problem is the JSON body of an error response.
type Problem struct {
	Problem  string               `json:"problem"`
	Faults   []strictjson.Fault   `json:"faults,omitempty"`
	Revision balsamproxy.Revision `json:"revision,omitempty"`
	// Difference lists the changes made since the revision that the operator
	// based the document on.
	Difference []string `json:"difference,omitempty"`
}

// Configuration is the JSON form of the stored configuration document and its
// revision.
type Configuration struct {
	Revision balsamproxy.Revision `json:"revision"`
	Document json.RawMessage      `json:"document"`
}

// Accepted is the JSON body of the response after a document was stored.
type Accepted struct {
	Revision balsamproxy.Revision `json:"revision"`
	Status   Status               `json:"status"`
	// Missing lists the hosts that have not confirmed the document. If the
	// status is StatusAccepted nevertheless, they have no standing until they
	// hold it.
	Missing []balsamproxy.HostID `json:"missing,omitempty"`
}

// Status is the distribution status of a stored document.
type Status string

// Values of Status.
const (
	// StatusAccepted means that the document is in force on every daemon that
	// has standing.
	StatusAccepted Status = "accepted"
	// StatusStored means that the document is stored, but daemons with standing
	// may still use the previous one.
	StatusStored Status = "stored, not yet in force everywhere"
)

// Spreader distributes a stored document to all daemons.
type Spreader interface {
	// Spread waits for a limited time until a document is in force. It returns
	// the hosts that have not confirmed it, and whether it is in force.
	Spread(ctx context.Context, name store.DocumentName, revision balsamproxy.Revision) ([]balsamproxy.HostID, bool)
}

// Handler serves the API for operators. All fields except TokenDigest must be
// set.
type Handler struct {
	Editor  store.ConfigEditor
	Current *config.Current
	Spread  Spreader
	// TokenDigest is the digest of the operators' token. If it is empty, all
	// requests to ConfigPath are rejected.
	TokenDigest string
	// Ready reports whether the daemon can serve callers, and the reason if it
	// cannot.
	Ready func() (bool, string)
	// Metrics serves GET /metrics.
	Metrics http.Handler
}

// Server returns an HTTP server for the operators' listener.
func (handler *Handler) Server() *http.Server {
	return &http.Server{Handler: handler.Mux(), ReadHeaderTimeout: readHeaderTimeout}
}

// Mux returns the request multiplexer of the operators' listener.
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
	ready, reason := handler.Ready()
	if !ready {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// authorized wraps a handler so that it only runs for requests with the
// operators' token.
func (handler *Handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token, found := strings.CutPrefix(request.Header.Get("Authorization"), bearerScheme)
		digest := config.FormatDigest(token)
		if !found || handler.TokenDigest == "" || subtle.ConstantTimeCompare([]byte(digest), []byte(handler.TokenDigest)) != 1 {
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
	expected, err := strconv.ParseInt(request.URL.Query().Get("revision"), 10, 64)
	if err != nil || expected < 0 {
		writeJSON(writer, http.StatusBadRequest, Problem{Problem: "revision must be the number that the operator saw"})
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxDocumentBytes))
	if err != nil {
		writeJSON(writer, http.StatusRequestEntityTooLarge, Problem{Problem: "the document is too large or was cut off"})
		return
	}
	previous := handler.Current.AtRevision(balsamproxy.Revision(expected))
	revision, faults, err := handler.Editor.Apply(request.Context(), data, balsamproxy.Revision(expected))
	switch {
	case len(faults) > 0:
		writeJSON(writer, http.StatusUnprocessableEntity, Problem{Problem: "document refused", Faults: faults})
	case errors.Is(err, balsamproxy.ErrStoreConflict):
		handler.writeConflict(writer, request, previous)
	case errors.Is(err, balsamproxy.ErrStoreOutcomeUnknown):
		writeJSON(writer, http.StatusBadGateway, Problem{Problem: "the store's answer was lost; the document may be stored: read it before trying again"})
	case err != nil:
		writeJSON(writer, http.StatusServiceUnavailable, Problem{Problem: "the store gave no answer; nothing was stored: " + err.Error()})
	default:
		writeJSON(writer, http.StatusOK, handler.distribute(request.Context(), revision))
	}
}

// distribute sends a stored document to all daemons and returns the resulting
// status.
func (handler *Handler) distribute(ctx context.Context, revision balsamproxy.Revision) Accepted {
	missing, inForce := handler.Spread.Spread(ctx, store.DocumentConfig, revision)
	accepted := Accepted{Revision: revision, Status: StatusStored, Missing: missing}
	if inForce {
		accepted.Status = StatusAccepted
	}
	return accepted
}

// writeConflict responds with the current revision and, if previous is not nil,
// with the changes since then. Previous is the document at the revision that the
// operator saw; a daemon that already holds the other operator's document still
// knows the one before it.
func (handler *Handler) writeConflict(writer http.ResponseWriter, request *http.Request, previous *config.Index) {
	problem := Problem{Problem: "the configuration has changed since the revision that you saw; nothing was stored"}
	data, revision, err := handler.Editor.Read(request.Context())
	if err == nil {
		problem.Revision = revision
	}
	current, faults := config.Parse(data)
	if previous != nil && len(faults) == 0 {
		problem.Difference = config.Diff(previous.Document(), current)
	}
	writeJSON(writer, http.StatusConflict, problem)
}
