package ingress

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// fullBacklog returns an address at which a connection is not had for some time.
func fullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	must.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, unix.Listen(fd, 0))
	bound, _ := unix.Getsockname(fd)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	for range 2 {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

func TestCallerThatLeavesDuringADialTellsNothingOfTheReplica(t *testing.T) {
	address := fullBacklog(t)
	w := newWorld(t)
	w.views.set(func(v *view.View) {
		v.Replicas = map[string]*api.Replica{"make": {Metadata: api.Metadata{Name: "make"},
			Spec: api.ReplicaSpec{Service: "model", Address: address, Zone: "zone-a", Slots: 8, Role: api.RoleDecode}}}
	})
	placer := &fakePlacer{answer: placement.Answer{Generator: "make"}}
	w.ingress.placer = placer
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request := httptest.NewRequest(http.MethodPost, "http://a.example/model/", http.NoBody).WithContext(ctx)
	request.RequestURI = "/model/"
	request.Header.Set(testID, "q")
	request.Header.Set(testTokens, "9000")
	func() { defer func() { _ = recover() }(); w.ingress.ServeHTTP(httptest.NewRecorder(), request) }()
	must.SliceNotContains(t, placer.steps(), placement.StepFailed)
}
