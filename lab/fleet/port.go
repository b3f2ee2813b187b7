package fleet

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Ports are drawn below the range from which systems give outgoing connections
// theirs, so that none is taken between the choice and its use.
const (
	firstPort    = 20000
	lastPort     = 32000
	portAttempts = 1000
)

// handedOut holds the addresses of every fleet of this process, so that two
// that start at the same time never share one.
var handedOut sync.Map

// freeAddresses returns count loopback addresses with different free ports.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portAttempts {
		if len(addresses) == count {
			return addresses, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !isFree(address) {
			continue
		}
		if _, taken := handedOut.LoadOrStore(address, true); !taken {
			addresses = append(addresses, address)
		}
	}
	return nil, errors.Errorf("fleet: found only %d of %d free ports", len(addresses), count)
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
