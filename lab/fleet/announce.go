package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// environmentFile in the data folder holds the fleet's addresses as variables,
// so that another shell can take them over.
const environmentFile = "environment"

// announce prints the fleet's addresses and writes the environment file.
func (f *Fleet) announce() error {
	lines := f.layout.environment()
	path := filepath.Join(f.layout.folder, environmentFile)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return errors.Wrap(err, "fleet: write environment")
	}
	f.progress("addresses, also in %s:", path)
	for _, line := range lines {
		f.progress("  %s", line)
	}
	return nil
}

// environment is the addresses that operators and callers need, as lines of a
// shell script. The proxy is that of the first zone.
func (l *layout) environment() []string {
	lines := []string{
		"export LANDINGTRAIL_ENDPOINTS=" + strings.Join(l.operators(), ","),
		"export FLEET_PLATFORM=http://" + l.platform,
	}
	if len(l.proxies) > 0 {
		first := l.proxies[0]
		lines = append(lines, "export FLEET_PROXY=http://"+first.address, "export FLEET_PROXY_ADMIN=http://"+first.admin)
	}
	return lines
}

// serveIdle serves without load until the run's context ends.
func (f *Fleet) serveIdle() error {
	ctx, cancel := context.WithTimeout(f.run.context, servingTimeout)
	defer cancel()
	if err := f.awaitAdmission(ctx); err != nil {
		return err
	}
	f.progress("serving until Ctrl-C")
	<-f.run.context.Done()
	return nil
}

// admissionPrompt is what the probes of awaitAdmission ask for.
const admissionPrompt = "ready?"

// awaitAdmission returns once each proxy has answered a model request: the
// control group knows sooner than the proxies that engines serve.
func (f *Fleet) awaitAdmission(ctx context.Context) error {
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     f.layout.firstModel(),
		Messages:  []engineapi.Message{{Role: "user", Content: admissionPrompt}},
		MaxTokens: 1,
	})
	if err != nil {
		return errors.Wrap(err, "fleet: probe")
	}
	for _, proxy := range f.layout.proxies {
		for !admits(ctx, proxy.address, body) {
			select {
			case <-ctx.Done():
				return f.run.explain(errors.Errorf("fleet: proxy %s admits no model request in time", proxy.name))
			case <-time.After(servingPause):
			}
		}
	}
	return nil
}

func admits(ctx context.Context, proxy string, body []byte) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+proxy+engineapi.PathChatCompletions, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// firstModel is the model of the first intent.
func (l *layout) firstModel() string {
	for _, object := range l.objects {
		if object.Intent != nil {
			return object.Intent.Spec.Model
		}
	}
	return ""
}
