package node

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangopier.example/mangopier/internal/protocol/code"
)

// scrapeTimeout bounds the head of a request for the metrics.
const scrapeTimeout = 2 * time.Second

// serveMetrics serves the metrics on a port for the site's own use.
func (node *Node) serveMetrics() error {
	address := net.JoinHostPort(node.settings.Address, strconv.Itoa(node.settings.MetricsPort))
	listener, err := net.Listen("tcp", address) //nolint:noctx // at the start
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "metrics port")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(node.registry, promhttp.HandlerOpts{}))
	node.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: scrapeTimeout}
	done := make(chan struct{})
	node.served = done
	go func() {
		defer close(done)
		if err := node.metrics.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			node.logger.Error().Str("part", "node").Err(err).Msg("metrics are not served")
		}
	}()
	return nil
}
