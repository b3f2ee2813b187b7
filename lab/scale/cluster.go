package scale

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/landingtrail/landingtrail/lab/fleet"
	"github.com/landingtrail/landingtrail/process/settings"
)

// Names of the processes, by which they are stopped in order.
const (
	prefixControl  = "control-"
	prefixProxy    = "proxy-"
	prefixRelay    = "relay-"
	prefixReplicas = "replicas-"
)

// replicasPerProcess keeps a process's descriptors (a listener and some
// connections for each replica) below the usual limit.
const replicasPerProcess = 2_500

// Ports of replicas lie below those that systems give to outgoing connections.
const (
	firstReplicaPort = 20_000
	lastReplicaPort  = 32_000
)

// cluster is what the hollow daemons run beside: real members and proxies, and
// replicas in processes of their own.
type cluster struct {
	// feeds are those of the members, or of the relays where there are any.
	feeds     []string
	operators []string
	port      int // of every replica
	// members, relays, proxies and replicas are process IDs; a cluster inside
	// this process has none.
	members  []int
	relays   []int
	proxies  []int
	replicas []int
	stop     func() error
	context  context.Context
}

// processes lists the run's processes, this one first.
func (c *cluster) processes() []int {
	return slices.Concat([]int{os.Getpid()}, c.members, c.relays, c.proxies, c.replicas)
}

// memberFile and those below are the settings that differ from the defaults.
type memberFile struct {
	Control struct {
		Name          string
		Group         string
		DataDirectory string            `yaml:"dataDirectory"`
		Members       []settings.Member `yaml:"members"`
		EngineSilence time.Duration     `yaml:"engineSilence"`
		Planner       string            `yaml:"planner"`
	}
}

type proxyFile struct {
	Proxy struct {
		Name         string
		Zone         string
		Address      string
		AdminAddress string `yaml:"adminAddress"`
		Control      []string
	}
}

type relayFile struct {
	Relay struct {
		Name         string
		Zone         string
		FeedAddress  string `yaml:"feedAddress"`
		AdminAddress string `yaml:"adminAddress"`
		Control      []string
	}
}

// launcher starts a cluster's processes.
type launcher struct {
	config  Config
	folder  string
	run     *fleet.Supervisor
	cluster *cluster
	free    []string
}

// launch starts members, replicas and proxies as processes.
func launch(ctx context.Context, config Config, replicas int) (*cluster, error) {
	folder, err := os.MkdirTemp(config.Data, "landingtrail-scale-")
	if err != nil {
		return nil, errors.Wrap(err, "scale: make data folder")
	}
	l := &launcher{
		config:  config,
		folder:  folder,
		run:     fleet.NewSupervisor(ctx, filepath.Join(folder, "logs")),
		cluster: &cluster{port: firstReplicaPort + rand.IntN(lastReplicaPort-firstReplicaPort)},
	}
	l.cluster.stop = l.stop
	l.cluster.context = l.run.Context()
	if err := l.startAll(replicas); err != nil {
		_ = l.stop() // the first failure counts
		return nil, l.run.Explain(errors.Wrap(err, "scale: start"))
	}
	return l.cluster, nil
}

func (l *launcher) startAll(replicas int) error {
	if err := l.startReplicas(replicas); err != nil {
		return err
	}
	free, err := fleet.FreeAddresses(3*l.config.Voters + 2*l.config.Relays + 2*l.config.Proxies)
	if err != nil {
		return err
	}
	l.free = free
	if err := l.startMembers(); err != nil {
		return err
	}
	if err := l.startRelays(); err != nil {
		return err
	}
	if err := l.startProxies(); err != nil {
		return err
	}
	for _, address := range l.cluster.operators {
		if err := waitDial(l.run.Context(), address); err != nil {
			return err
		}
	}
	return nil
}

func (l *launcher) next() string {
	address := l.free[0]
	l.free = l.free[1:]
	return address
}

func (l *launcher) startReplicas(replicas int) error {
	for first := 0; first < replicas; first += replicasPerProcess {
		count := min(replicasPerProcess, replicas-first)
		pid, err := l.run.Start(prefixReplicas+strconv.Itoa(first), l.config.Lab, "replicas",
			"--first", strconv.Itoa(first), "--count", strconv.Itoa(count), "--port", strconv.Itoa(l.cluster.port))
		if err != nil {
			return err
		}
		l.cluster.replicas = append(l.cluster.replicas, pid)
		if err := waitDial(l.run.Context(), replicaAddress(first+count-1, l.cluster.port)); err != nil {
			return err
		}
	}
	return nil
}

func (l *launcher) startMembers() error {
	var members []settings.Member
	for i := range l.config.Voters {
		members = append(members, settings.Member{
			Name:            prefixControl + strconv.Itoa(i+1),
			Zone:            zoneName(i),
			PeerAddress:     l.next(),
			FeedAddress:     l.next(),
			OperatorAddress: l.next(),
		})
	}
	for _, member := range members {
		var file memberFile
		file.Control.Name = member.Name
		file.Control.Group = "scale"
		file.Control.DataDirectory = filepath.Join(l.folder, member.Name)
		file.Control.Members = members
		file.Control.EngineSilence = l.config.EngineSilence
		file.Control.Planner = l.config.Planner
		pid, err := l.startDaemon(member.Name, "control", file)
		if err != nil {
			return err
		}
		l.cluster.members = append(l.cluster.members, pid)
		l.cluster.feeds = append(l.cluster.feeds, member.FeedAddress)
		l.cluster.operators = append(l.cluster.operators, member.OperatorAddress)
	}
	return nil
}

// startRelays makes the daemons follow relays, one in each zone in turn.
func (l *launcher) startRelays() error {
	var feeds []string
	for i := range l.config.Relays {
		var file relayFile
		file.Relay.Name = prefixRelay + strconv.Itoa(i+1)
		file.Relay.Zone = zoneName(i)
		file.Relay.FeedAddress = l.next()
		file.Relay.AdminAddress = l.next()
		file.Relay.Control = l.cluster.feeds
		pid, err := l.startDaemon(file.Relay.Name, "relay", file)
		if err != nil {
			return err
		}
		l.cluster.relays = append(l.cluster.relays, pid)
		feeds = append(feeds, file.Relay.FeedAddress)
	}
	if len(feeds) > 0 {
		l.cluster.feeds = feeds
	}
	return nil
}

func (l *launcher) startProxies() error {
	for i := range l.config.Proxies {
		var file proxyFile
		file.Proxy.Name = prefixProxy + strconv.Itoa(i+1)
		file.Proxy.Zone = zoneName(i)
		file.Proxy.Address = l.next()
		file.Proxy.AdminAddress = l.next()
		file.Proxy.Control = l.cluster.feeds
		pid, err := l.startDaemon(file.Proxy.Name, "proxy", file)
		if err != nil {
			return err
		}
		l.cluster.proxies = append(l.cluster.proxies, pid)
	}
	return nil
}

func (l *launcher) startDaemon(name, command string, file any) (int, error) {
	text, err := yaml.Marshal(file)
	if err != nil {
		return 0, errors.Wrap(err, "scale: write settings")
	}
	path := filepath.Join(l.folder, name+".yaml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return 0, errors.Wrap(err, "scale: write settings")
	}
	return l.run.Start(name, l.config.Product, command, "--settings", path)
}

// stop ends everything and removes the data.
func (l *launcher) stop() error {
	var failures []error
	for _, prefix := range []string{prefixProxy, prefixRelay, prefixControl, prefixReplicas} {
		failures = append(failures, l.run.Stop(prefix)...)
	}
	if l.config.Data == "" {
		_ = os.RemoveAll(l.folder) // it lies in the system's temporary folder
	}
	if len(failures) > 0 {
		return errors.Errorf("scale: stop: %v", failures)
	}
	return nil
}

// waitDial returns once the address takes connections.
func waitDial(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return errors.Wrap(fleet.WaitDial(ctx, address), "scale: not ready in time")
}
