package node

import (
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/mesh"
	"mangopier.example/mangopier/internal/transport/mirror"
)

// readHeaderTimeout bounds reading the header of a request for the metrics or
// the mirror.
const readHeaderTimeout = 2 * time.Second

// startInternalServers serves the metrics and, to the peers, the mirror.
func (node *Node) startInternalServers() error {
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(node.registry, promhttp.HandlerOpts{}))
	if err := node.startInternalServer(node.settings.MetricsPort, metrics); err != nil {
		return err
	}
	mirrors := http.NewServeMux()
	mirrors.Handle(node.mirror.Handler())
	mirrors.Handle(node.detourServer.Handler())
	return node.startInternalServer(node.settings.PeerPort, mirrors)
}

func (node *Node) startInternalServer(port int, handler http.Handler) error {
	address := net.JoinHostPort(node.settings.IP, strconv.Itoa(port))
	listener, err := net.Listen("tcp", address) //nolint:noctx // at the start
	if err != nil {
		return code.Wrap(err, code.SettingsInvalid, "listen on internal port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	node.internalServers, node.internalDone = append(node.internalServers, server), append(node.internalDone, done)
	go func() {
		defer close(done)
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			node.logger.Error().Str("part", "node").Err(err).Int("port", port).Msg("internal server failed")
		}
	}()
	return nil
}

const (
	// maxDirectFollowers is the number of instances up to which all of them
	// follow the store directly.
	maxDirectFollowers = 12
	// mirrorsPerDataCenter is how many instances of a data centre follow the
	// store in a larger site, and serve the others there.
	mirrorsPerDataCenter = 2
	mirrorDuty           = "mirror"
)

// chooseMirror returns the address of a peer that serves the tables, empty if
// there is none, and whether the store is asked first.
func (node *Node) chooseMirror() (string, bool) {
	members := node.mesh.LiveMembers()
	if len(members) < maxDirectFollowers {
		return pickAddress(members, node.settings.Instance), true
	}
	names := []string{node.settings.Instance}
	var local []mesh.Member
	for _, member := range members {
		if member.DataCenter == node.settings.DataCenter {
			names = append(names, member.Instance)
			local = append(local, member)
		}
	}
	direct := lease.IsStandby(mirrorDuty, node.settings.Instance, names, mirrorsPerDataCenter)
	var mirrors []mesh.Member
	for _, member := range local {
		if lease.IsStandby(mirrorDuty, member.Instance, names, mirrorsPerDataCenter) {
			mirrors = append(mirrors, member)
		}
	}
	if len(mirrors) == 0 {
		return pickAddress(members, node.settings.Instance), true
	}
	return pickAddress(mirrors, node.settings.Instance), direct
}

// maxStoreWait returns how long a watch of the store may wait for changes.
func (node *Node) maxStoreWait() time.Duration {
	if len(node.mesh.LiveMembers()) < maxDirectFollowers {
		return math.MaxInt64 // nobody reads from this instance unless the store turned it away
	}
	return mirror.MaxServedWait
}

// pickAddress returns the address of one member, chosen by rendezvous hashing.
// The choice changes every few seconds, so that a member that does not serve
// the tables is not asked for long.
func pickAddress(members []mesh.Member, self string) string {
	if len(members) == 0 {
		return ""
	}
	const rotationSeconds = 5
	best, bestWeight := members[0], uint64(0)
	for _, member := range members {
		weight := xxhash.Sum64String(self + member.Instance + strconv.FormatInt(time.Now().Unix()/rotationSeconds, 10))
		if weight >= bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best.Address.String()
}
