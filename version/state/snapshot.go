package state

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
	"github.com/landingtrail/landingtrail/version/view"
)

// Errors of Restore.
var (
	// ErrFormat is returned for data that is not a snapshot in a known format.
	ErrFormat = errors.New("state: unknown snapshot format")
	// ErrDamaged is returned for a snapshot whose checksum or content is invalid.
	ErrDamaged = errors.New("state: corrupt snapshot")
)

// snapshotFormat is the prefix of every snapshot. Its last byte is the format version.
const snapshotFormat = "LTS\x02"

const checksumBytes = 8

// Frozen is a consistent, immutable copy of a machine's state. Another goroutine can
// encode it while the machine applies commands.
type Frozen struct {
	term          uint64
	index         uint64
	clock         int64
	history       view.History
	ingressSource []byte
	usage         usageState
	incarnations  map[string]*[]uint64
	platform      platformList
	members       map[uint64]Member
	operations    *expiringMap[string, *operation]
	claims        *expiringMap[claimKey, *claimRecord]
}

// Freeze returns a copy of the state. Most of the state is copied on write: a later command
// copies a map when it first changes it. Only the counters of undecided usage windows, the
// index of decided windows and the members are copied by Freeze itself.
func (m *Machine) Freeze() Frozen {
	return Frozen{
		term:          m.term,
		index:         m.index,
		clock:         m.clock,
		history:       m.History(),
		ingressSource: m.ingressSource,
		usage:         m.usage.clone(),
		incarnations:  m.incarnations.share(),
		platform:      m.platform,
		members:       maps.Clone(m.members),
		operations:    m.operations.freeze(),
		claims:        m.claims.freeze(),
	}
}

// Applied returns the term and index of the last command in the copy.
func (f Frozen) Applied() (term, index uint64) { return f.term, f.index }

// Snapshot encodes the state. The error is always nil; it is part of the signature that
// callers expect of a replicated state machine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Freeze().Encode(), nil }

// Encode returns the snapshot. Equal states have identical snapshots.
func (f Frozen) Encode() []byte {
	b := []byte(snapshotFormat)
	b = binenc.AppendUint(b, f.term)
	b = binenc.AppendUint(b, f.index)
	b = binenc.AppendInt(b, f.clock)
	b = appendHistory(b, f.history)
	b = binenc.AppendBytes(b, f.ingressSource)
	b = appendUsageState(b, &f.usage)
	b = appendIncarnations(b, f.incarnations)
	b = binenc.AppendStrings(b, f.platform.leaving)
	b = binenc.AppendStrings(b, f.platform.gone)
	b = appendMembers(b, f.members)
	b = appendExpiring(b, f.operations, appendOperation)
	b = appendExpiring(b, f.claims, appendClaim)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// Restore replaces the state with that of a snapshot. If the snapshot is invalid,
// it returns ErrFormat or an error that wraps ErrDamaged and leaves the state
// unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	if len(snapshot) < len(snapshotFormat)+checksumBytes || string(snapshot[:len(snapshotFormat)]) != snapshotFormat {
		return ErrFormat
	}
	body := snapshot[:len(snapshot)-checksumBytes]
	if binary.BigEndian.Uint64(snapshot[len(body):]) != xxhash.Sum64(body) {
		return errors.Wrap(ErrDamaged, "checksum")
	}
	next := New()
	r := binenc.NewReader(body[len(snapshotFormat):])
	next.readSnapshot(r)
	if err := r.Close(); err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	*m = *next
	return nil
}

func (m *Machine) readSnapshot(r *binenc.Reader) {
	m.term = r.Uint()
	m.index = r.Uint()
	m.clock = r.Int()
	m.readHistory(r)
	m.ingressSource = r.Bytes()
	m.usage = readUsageState(r)
	m.readIncarnations(r)
	m.platform = platformList{leaving: readSorted(r), gone: readSorted(r)}
	m.readMembers(r)
	readExpiring(r, &m.operations, readOperation)
	readExpiring(r, &m.claims, readClaim)
	m.selection.rebuild(m.intents.items, m.engines.items)
}

func appendHistory(b []byte, h view.History) []byte {
	b = binenc.AppendUint(b, h.View.Version.Term)
	b = binenc.AppendUint(b, h.View.Version.Revision)
	objects := h.View.Full().Objects
	b = binenc.AppendUint(b, uint64(len(objects)))
	for _, o := range objects {
		b = binenc.AppendObject(b, o)
	}
	b = binenc.AppendUint(b, h.Floor)
	b = binenc.AppendUint(b, uint64(len(h.Changes)))
	previous := h.Floor
	for _, change := range h.Changes {
		b = binenc.AppendUint(b, change.Revision-previous)
		b = binenc.AppendKey(b, change.Key)
		previous = change.Revision
	}
	return b
}

func (m *Machine) readHistory(r *binenc.Reader) {
	m.version = view.Version{Term: r.Uint(), Revision: r.Uint()}
	m.readObjects(r)
	m.changesFloor = r.Uint()
	const minimumChangeBytes = 3
	n := r.Count(minimumChangeBytes)
	previous := m.changesFloor
	for i := 0; i < n && r.Err() == nil; i++ {
		previous += r.Uint()
		m.changes = append(m.changes, view.Change{Revision: previous, Key: r.Key()})
		if previous > m.version.Revision {
			r.Fail(binenc.ErrMalformed)
		}
	}
}

// readObjects reads objects, which must be sorted by kind and name.
func (m *Machine) readObjects(r *binenc.Reader) {
	const minimumObjectBytes = 4
	n := r.Count(minimumObjectBytes)
	var previous api.Key
	for i := 0; i < n && r.Err() == nil; i++ {
		o := r.Object()
		key, ok := o.Key()
		if !ok || (i > 0 && !keyLess(previous, key)) {
			r.Fail(binenc.ErrMalformed)
			return
		}
		m.putUnrecorded(o)
		previous = key
	}
}

// keyLess orders keys by kind, in the order of api.Kinds, and by name.
func keyLess(a, b api.Key) bool {
	if a.Kind != b.Kind {
		return slices.Index(api.Kinds, a.Kind) < slices.Index(api.Kinds, b.Kind)
	}
	return a.Name < b.Name
}

func appendIncarnations(b []byte, incarnations map[string]*[]uint64) []byte {
	b = binenc.AppendUint(b, uint64(len(incarnations)))
	for _, engine := range slices.Sorted(maps.Keys(incarnations)) {
		b = binenc.AppendString(b, engine)
		earlier := *incarnations[engine]
		b = binenc.AppendUint(b, uint64(len(earlier)))
		for _, incarnation := range earlier {
			b = binenc.AppendFixed(b, incarnation)
		}
	}
	return b
}

func (m *Machine) readIncarnations(r *binenc.Reader) {
	n := r.Count(2)
	previous := ""
	for i := 0; i < n && r.Err() == nil; i++ {
		engine := r.String()
		if i > 0 && engine <= previous {
			r.Fail(binenc.ErrMalformed)
		}
		previous = engine
		earlier := make([]uint64, r.Count(checksumBytes))
		for k := range earlier {
			earlier[k] = r.Fixed()
		}
		m.incarnations.put(engine, &earlier)
	}
}

func appendMembers(b []byte, members map[uint64]Member) []byte {
	b = binenc.AppendUint(b, uint64(len(members)))
	for _, id := range slices.Sorted(maps.Keys(members)) {
		member := members[id]
		b = appendMember(b, &member)
	}
	return b
}

func (m *Machine) readMembers(r *binenc.Reader) {
	n := r.Count(1)
	var previous uint64
	for i := 0; i < n && r.Err() == nil; i++ {
		member := readMember(r)
		if i > 0 && member.ID <= previous {
			r.Fail(binenc.ErrMalformed)
		}
		previous = member.ID
		m.members[member.ID] = *member
	}
}

// readSorted reads a list of names, which must be sorted and have no duplicates.
func readSorted(r *binenc.Reader) []string {
	list := r.Strings()
	for i := 1; i < len(list); i++ {
		if list[i-1] >= list[i] {
			r.Fail(binenc.ErrMalformed)
			return nil
		}
	}
	return list
}
