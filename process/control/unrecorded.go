package control

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
)

// The record reaches each daemon with its view. Where a leader can't commit, or there is none, daemons
// would each know of what they saw themselves alone, and one harmful request ends a replica under each
// of them. Then members tell them what they know.

// recordTime is for how long the record may lag behind what was heard: a review, a commit and some more.
const recordTime = 300 * time.Millisecond

// unrecorded is what daemons are told while the record can't tell it.
type unrecorded struct {
	// recordedNews is the table's news that were looked through and committed last; heardAt is
	// when the first after them came.
	recordedNews uint64
	heardAt      time.Duration
	// sights are those of the table's at cachedNews, with their ages at cachedAt.
	sights     []quarantine.Aged
	cachedNews uint64
	cachedAt   time.Duration
}

// news tells what the table holds from what it held before.
func (d *quarantineDesk) news() uint64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.table.News()
}

// markRecorded notes that the record says all that the table did at these news.
func (d *quarantineDesk) markRecorded(news uint64, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.unrecorded.recordedNews, d.unrecorded.heardAt = news, now
}

// tell returns what daemons are to be told, and the news that it goes by. A member that leads says
// nothing as long as its record keeps up.
func (d *quarantineDesk) tell(leads bool, now time.Duration) (feed.EndReport, uint64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	told, news := &d.unrecorded, d.table.News()
	if leads && (news == told.recordedNews || now-told.heardAt < recordTime) {
		return feed.EndReport{}, news
	}
	if told.cachedNews != news {
		told.sights, told.cachedNews, told.cachedAt = d.table.NotableSights(now, maxToldEvidence), news, now
	}
	sights := slices.Clone(told.sights)
	for i := range sights {
		sights[i].Age += now - told.cachedAt
	}
	return feed.EndReport{Ended: sights}, news
}

// Unrecorded returns what is known of ends and can't be read in the record.
func (g *group) Unrecorded() (feed.EndReport, uint64) {
	return g.evidence.desk.tell(g.Leadership().Leads, monotonic())
}

// follow takes in how the record has changed, at a member that does not lead: the evidence for what the
// leader has taken off it, or let go in part, is not to bring it back under the next one.
func (d *quarantineDesk) follow(before, current map[string]*api.Quarantine, now time.Duration) (changed bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	news := d.table.News()
	for name, earlier := range before {
		fingerprint, ok := quarantine.Parse(name)
		if !ok {
			continue
		}
		known := current[name]
		switch {
		case known == nil:
			d.table.Forget(fingerprint)
		case len(known.Spec.Replicas) < len(earlier.Spec.Replicas):
			d.table.Restore(now, fingerprint, quarantine.Record{
				Replicas: known.Spec.Replicas, Weak: known.Spec.Weak, Alone: known.Spec.Alone,
				AtOnce: known.Spec.EndedAtOnce(), About: aboutOf(&known.Spec),
			})
		}
	}
	return d.table.News() != news
}
