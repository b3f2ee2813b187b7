package control

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// send sends one raw request and returns the status and the decoded error.
func (c *cluster) send(i int, method, path, body string) (int, operatorapi.Error) {
	request, err := http.NewRequest(method, "http://"+c.configs[i].OperatorAddress+path, strings.NewReader(body))
	must.NoError(c.t, err)
	response, err := testHTTP.Do(request)
	must.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	must.NoError(c.t, err)
	var reply operatorapi.Error
	must.Nil(c.t, decodeBody(data, &reply), must.Sprint(string(data)))
	return response.StatusCode, reply
}

func TestInvalidRequestsNameTheField(t *testing.T) {
	c := newCluster(t, 1, func(config *Config) { config.Limits.MaxBodyBytes = 1 << 10 })
	c.start(0)
	var before operatorapi.Status
	eventually(t, "the leader has recorded its own addresses", func() bool {
		before, _ = c.status()
		return len(before.Members) == 1 && before.Members[0].Name != ""
	})
	transactions := operatorapi.PathTransactions
	write := func(object string) string { return `{"operationId":"a","writes":[{"object":` + object + `}]}` }
	cases := map[string]struct {
		method, path, body string
		status             int
		code               operatorapi.ErrorCode
		field, message     string
	}{
		"unknown field":        {"POST", transactions, `{"operationId":"a","wrties":1}`, 400, operatorapi.ErrorInvalidBody, "wrties", "unknown field"},
		"unknown kind":         {"POST", transactions, write(`{"gadget":{}}`), 400, operatorapi.ErrorInvalidBody, "gadget", "unknown field"},
		"unknown nested field": {"POST", transactions, write(`{"tenant":{"spec":{"wieght":1}}}`), 400, operatorapi.ErrorInvalidBody, "wieght", "unknown field"},
		"wrong type":           {"POST", transactions, `{"operationId":1}`, 400, operatorapi.ErrorInvalidBody, "operationId", "want string"},
		"wrong nested type":    {"POST", transactions, write(`{"tenant":{"spec":{"weight":"x"}}}`), 400, operatorapi.ErrorInvalidBody, "writes.object.tenant.spec.weight", "want float64"},
		"not JSON":             {"POST", transactions, `---`, 400, operatorapi.ErrorInvalidBody, "", "invalid character"},
		"empty":                {"POST", transactions, ``, 400, operatorapi.ErrorInvalidBody, "", "EOF"},
		"truncated":            {"POST", transactions, `{"operationId":"a","writes":[{`, 400, operatorapi.ErrorInvalidBody, "", "EOF"},
		"two values":           {"POST", transactions, `{} {}`, 400, operatorapi.ErrorInvalidBody, "", "more than one"},
		"too deep":             {"POST", transactions, write(strings.Repeat("[", 500)), 400, operatorapi.ErrorInvalidBody, "", ""},
		"too large":            {"POST", transactions, strings.Repeat(" ", 2<<10), 413, operatorapi.ErrorBodyTooLarge, "", "too large"},
		"kind of a list":       {"GET", operatorapi.PathObjects + "/Gadget", "", 404, operatorapi.ErrorNotFound, "kind", "Tenant"},
		"kind of an object":    {"GET", operatorapi.PathObjects + "/Gadget/a", "", 404, operatorapi.ErrorNotFound, "kind", "Tenant"},
		"name of an object":    {"GET", operatorapi.PathObjects + "/Tenant/a", "", 404, operatorapi.ErrorNotFound, "name", "Tenant/a does not exist"},
		"unknown path":         {"GET", "/apis/v2/status", "", 404, operatorapi.ErrorNotFound, "", "/apis/v2/status"},
		"wrong method":         {"DELETE", operatorapi.PathStatus, "", 405, operatorapi.ErrorWrongMethod, "", "DELETE"},
		"revision":             {"GET", operatorapi.PathInForce + "?revision=x", "", 400, operatorapi.ErrorInvalidBody, "revision", "number"},
		"no key":               {"GET", operatorapi.PathLedger, "", 400, operatorapi.ErrorInvalidBody, "key", "required"},
		"unknown action":       {"POST", operatorapi.PathMembers, `{"action":"bless"}`, 400, operatorapi.ErrorInvalidBody, "action", "promote"},
		"wrong member ID":      {"POST", operatorapi.PathMembers, `{"action":"remove","id":7}`, 400, operatorapi.ErrorInvalidBody, "id", ""},
		"unknown member":       {"POST", operatorapi.PathMembers, `{"action":"remove","id":"7"}`, 404, operatorapi.ErrorNotFound, "id", "no member"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, reply := c.send(0, test.method, test.path, test.body)
			must.Eq(t, test.status, status, must.Sprint(reply))
			must.Eq(t, test.code, reply.Code)
			must.StrContains(t, reply.Message, test.message)
			if test.field != "" {
				must.Len(t, 1, reply.Faults)
				must.Eq(t, test.field, reply.Faults[0].Field)
			}
		})
	}
	after, _ := c.status()
	must.Eq(t, before.Revision, after.Revision)
	must.Eq(t, before.Members, after.Members)
}

// malformedStreams returns byte streams that are not valid in the protocol.
func malformedStreams(protocol frame.Protocol, random *rand.Rand) [][]byte {
	preface := binary.BigEndian.AppendUint16([]byte{0xf7, 'L', 'T', 0x0a}, protocol.ID)
	preface = binary.BigEndian.AppendUint16(preface, protocol.Version)
	header := func(length uint32) []byte {
		data := binary.BigEndian.AppendUint32(bytes.Clone(preface), length)
		return append(data, 0, 1, 0, 0, 0, 0)
	}
	noise := make([]byte, 4<<10)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	return [][]byte{
		[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		{0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0x01, 0xfc, 0x03, 0x03}, // TLS
		[]byte("SSH-2.0-OpenSSH_9.6\r\n"),
		noise,
		preface[:5],
		header(1 << 31),
		header(64),
		append(header(1<<20), noise...),
		append(bytes.Clone(preface), noise...),
		bytes.Repeat([]byte{0}, 64<<10),
	}
}

func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	c := newCluster(t, 3, withLongElectionTimeout)
	c.start(0, 1, 2)
	before := c.awaitFurtherLosses(1)
	client, _ := c.subscribe("proxy-a")
	eventually(t, "the client is connected", client.Connected)
	disconnects := c.disconnects.Load()
	ports := []struct {
		address  string
		protocol frame.Protocol
	}{
		{c.configs[0].PeerAddress, peer.Protocol},
		{c.configs[0].FeedAddress, feed.Protocol},
		{c.configs[0].OperatorAddress, peer.Protocol},
	}
	var first, last runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&first)
	random := rand.New(rand.NewPCG(7, 7))
	const repeats = 16
	var conns []net.Conn
	for range repeats {
		for _, port := range ports {
			for _, data := range malformedStreams(port.protocol, random) {
				conn, err := net.Dial("tcp", port.address)
				must.NoError(t, err)
				conns = append(conns, conn)
				_, _ = conn.Write(data) // the peer may have closed the connection
			}
		}
	}
	// All connections stay open: those that wait for more data must hold little memory.
	must.Eq(t, api.OutcomeAccepted, c.transact(api.Transaction{OperationID: "beside", Writes: tenantWrites("water")}).Code)
	runtime.ReadMemStats(&last)
	const memoryBound = 32 << 20
	must.Less(t, memoryBound, int64(last.HeapAlloc)-int64(first.HeapAlloc))
	var closing sync.WaitGroup
	for _, conn := range conns {
		closing.Go(func() {
			must.NoError(t, conn.SetDeadline(time.Now().Add(time.Millisecond)))
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		})
	}
	closing.Wait()
	after := c.awaitFurtherLosses(1)
	must.Eq(t, before.Term, after.Term)
	must.Eq(t, disconnects, c.disconnects.Load())
	var list operatorapi.ObjectList
	must.Eq(t, http.StatusOK, c.call(0, http.MethodGet, operatorapi.PathObjects+"/Tenant", nil, &list))
	must.Len(t, 1, list.Objects)
	eventually(t, "the subscriber is still connected", client.Connected)
}

func TestDryRunAndIntentConflictNameEnginesAndChangeNothing(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.start(0)
	c.leader()
	writes := append(narratorObjects(), api.Write{Object: engineObject("engine-1", "127.0.0.1:1")})
	accepted := c.transact(api.Transaction{OperationID: "first", Writes: writes})
	must.Eq(t, api.OutcomeAccepted, accepted.Code)
	must.Eq(t, []string{"engine-1"}, accepted.AffectedEngines)
	newer := *narratorObjects()[1].Object.Intent
	newer.Revision, newer.Spec.Version = accepted.Revision, "2"
	change := api.Transaction{OperationID: "second", DryRun: true, Writes: []api.Write{{Object: api.Object{Intent: &newer}}}}
	shown := c.transact(change)
	must.Eq(t, api.OutcomeAccepted, shown.Code)
	must.Eq(t, []string{"engine-1"}, shown.AffectedEngines)
	other := newer
	other.Name, other.Revision = "other", 0
	conflict := c.transact(api.Transaction{OperationID: "third", Writes: []api.Write{{Object: api.Object{Intent: &other}}}})
	must.Eq(t, api.OutcomeIntentConflict, conflict.Code)
	must.Len(t, 1, conflict.Conflicts)
	must.Eq(t, "engine-1", conflict.Conflicts[0].Engine)
	must.Eq(t, []string{"narrate", "other"}, conflict.Conflicts[0].Intents)
	after, _ := c.status()
	must.Eq(t, accepted.Revision, after.Revision)
	change.DryRun = false
	made := c.transact(change)
	must.Eq(t, api.OutcomeAccepted, made.Code)
	must.Eq(t, shown.AffectedEngines, made.AffectedEngines)
}
