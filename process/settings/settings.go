// Package settings reads what a process is told at its start: a YAML file,
// then LANDINGTRAIL_ variables, then flags, each over the one before. Nothing
// starts before everything is checked, and every fault is reported at once by
// its field's path.
//
// The same file form also holds objects (intents, engines, services, classes,
// tenants), so that one command checks both.
package settings

import (
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
)

// MaxFileBytes bounds a settings or object file.
const MaxFileBytes = 16 << 20

// Faults is the error of a file, flags and variables that cannot be used.
type Faults []api.FieldFault

// Error lists every fault, one a line.
func (f Faults) Error() string {
	var lines []string
	for _, one := range f {
		lines = append(lines, FaultLine(one))
	}
	return strings.Join(lines, "\n")
}

// FaultLine words one fault as "field: message".
func FaultLine(fault api.FieldFault) string {
	if fault.Field == "" {
		return fault.Message
	}
	return fault.Field + ": " + fault.Message
}

// Section names the part of a file that a daemon reads.
type Section string

// Sections of a file.
const (
	SectionControl Section = "control"
	SectionProxy   Section = "proxy"
	SectionRelay   Section = "relay"
)

// Load reads the file at path (none when path is empty), lays the overrides
// over it and returns it checked, with defaults in every field of the wanted
// section. The error is Faults when fields are wrong.
func Load(path string, section Section, overrides []Override) (File, error) {
	var data []byte
	if path != "" {
		var err error
		if data, err = readFile(path); err != nil {
			return File{}, err
		}
	}
	return parse(data, path != "", section, overrides)
}

// Check returns every fault of the settings or object file at path. A file
// that cannot be read is the error.
func Check(path string) ([]api.FieldFault, error) {
	_, faults, err := CheckObjects(path)
	return faults, err
}

// CheckObjects is like Check and returns the objects of the file as well, if it has no fault.
func CheckObjects(path string) ([]api.Object, []api.FieldFault, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	file, err := parse(data, true, "", nil)
	var faults Faults
	if errors.As(err, &faults) {
		return nil, faults, nil
	}
	return file.Objects, nil, err
}

// LoadObjects reads the objects of the file at path; "-" reads standard input.
func LoadObjects(path string) ([]api.Object, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseObjects(data)
}

// ParseObjects reads objects from the text of a file.
func ParseObjects(data []byte) ([]api.Object, error) {
	file, err := parse(data, true, "", nil)
	if err != nil {
		return nil, err
	}
	if len(file.Objects) == 0 {
		return nil, Faults{{Field: "objects", Message: "must hold at least one object"}}
	}
	return file.Objects, nil
}

func parse(data []byte, fromFile bool, section Section, overrides []Override) (File, error) {
	var file File
	decoder := newDecoder()
	if fromFile {
		if root := decoder.parse(data); root != nil {
			decoder.value("", root, reflect.ValueOf(&file).Elem(), constraint{}, 0)
		}
	}
	file.open(section)
	decoder.override(&file, section, overrides)
	decoder.complete("", reflect.ValueOf(&file).Elem())
	file.check(decoder)
	if faults := decoder.sorted(); len(faults) > 0 {
		return File{}, Faults(faults)
	}
	return file, nil
}

// open makes the sections that a daemon needs, so that flags and defaults have
// a place also when the file leaves them out.
func (f *File) open(section Section) {
	if section != "" && f.Log == nil {
		f.Log = &Log{}
	}
	if section == SectionControl && f.Control == nil {
		f.Control = &Control{}
	}
	if section == SectionProxy && f.Proxy == nil {
		f.Proxy = &Proxy{}
	}
	if section == SectionRelay && f.Relay == nil {
		f.Relay = &Relay{}
	}
}

func (f *File) check(d *decoder) {
	if f.Control != nil {
		f.Control.check(d)
	}
	if f.Proxy != nil {
		f.Proxy.check(d)
	}
	if f.Relay != nil {
		f.Relay.check(d)
	}
	checkObjects(d, "objects", f.Objects)
}

// readFile reads a bounded file; "-" is standard input.
func readFile(path string) ([]byte, error) {
	source := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "settings: open file")
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "settings: read file")
	}
	if len(data) > MaxFileBytes {
		return nil, errors.Errorf("settings: %s is longer than the allowed %d bytes", path, MaxFileBytes)
	}
	return data, nil
}
