package fleet

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/settings"
)

func TestProcessThatDiesGivesTheRunUp(t *testing.T) {
	run := newSupervisor(context.Background(), t.TempDir())
	must.NoError(t, run.start("engine-a", "/bin/sh", "-c", "echo the reason; exit 3"))
	<-run.context.Done()
	err := run.explain(errors.New("what was seen of it"))
	must.ErrorIs(t, err, ErrProcessDied)
	must.StrContains(t, err.Error(), "engine-a")
	must.StrContains(t, err.Error(), "the reason")
	must.SliceEmpty(t, run.stop("engine-"))
}

func TestPlannedStopIsNoDeath(t *testing.T) {
	run := newSupervisor(context.Background(), t.TempDir())
	must.NoError(t, run.start("proxy-a", "/bin/sh", "-c", `trap "exit 0" TERM; echo up; while :; do sleep 0.05; done`))
	must.NoError(t, run.start("engine-a", "/bin/sh", "-c", `trap "echo refused; exit 4" TERM; echo up; while :; do sleep 0.05; done`))
	waitForLog(run, "proxy-a")
	waitForLog(run, "engine-a")
	must.SliceEmpty(t, run.stop("proxy-"))
	failures := run.stop("engine-")
	must.SliceLen(t, 1, failures)
	must.StrContains(t, failures[0].Error(), "refused")
	must.NoError(t, run.context.Err())
}

// waitForLog returns once the process has written a line.
func waitForLog(run *supervisor, name string) {
	for run.context.Err() == nil {
		text, err := os.ReadFile(filepath.Join(run.logs, name+".log"))
		if err == nil && len(text) > 0 {
			return
		}
	}
}

func TestLayoutRewritesEveryAddress(t *testing.T) {
	for _, deployment := range []string{"radarvlak", "caroni"} {
		t.Run(deployment, func(t *testing.T) {
			planned, err := newLayout(Config{Deployment: deployment, Folder: "../../deployments"}, t.TempDir())
			must.NoError(t, err)
			must.SliceLen(t, 9, planned.engines)
			must.SliceLen(t, 3, planned.backends)
			must.SliceLen(t, 3, planned.members)
			must.SliceLen(t, 3, planned.proxies)
			addresses := map[string]bool{planned.platform: true}
			for _, member := range planned.members {
				file, err := settings.Load(member.settings, settings.SectionControl, nil)
				must.NoError(t, err)
				must.Eq(t, member.name, file.Control.Name)
				addresses[file.Control.Self().PeerAddress] = true
				addresses[file.Control.Self().FeedAddress] = true
				addresses[member.operator] = true
			}
			for _, proxy := range planned.proxies {
				_, err := settings.Load(proxy.settings, settings.SectionProxy, nil)
				must.NoError(t, err)
				addresses[proxy.address] = true
				addresses[proxy.admin] = true
			}
			objects, err := settings.LoadObjects(planned.objectsPath)
			must.NoError(t, err)
			for _, object := range objects {
				if object.Engine != nil {
					addresses[object.Engine.Spec.Address] = true
				}
			}
			must.Eq(t, 1+9+6+9, len(addresses), must.Sprint("each address is used once"))
		})
	}
}

func TestDataFolderOfAnotherRunIsRefused(t *testing.T) {
	folder := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(folder, "left.yaml"), nil, 0o600))
	_, _, err := dataFolder(folder)
	must.ErrorIs(t, err, ErrDataFolder)
}
