// Package fakes offers small stand-ins for the outside systems: the platform,
// model engines and plain services. They serve the demo, the experiments and
// the tests.
package fakes

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a stand-in on an address of its own.
type Server struct {
	listener net.Listener
	http     *http.Server
	ended    chan error
	failure  error
	closing  sync.Once
}

// Listen serves handler on address, which is IP:port; port 0 takes any free
// one.
func Listen(address string, handler http.Handler) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	server := &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
		ended:    make(chan error, 1),
	}
	go func() { server.ended <- server.http.Serve(listener) }()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Close closes the listener and all connections, and waits for the end. It may
// be called more than once.
func (server *Server) Close() {
	server.closing.Do(func() {
		_ = server.http.Close()
		if err := <-server.ended; !errors.Is(err, http.ErrServerClosed) {
			server.failure = err
		}
	})
}

// Err returns why the server ended, if not by Close.
func (server *Server) Err() error {
	return server.failure
}
