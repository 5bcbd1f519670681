package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewMetrics returns a metrics scope, its closer and the HTTP handler that
// exports it.
func NewMetrics(log zerolog.Logger) (tally.Scope, interface{ Close() error }, http.Handler) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(err error) {
			log.Error().Str("event", "metric-not-registered").Err(err).Send()
		},
	})
	scope, metricsCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "balsamproxy",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, metricsInterval)
	return scope, metricsCloser, reporter.HTTPHandler()
}

func (daemon *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+daemon.platform.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if ready, reason := daemon.ready(); !ready {
			http.Error(writer, reason, http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (daemon *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", daemon.metricsExporter)
	return mux
}

// listen opens a TCP listener for each address, or none if one of them fails.
func listen(addresses ...string) ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range addresses {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, other := range opened {
				err = errors.Join(err, other.Close())
			}
			return nil, eris.Wrap(err, "mesh: cannot open listener")
		}
		opened = append(opened, listener)
	}
	return opened, nil
}
