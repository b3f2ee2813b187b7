package fleet

import (
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
	objectsFile = "objects.yaml"
	changeFiles = "changes/*.yaml"
)

const maxFilePorts = 512

// layout is where everything of the fleet runs, with the files that tell it so.
type layout struct {
	folder   string
	platform string
	members  []memberPlace
	proxies  []proxyPlace
	engines  []place
	backends []place

	objectsPath string
	changePaths []string // in the order in which they are applied
	objects     []api.Object
}

// place is a stand-in's name and address.
type place struct {
	name    string
	address string
}

// memberPlace is one control member.
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

// portSource hands out addresses.
type portSource struct{ free []string }

func (p *portSource) next() string {
	address := p.free[0]
	p.free = p.free[1:]
	return address
}

// newLayout reads the deployment's files and writes them to the data folder
// with free ports of this machine in place of the deployment's addresses.
func newLayout(config Config, data string) (*layout, error) {
	free, err := freeAddresses(maxFilePorts)
	if err != nil {
		return nil, err
	}
	ports := &portSource{free: free}
	source := filepath.Join(config.Folder, config.Deployment)
	planned := &layout{folder: data, platform: ports.next()}
	if err := planned.placeObjects(source, ports); err != nil {
		return nil, err
	}
	feeds, err := planned.placeMembers(source, ports)
	if err != nil {
		return nil, err
	}
	return planned, planned.placeProxies(source, ports, feeds)
}

// placeObjects gives every engine and back end an address.
func (l *layout) placeObjects(source string, ports *portSource) error {
	objects, err := settings.LoadObjects(filepath.Join(source, objectsFile))
	if err != nil {
		return errors.Wrap(err, objectsFile)
	}
	for _, object := range objects {
		if object.Engine != nil {
			object.Engine.Spec.Address = ports.next()
			l.engines = append(l.engines, place{object.Engine.Name, object.Engine.Spec.Address})
		}
		if object.Service != nil {
			for i := range object.Service.Spec.Backends {
				backend := &object.Service.Spec.Backends[i]
				backend.Address = ports.next()
				l.backends = append(l.backends, place{backend.Name, backend.Address})
			}
		}
	}
	l.objects = objects
	l.objectsPath = filepath.Join(l.folder, objectsFile)
	if l.changePaths, err = filepath.Glob(filepath.Join(source, changeFiles)); err != nil {
		return errors.Wrap(err, "fleet: list changes")
	}
	return writeYAML(l.objectsPath, settings.File{Objects: objects})
}

// placeMembers gives every control member its addresses and settings file. It
// returns the feed addresses.
func (l *layout) placeMembers(source string, ports *portSource) ([]string, error) {
	file, err := settings.Load(filepath.Join(source, controlFile), settings.SectionControl, nil)
	if err != nil {
		return nil, errors.Wrap(err, controlFile)
	}
	var feeds []string
	for i := range file.Control.Members {
		member := &file.Control.Members[i]
		member.PeerAddress = ports.next()
		member.FeedAddress = ports.next()
		member.OperatorAddress = ports.next()
		feeds = append(feeds, member.FeedAddress)
	}
	file.Control.PlatformAddress = l.platform
	for _, member := range file.Control.Members {
		file.Control.Name = member.Name
		file.Control.DataDirectory = filepath.Join(l.folder, member.Name)
		path := filepath.Join(l.folder, member.Name+".yaml")
		if err := writeYAML(path, file); err != nil {
			return nil, err
		}
		l.members = append(l.members, memberPlace{member.Name, path, member.OperatorAddress})
	}
	return feeds, nil
}

// placeProxies gives every zone a proxy.
func (l *layout) placeProxies(source string, ports *portSource, feeds []string) error {
	file, err := settings.Load(filepath.Join(source, proxyFile), settings.SectionProxy, nil)
	if err != nil {
		return errors.Wrap(err, proxyFile)
	}
	for _, zone := range l.zones() {
		file.Proxy.Name = "proxy-" + zone
		file.Proxy.Zone = zone
		file.Proxy.Address = ports.next()
		file.Proxy.AdminAddress = ports.next()
		file.Proxy.Control = feeds
		path := filepath.Join(l.folder, file.Proxy.Name+".yaml")
		if err := writeYAML(path, file); err != nil {
			return err
		}
		l.proxies = append(l.proxies, proxyPlace{file.Proxy.Name, zone, path, file.Proxy.Address, file.Proxy.AdminAddress})
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
