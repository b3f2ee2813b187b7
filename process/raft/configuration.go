package raft

import (
	"slices"

	"github.com/pkg/errors"
)

// isVoter reports whether member is a voter.
func (c Configuration) isVoter(member MemberID) bool {
	return slices.Contains(c.Voters, member)
}

// contains reports whether member is a voter or a learner.
func (c Configuration) contains(member MemberID) bool {
	return c.isVoter(member) || slices.Contains(c.Learners, member)
}

// isEmpty reports whether c has no voters, as on a member that has not received
// a configuration yet.
func (c Configuration) isEmpty() bool {
	return len(c.Voters) == 0
}

// clone returns a copy that shares no memory with c.
func (c Configuration) clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// members returns voters and learners in ascending order.
func (c Configuration) members() []MemberID {
	members := slices.Concat(c.Voters, c.Learners)
	slices.Sort(members)
	return members
}

// consistent reports whether no member is listed twice and none is None.
func (c Configuration) consistent() bool {
	members := c.members()
	if slices.Contains(members, None) {
		return false
	}
	return len(slices.Compact(members)) == len(c.Voters)+len(c.Learners)
}

// withChange returns a copy of c with change applied. It checks that the change is
// valid for c; checkChangeAllowed checks whether a change may be made now.
func (c Configuration) withChange(change ConfigurationChange) (Configuration, error) {
	next := c.clone()
	switch change.Kind {
	case ChangeAddLearner:
		if change.Member == None || c.contains(change.Member) {
			return c, errors.Wrapf(ErrInvalidChange, "cannot add member %d", change.Member)
		}
		next.Learners = append(next.Learners, change.Member)
	case ChangePromote:
		if !c.contains(change.Member) {
			return c, errors.Wrapf(ErrUnknownMember, "%d", change.Member)
		}
		if c.isVoter(change.Member) {
			return c, errors.Wrapf(ErrInvalidChange, "member %d votes already", change.Member)
		}
		next.Learners = deleteMember(next.Learners, change.Member)
		next.Voters = append(next.Voters, change.Member)
	case ChangeRemove:
		if !c.contains(change.Member) {
			return c, errors.Wrapf(ErrUnknownMember, "%d", change.Member)
		}
		next.Learners = deleteMember(next.Learners, change.Member)
		next.Voters = deleteMember(next.Voters, change.Member)
		if next.isEmpty() {
			return c, ErrLastVoter
		}
	default:
		return c, errors.Wrapf(ErrInvalidChange, "kind %d", change.Kind)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

// deleteMember removes member from members in place.
func deleteMember(members []MemberID, member MemberID) []MemberID {
	return slices.DeleteFunc(members, func(other MemberID) bool { return other == member })
}

// configurationRecord is a configuration and the index of its log entry.
type configurationRecord struct {
	index         uint64
	configuration Configuration
}

// configurationHistory holds the configurations in the log in ascending order of
// index, starting with the one in effect at the latest snapshot. A configuration
// takes effect when it is appended, committed or not, and is dropped when its
// entry is replaced.
type configurationHistory struct {
	records []configurationRecord
}

func newConfigurationHistory(index uint64, configuration Configuration) configurationHistory {
	return configurationHistory{records: []configurationRecord{{index, configuration}}}
}

// latest returns the configuration currently in effect.
func (h *configurationHistory) latest() configurationRecord {
	return h.records[len(h.records)-1]
}

// at returns the configuration in effect after the entry at index.
func (h *configurationHistory) at(index uint64) Configuration {
	found := h.records[0]
	for _, record := range h.records {
		if record.index <= index {
			found = record
		}
	}
	return found.configuration
}

func (h *configurationHistory) add(index uint64, configuration Configuration) {
	h.records = append(h.records, configurationRecord{index, configuration})
}

// truncateFrom drops the configurations of entries at or after index, which are
// being replaced.
func (h *configurationHistory) truncateFrom(index uint64) {
	for len(h.records) > 1 && h.latest().index >= index {
		h.records = h.records[:len(h.records)-1]
	}
}

// compact drops configurations superseded by another one at or before index.
func (h *configurationHistory) compact(index uint64) {
	for len(h.records) > 1 && h.records[1].index <= index {
		h.records = h.records[1:]
	}
}

// addEntries adds the configurations found in entries. It fails if one cannot be
// decoded.
func (h *configurationHistory) addEntries(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryConfig {
			continue
		}
		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil {
			return err
		}
		h.add(entry.Index, configuration)
	}
	return nil
}
