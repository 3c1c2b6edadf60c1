// Package fakes implements simplified versions of the external systems: the
// platform, model engines and plain services. The demo, the experiments and the
// tests run against them. Faults such as crashes, stalls and lost responses can be
// injected.
package fakes

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server for one fake.
type Server struct {
	listener   net.Listener
	httpServer *http.Server
	serveErr   chan error
	err        error
	closeOnce  sync.Once
}

// Listen starts a server for handler on address, given as IP:port. Port 0 selects
// a free port.
func Listen(address string, handler http.Handler) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		listener:   listener,
		httpServer: &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
		serveErr:   make(chan error, 1),
	}
	go func() { server.serveErr <- server.httpServer.Serve(listener) }()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Close closes the listener and all connections, and waits until the server has
// stopped. It may be called more than once.
func (server *Server) Close() {
	server.closeOnce.Do(func() {
		_ = server.httpServer.Close()
		if err := <-server.serveErr; !errors.Is(err, http.ErrServerClosed) {
			server.err = err
		}
	})
}

// Err returns the error with which the server stopped, or nil if it was stopped by
// Close. It is valid after Close.
func (server *Server) Err() error {
	return server.err
}
