package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// Both run from the start of a process that links go-zero to its end.
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// patience bounds every wait of these tests; it is not a measure of anything.
const patience = 20 * time.Second

// testDurations are short, so that elections and leases take little time. A
// leader outlasts half a second in which a busy machine does not run it.
var testDurations = Durations{
	Election:      600 * time.Millisecond,
	Heartbeat:     20 * time.Millisecond,
	Lease:         500 * time.Millisecond,
	ViewLease:     400 * time.Millisecond,
	Reconcile:     20 * time.Millisecond,
	Plan:          50 * time.Millisecond,
	Poll:          30 * time.Millisecond,
	EngineTimeout: time.Second,
	PlatformPoll:  50 * time.Millisecond,
	Proposal:      2 * time.Second,
	FailurePause:  time.Minute,
}

// withLongElectionTimeout keeps what the machine does beside the test from ending a leader's term.
func withLongElectionTimeout(config *Config) { config.Durations.Election = 3 * time.Second }

// unsyncedFiles are the operating system's files without waits for the disk, which may
// hang for longer than an election timeout of these tests. No machine loses its power
// here, so a synced file can't be told from a written one; what syncs are for is tested
// in the packages wal and replica.
type unsyncedFiles struct{ wal.OS }

func (unsyncedFiles) MakeDir(name string) error { return os.MkdirAll(name, 0o700) }

func (unsyncedFiles) SyncDir(string) error { return nil }

func (f unsyncedFiles) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)
	return unsyncedFile{file}, err
}

func (f unsyncedFiles) Append(name string) (wal.File, error) {
	file, err := f.OS.Append(name)
	return unsyncedFile{file}, err
}

type unsyncedFile struct{ wal.File }

func (unsyncedFile) Sync() error { return nil }

// cluster is a control group whose members run in this process.
type cluster struct {
	t       testing.TB
	configs []Config
	running map[int]*runningMember
	// disconnects counts the ended connections between members.
	disconnects atomic.Int32
}

type runningMember struct {
	member *member
	cancel context.CancelFunc
	done   chan error
}

// newCluster prepares members on free ports of the loopback interface.
func newCluster(t testing.TB, size int, adjust func(*Config)) *cluster {
	c := &cluster{t: t, running: map[int]*runningMember{}}
	var members []Member
	for i := range size {
		members = append(members, Member{
			Name:            fmt.Sprintf("control-%d", i),
			PeerAddress:     freeAddress(t),
			FeedAddress:     freeAddress(t),
			OperatorAddress: freeAddress(t),
		})
	}
	for _, listed := range members {
		config := Config{
			Name:            listed.Name,
			DataFolder:      filepath.Join(t.TempDir(), listed.Name),
			GroupID:         42,
			PeerAddress:     listed.PeerAddress,
			FeedAddress:     listed.FeedAddress,
			OperatorAddress: listed.OperatorAddress,
			Members:         members,
			Durations:       testDurations,
			fileSystem:      unsyncedFiles{},
		}
		if adjust != nil {
			adjust(&config)
		}
		c.configs = append(c.configs, config)
	}
	t.Cleanup(c.stopAll)
	return c
}

// lastPort is the port given out last; see freeAddress.
var lastPort atomic.Uint32

// freeAddress returns a loopback address that stays free while a member is down:
// its IP number is this process's own, and its port is below those that the
// system hands out and given out once.
func freeAddress(t testing.TB) string {
	const firstPort = 10_000
	process := os.Getpid()
	host := net.IPv4(127, byte(process>>16)|1, byte(process>>8), byte(process)).String()
	address := net.JoinHostPort(host, strconv.Itoa(int(firstPort+lastPort.Add(1))))
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return address
}

func (c *cluster) start(indexes ...int) {
	for _, i := range indexes {
		config := c.configs[i].WithDefaults()
		must.SliceEmpty(c.t, config.Check())
		logger := log.With(log.NewLogfmtLogger(&testWriter{t: c.t, disconnects: &c.disconnects}), "member", config.Name)
		opened, err := open(context.Background(), config, logger)
		must.NoError(c.t, err)
		ctx, cancel := context.WithCancel(context.Background())
		started := &runningMember{member: opened, cancel: cancel, done: make(chan error, 1)}
		go func() { started.done <- opened.run(ctx) }()
		c.running[i] = started
	}
}

// testWriter logs to the test as long as it runs, and counts the connections
// between members that end.
type testWriter struct {
	t           testing.TB
	lock        sync.Mutex
	disconnects *atomic.Int32
}

func (w *testWriter) Write(line []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.t.Log(string(bytes.TrimSpace(line)))
	if bytes.Contains(line, []byte("name=peer_disconnected")) {
		w.disconnects.Add(1)
	}
	return len(line), nil
}

func (c *cluster) stop(i int) error { return c.take(i).stop() }

// take takes the member out of the running ones, so that no request goes to it.
func (c *cluster) take(i int) *runningMember {
	taken := c.running[i]
	delete(c.running, i)
	return taken
}

func (c *cluster) crash(i int) { must.NoError(c.t, c.take(i).crash()) }

func (r *runningMember) stop() error {
	r.cancel()
	return <-r.done
}

// crash cuts the member off before it can hand anything over, and ends it.
func (r *runningMember) crash() error {
	if err := r.member.transport.Close(); err != nil {
		return err
	}
	r.member.operator.close()
	r.member.feed.Close()
	return r.stop()
}

// loseDisk empties the data folder of a member that is not running.
func (c *cluster) loseDisk(i int) { must.NoError(c.t, os.RemoveAll(c.configs[i].DataFolder)) }

func (c *cluster) stopAll() {
	for i := range c.running {
		c.running[i].cancel()
	}
	for i := range c.running {
		<-c.running[i].done
	}
	http.DefaultClient.CloseIdleConnections()
}

// eventually polls until condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var testHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// call sends one request to one member; a status of 0 means no answer.
func (c *cluster) call(i int, method, path string, body, answer any) int {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		must.NoError(c.t, err)
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+c.configs[i].OperatorAddress+path, content)
	must.NoError(c.t, err)
	response, err := testHTTP.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if answer != nil && response.StatusCode < http.StatusInternalServerError {
		must.NoError(c.t, json.Unmarshal(data, answer), must.Sprint(string(data)))
	}
	return response.StatusCode
}

// status reads the group's status through any running member.
func (c *cluster) status() (operatorapi.Status, bool) {
	for i := range c.running {
		var status operatorapi.Status
		if c.call(i, http.MethodGet, operatorapi.PathStatus, nil, &status) == http.StatusOK {
			return status, true
		}
	}
	return operatorapi.Status{}, false
}

// leader waits for a leader and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	eventually(c.t, "a leader", func() bool {
		status, ok := c.status()
		for i := range c.configs {
			if ok && c.running[i] != nil && c.configs[i].Name == status.Leader {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// transact sends the transaction until it has an answer.
func (c *cluster) transact(transaction api.Transaction) api.TransactionResult {
	c.t.Helper()
	var result api.TransactionResult
	eventually(c.t, "an answer to "+transaction.OperationID, func() bool {
		for i := range c.running {
			result = api.TransactionResult{}
			status := c.call(i, http.MethodPost, operatorapi.PathTransactions, transaction, &result)
			if status != 0 && status < http.StatusInternalServerError {
				return true
			}
		}
		return false
	})
	return result
}

// follow starts a feed client of the running group with short intervals.
func (c *cluster) follow(daemon string) (*feed.Client, *view.Holder) {
	c.t.Helper()
	return c.followBy(feed.ClientConfig{
		Daemon:         daemon,
		BeatInterval:   30 * time.Millisecond,
		SilenceTimeout: time.Second,
		BackoffMax:     50 * time.Millisecond,
	})
}

func (c *cluster) followBy(config feed.ClientConfig) (*feed.Client, *view.Holder) {
	c.t.Helper()
	config.Zone = "zone-a"
	for _, member := range c.configs {
		config.Addresses = append(config.Addresses, member.FeedAddress)
	}
	holder := view.NewHolder()
	client, err := feed.Dial(config, holder)
	must.NoError(c.t, err)
	c.t.Cleanup(client.Close)
	return client, holder
}

func engineObject(name, address string) api.Object {
	return api.Object{Engine: &api.Engine{
		Metadata: api.Metadata{Name: name, Labels: api.Labels{"pool": "narrator"}},
		Spec:     api.EngineSpec{Address: address, Zone: "zone-a", Service: "narrator"},
	}}
}

func narratorObjects() []api.Write {
	service := &api.Service{Metadata: api.Metadata{Name: "narrator"}, Spec: api.ServiceSpec{Type: api.ServiceModel}}
	intent := &api.Intent{
		Metadata: api.Metadata{Name: "narrate"},
		Spec: api.IntentSpec{
			Engines: api.Selector{MatchLabels: api.Labels{"pool": "narrator"}},
			Classes: api.Selector{All: true},
			Model:   "storm", Version: "1", Roles: []api.EngineRole{api.RoleMixed},
		},
	}
	return []api.Write{{Object: api.Object{Service: service}}, {Object: api.Object{Intent: intent}}}
}
