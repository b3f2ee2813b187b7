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
		// Both goroutines run for the lifetime of a process that links go-zero.
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/proc.init.1.func1"),
		goleak.IgnoreTopFunction("github.com/zeromicro/go-zero/core/stat.init.1.func1"),
	)
}

// waitTimeout bounds every wait of these tests. It is a limit, not an expected duration.
const waitTimeout = 20 * time.Second

// testDurations are short so that elections and leases take little time. The lease is long enough
// for a leader to keep it when a busy machine does not schedule it for up to half a second.
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

// withLongElectionTimeout keeps the load of other processes on the machine from ending the leader's
// term.
func withLongElectionTimeout(config *Config) { config.Durations.Election = 3 * time.Second }

// unsyncedFiles is the operating system's file system without syncs, which may take longer than an
// election timeout of these tests. No machine loses power here, so synced data cannot be told from
// written data; syncs are tested in the packages wal and replica.
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

// cluster is a control group whose members all run in this process.
type cluster struct {
	t       testing.TB
	configs []Config
	running map[int]*runningMember
	// disconnects counts the closed connections between members.
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

// lastPort is the offset of the last assigned port; see freeAddress.
var lastPort atomic.Uint32

// freeAddress returns a loopback address that stays free while a member is down: its IP address is
// specific to this process, and its port is below the ephemeral range and assigned only once.
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

// testWriter writes to the test's log and counts the closed connections between members.
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

func (c *cluster) stop(i int) error { return c.removeRunning(i).stop() }

// removeRunning removes the member from the running ones, so that it is sent no further requests.
func (c *cluster) removeRunning(i int) *runningMember {
	taken := c.running[i]
	delete(c.running, i)
	return taken
}

func (c *cluster) crash(i int) { must.NoError(c.t, c.removeRunning(i).crash()) }

func (r *runningMember) stop() error {
	r.cancel()
	return <-r.done
}

// crash disconnects the member before it can hand over anything, and then stops it. A member that
// cannot rejoin does not ask to leave the group when it stops, and neither does one that is killed.
func (r *runningMember) crash() error {
	r.member.config.Join = false
	if err := r.member.transport.Close(); err != nil {
		return err
	}
	r.member.operator.close()
	r.member.feed.Close()
	return r.stop()
}

// loseDisk deletes the data directory of a member that is not running.
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

// eventually polls until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var testHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// call sends one request to one member. A status of 0 means that there was no response.
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
	eventually(c.t, "a leader is elected", func() bool {
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

// transact sends the transaction until it is answered.
func (c *cluster) transact(transaction api.Transaction) api.TransactionResult {
	c.t.Helper()
	var result api.TransactionResult
	eventually(c.t, "the transaction is answered: "+transaction.OperationID, func() bool {
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

// subscribe starts a feed client of the group with short intervals.
func (c *cluster) subscribe(daemon string) (*feed.Client, *view.Holder) {
	c.t.Helper()
	return c.subscribeWith(feed.ClientConfig{
		Daemon:            daemon,
		HeartbeatInterval: 30 * time.Millisecond,
		SilenceTimeout:    time.Second,
		BackoffMax:        50 * time.Millisecond,
	})
}

func (c *cluster) subscribeWith(config feed.ClientConfig) (*feed.Client, *view.Holder) {
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
