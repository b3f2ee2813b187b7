package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// Files of a deployment's folder.
const (
	controlFile = "control.yaml"
	proxyFile   = "proxy.yaml"
	relayFile   = "relay.yaml"
	objectsFile = "objects.yaml"
	changeFiles = "changes/*.yaml"
)

const maxFilePorts = 64

// Prefixes of the names under which a member's listeners are announced to
// Config.Via; a stand-in's is its process name.
const (
	linkPeer     = "peer-"
	linkFeed     = "feed-"
	linkOperator = "operator-"
)

// layout is where everything of the fleet runs, with the files that tell it so.
type layout struct {
	folder   string
	platform string
	members  []memberPlace
	relays   []relayPlace
	proxies  []proxyPlace
	engines  []place
	backends []place

	objectsPath string
	changePaths []string // in the order in which they are applied
	objects     []api.Object
}

// place is a stand-in's name and the address on which it listens.
type place struct {
	name    string
	address string
}

// memberPlace is one control member; operators reach it at the address operator.
type memberPlace struct {
	name     string
	settings string
	operator string
}

// proxyPlace is one proxy.
type proxyPlace struct {
	name     string
	zone     string
	settings string
	address  string
	admin    string
}

// relayPlace is one relay of the feed.
type relayPlace struct {
	name     string
	settings string
	admin    string
}

// portSource hands out addresses.
type portSource struct{ free []string }

func (p *portSource) next() string {
	address := p.free[0]
	p.free = p.free[1:]
	return address
}

// layoutMaker makes a layout.
type layoutMaker struct {
	*layout
	source string // folder of the deployment's files
	ports  *portSource
	via    func(name, address string) (string, error)
	adjust func(file *settings.File)
}

// newLayout reads the deployment's files and writes them to the data folder
// with free ports of this machine in place of the deployment's addresses.
func newLayout(config Config, data string) (*layout, error) {
	free, err := freeAddresses(maxFilePorts)
	if err != nil {
		return nil, err
	}
	ports := &portSource{free: free}
	maker := &layoutMaker{
		layout: &layout{folder: data, platform: ports.next()},
		source: filepath.Join(config.Folder, config.Deployment),
		ports:  ports,
		via:    config.Via,
		adjust: config.Adjust,
	}
	if maker.via == nil {
		maker.via = func(_, address string) (string, error) { return address, nil }
	}
	if maker.adjust == nil {
		maker.adjust = func(*settings.File) {}
	}
	if err := maker.placeObjects(); err != nil {
		return nil, err
	}
	feeds, err := maker.placeMembers()
	if err != nil {
		return nil, err
	}
	if config.Relays > 0 {
		if feeds, err = maker.placeRelays(config.Relays, feeds); err != nil {
			return nil, err
		}
	}
	return maker.layout, maker.placeProxies(feeds)
}

// listen returns an address to listen on and the one where others reach it.
func (m *layoutMaker) listen(name string) (own, reached string, err error) {
	own = m.ports.next()
	reached, err = m.via(name, own)
	return own, reached, err
}

// placeObjects gives every engine and back end an address.
func (m *layoutMaker) placeObjects() error {
	objects, err := settings.LoadObjects(filepath.Join(m.source, objectsFile))
	if err != nil {
		return errors.Wrap(err, objectsFile)
	}
	for _, object := range objects {
		if object.Engine != nil {
			if err := m.placeEngine(object.Engine); err != nil {
				return err
			}
		}
		if object.Service != nil {
			if err := m.placeBackends(object.Service); err != nil {
				return err
			}
		}
	}
	m.objects = objects
	m.objectsPath = filepath.Join(m.folder, objectsFile)
	if m.changePaths, err = filepath.Glob(filepath.Join(m.source, changeFiles)); err != nil {
		return errors.Wrap(err, "fleet: list changes")
	}
	return writeYAML(m.objectsPath, settings.File{Objects: objects})
}

func (m *layoutMaker) placeEngine(engine *api.Engine) error {
	own, reached, err := m.listen(prefixEngine + engine.Name)
	m.engines = append(m.engines, place{engine.Name, own})
	engine.Spec.Address = reached
	return err
}

func (m *layoutMaker) placeBackends(service *api.Service) error {
	for i := range service.Spec.Backends {
		backend := &service.Spec.Backends[i]
		own, reached, err := m.listen(prefixBackend + backend.Name)
		if err != nil {
			return err
		}
		m.backends = append(m.backends, place{backend.Name, own})
		backend.Address = reached
	}
	return nil
}

// memberListeners are the addresses on which a member listens itself.
type memberListeners struct{ peer, feed, operator string }

// placeMembers gives every control member its addresses and settings file. It
// returns the feed addresses.
func (m *layoutMaker) placeMembers() ([]string, error) {
	file, err := settings.Load(filepath.Join(m.source, controlFile), settings.SectionControl, nil)
	if err != nil {
		return nil, errors.Wrap(err, controlFile)
	}
	var feeds []string
	var listeners []memberListeners
	for i := range file.Control.Members {
		member := &file.Control.Members[i]
		own, err := m.placeMember(member)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, own)
		feeds = append(feeds, member.FeedAddress)
	}
	if file.Control.PlatformAddress, err = m.via(prefixPlatform, m.platform); err != nil {
		return nil, err
	}
	m.adjust(&file)
	for i, member := range file.Control.Members {
		file.Control.Name = member.Name
		file.Control.DataDirectory = filepath.Join(m.folder, member.Name)
		file.Control.PeerAddress = listeners[i].peer
		file.Control.FeedAddress = listeners[i].feed
		file.Control.OperatorAddress = listeners[i].operator
		path := filepath.Join(m.folder, member.Name+".yaml")
		if err := writeYAML(path, file); err != nil {
			return nil, err
		}
		m.members = append(m.members, memberPlace{member.Name, path, member.OperatorAddress})
	}
	return feeds, nil
}

func (m *layoutMaker) placeMember(member *settings.Member) (memberListeners, error) {
	var own memberListeners
	for _, target := range []struct {
		kind    string
		own     *string
		reached *string
	}{
		{linkPeer, &own.peer, &member.PeerAddress},
		{linkFeed, &own.feed, &member.FeedAddress},
		{linkOperator, &own.operator, &member.OperatorAddress},
	} {
		var err error
		if *target.own, *target.reached, err = m.listen(target.kind + member.Name); err != nil {
			return own, err
		}
	}
	return own, nil
}

// placeRelays puts relays before the members and returns their feed addresses.
func (m *layoutMaker) placeRelays(count int, members []string) ([]string, error) {
	file, err := settings.Load(filepath.Join(m.source, relayFile), settings.SectionRelay, nil)
	if err != nil {
		return nil, errors.Wrap(err, relayFile)
	}
	zones := m.zones()
	var feeds []string
	for i := range count {
		file.Relay.Name = fmt.Sprintf("relay-%d", i+1)
		file.Relay.Zone = zones[i%len(zones)]
		file.Relay.Control = members
		own, reached, err := m.listen(linkFeed + file.Relay.Name)
		if err != nil {
			return nil, err
		}
		file.Relay.FeedAddress = own
		file.Relay.AdminAddress = m.ports.next()
		m.adjust(&file)
		path := filepath.Join(m.folder, file.Relay.Name+".yaml")
		if err := writeYAML(path, file); err != nil {
			return nil, err
		}
		feeds = append(feeds, reached)
		m.relays = append(m.relays, relayPlace{file.Relay.Name, path, file.Relay.AdminAddress})
	}
	return feeds, nil
}

// placeProxies gives every zone a proxy.
func (m *layoutMaker) placeProxies(feeds []string) error {
	file, err := settings.Load(filepath.Join(m.source, proxyFile), settings.SectionProxy, nil)
	if err != nil {
		return errors.Wrap(err, proxyFile)
	}
	for _, zone := range m.zones() {
		file.Proxy.Name = "proxy-" + zone
		file.Proxy.Zone = zone
		file.Proxy.Address = m.ports.next()
		file.Proxy.AdminAddress = m.ports.next()
		file.Proxy.Control = feeds
		m.adjust(&file)
		path := filepath.Join(m.folder, file.Proxy.Name+".yaml")
		if err := writeYAML(path, file); err != nil {
			return err
		}
		m.proxies = append(m.proxies, proxyPlace{file.Proxy.Name, zone, path, file.Proxy.Address, file.Proxy.AdminAddress})
	}
	return nil
}

// zones lists the engines' zones in the order of the objects.
func (l *layout) zones() []string {
	var zones []string
	known := map[string]bool{}
	for _, object := range l.objects {
		if object.Engine != nil && !known[object.Engine.Spec.Zone] {
			known[object.Engine.Spec.Zone] = true
			zones = append(zones, object.Engine.Spec.Zone)
		}
	}
	return zones
}

func (l *layout) engineNames() []string {
	var names []string
	for _, engine := range l.engines {
		names = append(names, engine.name)
	}
	return names
}

// operators lists the members' operator addresses.
func (l *layout) operators() []string {
	var addresses []string
	for _, member := range l.members {
		addresses = append(addresses, member.operator)
	}
	return addresses
}

// machines is the platform's list, in the form of its flag.
func (l *layout) machines() string {
	var machines []string
	for _, one := range append(append([]place(nil), l.engines...), l.backends...) {
		machines = append(machines, one.name+"="+one.address)
	}
	return strings.Join(machines, ",")
}

func writeYAML(path string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "fleet: write settings")
	}
	return errors.Wrap(os.WriteFile(path, text, 0o644), "fleet: write settings")
}
