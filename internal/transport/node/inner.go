package node

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/mesh"
)

// headTimeout bounds the head of a request for the metrics or the mirror.
const headTimeout = 2 * time.Second

// serveInner serves the metrics and, to the other instances, the mirror.
func (node *Node) serveInner() error {
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(node.registry, promhttp.HandlerOpts{}))
	if err := node.serve(node.settings.MetricsPort, metrics); err != nil {
		return err
	}
	mirrors := http.NewServeMux()
	mirrors.Handle(node.mirror.Handler())
	return node.serve(node.settings.PeerPort, mirrors)
}

func (node *Node) serve(port int, handler http.Handler) error {
	address := net.JoinHostPort(node.settings.Address, strconv.Itoa(port))
	listener, err := net.Listen("tcp", address) //nolint:noctx // at the start
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "inner port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout}
	done := make(chan struct{})
	node.inner, node.served = append(node.inner, server), append(node.served, done)
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			node.logger.Error().Str("part", "node").Err(err).Int("port", port).Msg("inner port is not served")
		}
	}()
	return nil
}

const (
	// directMost is the number of instances up to which all follow the store.
	directMost = 12
	// mirrorsPerPlace is how many instances of a data centre follow the store
	// in a larger site, and serve the others there.
	mirrorsPerPlace = 2
	mirrorDuty      = "mirror"
)

// chooseMirror returns the address of an instance that serves the tables, and
// whether the store is to be asked first.
func (node *Node) chooseMirror() (string, bool) {
	members := node.mesh.Members()
	if len(members) < directMost {
		return anyOf(members, node.settings.Instance), true
	}
	names := []string{node.settings.Instance}
	var near []mesh.Member
	for _, member := range members {
		if member.DataCenter == node.settings.DataCenter {
			names = append(names, member.Instance)
			near = append(near, member)
		}
	}
	direct := lease.Standby(mirrorDuty, node.settings.Instance, names, mirrorsPerPlace)
	var mirrors []mesh.Member
	for _, member := range near {
		if lease.Standby(mirrorDuty, member.Instance, names, mirrorsPerPlace) {
			mirrors = append(mirrors, member)
		}
	}
	if len(mirrors) == 0 {
		return anyOf(members, node.settings.Instance), true
	}
	return anyOf(mirrors, node.settings.Instance), direct
}

// anyOf returns the address of a member, another one every few seconds, so
// that one which serves nothing is not asked for long.
func anyOf(members []mesh.Member, self string) string {
	if len(members) == 0 {
		return ""
	}
	const turn = 5 // seconds
	best, bestWeight := members[0], uint64(0)
	for _, member := range members {
		weight := xxhash.Sum64String(self + member.Instance + strconv.FormatInt(time.Now().Unix()/turn, 10))
		if weight >= bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best.Address.String()
}
