// Package faults puts Toxiproxy links between the processes of a fleet, so that
// tests can cut, silence and hold up the traffic between any two of them.
package faults

import (
	"net"
	"sync"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Network is a set of links in front of processes. It is safe for concurrent use.
type Network struct {
	server *toxiproxy.ApiServer // never listens: links are made in this process

	mutex sync.Mutex
	links map[string]*Link
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		links:  map[string]*Link{},
	}
}

// Link is the way to one listening address. Requests pass the first gate and
// answers the second.
type Link struct {
	Requests *Gate
	Answers  *Gate
	proxy    *toxiproxy.Proxy
}

// Add opens a link to the target and returns the address on which it listens.
func (n *Network) Add(name, target string) (string, error) {
	proxy := toxiproxy.NewProxy(n.server, name, net.JoinHostPort("127.0.0.1", "0"), target)
	link := &Link{proxy: proxy, Requests: newGate(), Answers: newGate()}
	if err := link.addGates(); err != nil {
		return "", err
	}
	if err := proxy.Start(); err != nil {
		return "", errors.Wrap(err, "faults: start link "+name)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[name] = link
	return proxy.Listen, nil
}

// Link returns the link with the name, or nil.
func (n *Network) Link(name string) *Link {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links[name]
}

// Close ends every link.
func (n *Network) Close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.links {
		link.Requests.close()
		link.Answers.close()
		link.proxy.Stop()
	}
}
